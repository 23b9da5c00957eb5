package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"github.com/spf13/cobra"

	"silvergate/internal/archive"
	anode "silvergate/internal/archive/node"
	"silvergate/internal/archive/reader"
	"silvergate/internal/protocol"
)

// artefactsClient lists and fetches the files that the archive keeps of attempts.
type artefactsClient struct {
	archiveClient
	all bool // include attempts that did not complete
}

// attemptFiles is an attempt with its files.
type attemptFiles struct {
	anode.Attempt
	Final bool `json:"final"` // whether it is the task's last completed attempt
}

func artefactsCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "artefacts", Short: "Files of a job's tasks that the archive keeps: list, get"}
	k := &artefactsClient{archiveClient: archiveClient{client: newClient()}}
	list, get := k.listCommand(), k.getCommand()
	for _, c := range []*cobra.Command{list, get} {
		k.addArchiveFlags(c)
		c.Flags().BoolVar(&k.all, "all", false, "include attempts that did not complete")
	}
	cmd.AddCommand(list, get)
	return cmd
}

func (k *artefactsClient) listCommand() *cobra.Command {
	return &cobra.Command{
		Use: "list JOB[/TASK]", Short: "List the files of a job's completed attempts", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			_, found, err := k.findAttempts(c, args[0])
			if err != nil {
				return err
			}
			var rows [][]string
			for _, e := range found {
				for _, f := range e.Files {
					rows = append(rows, []string{strconv.Itoa(e.Task), strconv.Itoa(e.Try), e.Machine, fmt.Sprint(f.Size), f.Digest[:16], archive.EscapeForTerminal(f.Path)})
				}
			}
			return k.printList(c, found, "TASK ATTEMPT MACHINE BYTES DIGEST FILE", rows)
		},
	}
}

func (k *artefactsClient) getCommand() *cobra.Command {
	var to string
	get := &cobra.Command{
		Use: "get JOB[/TASK] --to DIR", Short: "Write the files of a job's completed attempts into a folder, one folder for each task", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			r, found, err := k.findAttempts(c, args[0])
			if err != nil {
				return err
			}
			n, err := fetchAll(c.Context(), r, found, to)
			if err != nil {
				return err
			}
			return k.printResult(c, map[string]any{"files": n, "to": to}, fmt.Sprintf("%d files in %s", n, to))
		},
	}
	get.Flags().StringVar(&to, "to", "", "the folder to write into; existing files are not replaced")
	_ = get.MarkFlagRequired("to")
	return get
}

// findAttempts returns the final attempt of each task, which is the last completed one, or with
// --all every attempt. It reads JOB or JOB/TASK from arg.
func (k *artefactsClient) findAttempts(c *cobra.Command, arg string) (*reader.Client, []attemptFiles, error) {
	r, _, err := k.open()
	if err != nil {
		return nil, nil, err
	}
	job, task, err := parseJobTask(arg)
	if err != nil {
		return nil, nil, err
	}
	attempts, completeness, err := r.Attempts(c.Context(), reader.Query{Job: job, Files: true})
	if err != nil {
		return nil, nil, err
	}
	warnIfIncomplete(c, completeness)
	if len(attempts) == 0 {
		return nil, nil, fmt.Errorf("%s: %w", job, reader.ErrNotFound)
	}
	last := lastDone(attempts)
	var found []attemptFiles
	for _, a := range attempts {
		final := last[a.Task] == a.Try && a.Try > 0 && a.End != nil
		if (task < 0 || a.Task == task) && (final || k.all) {
			found = append(found, attemptFiles{a, final})
		}
	}
	return r, found, nil
}

// lastDone returns the number of the last completed attempt of each task.
func lastDone(attempts []anode.Attempt) map[int]int {
	last := map[int]int{}
	for i := range attempts {
		if a := &attempts[i]; a.End != nil && a.End.Cause == protocol.CauseDone {
			last[a.Task] = max(last[a.Task], a.Try)
		}
	}
	return last
}

// fetchAll writes the files of attempts below a folder and returns how many it wrote.
func fetchAll(ctx context.Context, r *reader.Client, found []attemptFiles, to string) (n int, err error) {
	if err := os.MkdirAll(to, 0o700); err != nil {
		return 0, err
	}
	// The tasks' programs chose the file names, so os.Root keeps all writes inside the folder.
	root, err := os.OpenRoot(to)
	if err != nil {
		return 0, err
	}
	defer root.Close()
	for _, e := range found {
		dir := fmt.Sprint("task-", e.Task)
		if !e.Final {
			dir += fmt.Sprintf(".attempt-%d", e.Try)
		}
		for _, f := range e.Files {
			if err := fetch(ctx, r, root, dir, e.Attempt.Attempt, &f); err != nil {
				return n, err
			}
			n++
		}
	}
	return n, nil
}

// fetch writes a file below a folder, either completely or not at all.
func fetch(ctx context.Context, r *reader.Client, root *os.Root, dir string, attempt archive.Attempt, f *archive.File) error {
	if !archive.SafePath(f.Path) {
		return fmt.Errorf("%q can't be used as a file name", f.Path)
	}
	path := filepath.Join(dir, filepath.FromSlash(f.Path))
	if err := root.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return err
	}
	part := path + ".part"
	out, err := root.OpenFile(part, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	err = r.File(ctx, attempt, f, out)
	if err == nil {
		if _, statErr := root.Lstat(path); statErr == nil {
			err = fmt.Errorf("%s: already exists", path)
		}
	}
	if err = errors.Join(err, out.Close()); err == nil {
		err = root.Rename(part, path)
	}
	if err != nil {
		_ = root.Remove(part)
	}
	return err
}
