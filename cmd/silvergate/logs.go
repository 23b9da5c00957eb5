package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"silvergate/internal/archive"
	"silvergate/internal/archive/reader"
)

func logsCommand() *cobra.Command {
	k := &archiveClient{client: newClient()}
	var follow, raw bool
	var attempt int
	var since time.Duration
	var grep, stream string
	c := &cobra.Command{
		Use: "logs JOB[/TASK]", Short: "Show what a job's tasks wrote, wherever they ran", Args: cobra.ExactArgs(1),
		Long: `logs shows the output of a job's tasks in the order of time, from all machines
that they ran on, also from machines that no longer exist. Where a task moved, and
where output is missing, a line in brackets says so, with the reason if it is known.
Control characters are escaped; --raw prints the bytes of one task as they are.`,
		RunE: func(c *cobra.Command, args []string) error {
			job, task, err := parseJobTask(args[0])
			if err != nil {
				return err
			}
			var want *regexp.Regexp
			if grep != "" {
				if want, err = regexp.Compile(grep); err != nil {
					return fmt.Errorf("--grep: %w", err)
				}
			}
			streams := archive.Streams
			if stream != "" {
				if streams = []string{stream}; !slices.Contains(archive.Streams, stream) {
					return fmt.Errorf("--stream: must be %s", strings.Join(archive.Streams, " or "))
				}
			}
			if raw && (task < 0 || stream == "") {
				return errors.New("--raw: needs one task (JOB/TASK) and --stream")
			}
			r, _, err := k.open()
			if err != nil {
				return err
			}
			v := &logView{k: k, c: c, r: r, job: job, task: task, attempt: attempt, streams: streams, grep: want, raw: raw,
				cursors: map[string]*reader.Cursor{}, complete: true}
			if since > 0 {
				v.since = time.Now().Add(-since)
			}
			return v.run(c.Context(), follow)
		},
	}
	k.addArchiveFlags(c)
	f := c.Flags()
	f.BoolVarP(&follow, "follow", "f", false, "keep printing new output until the job's attempts are over")
	f.IntVar(&attempt, "attempt", 0, "only this attempt of each task")
	f.DurationVar(&since, "since", 0, "only output written within this time before now")
	f.StringVar(&grep, "grep", "", "only lines that match this regular expression")
	f.StringVar(&stream, "stream", "", "only stdout or stderr")
	f.BoolVar(&raw, "raw", false, "print the bytes as they are")
	return c
}

// logView prints a job's output.
type logView struct {
	k             *archiveClient
	c             *cobra.Command
	r             *reader.Client
	job           string
	task, attempt int
	streams       []string
	grep          *regexp.Regexp
	raw           bool
	since         time.Time
	cursors       map[string]*reader.Cursor
	lastAttempt   map[int]archive.Attempt // by task: the attempt of the line printed last
	found         int                     // attempts found, over all polls
	complete      bool                    // whether all answers so far were complete; a warning is printed at the first that is not
}

// followInterval is the time between two polls for more output.
const followInterval = 500 * time.Millisecond

func (v *logView) run(ctx context.Context, follow bool) error {
	v.lastAttempt = map[int]archive.Attempt{}
	for {
		attempts, completeness, err := v.r.Attempts(ctx, reader.Query{Job: v.job})
		if err != nil {
			return err
		}
		var all []*reader.Cursor
		over := true
		for i := range attempts {
			a := &attempts[i]
			if v.task >= 0 && a.Task != v.task || v.attempt > 0 && a.Try != v.attempt {
				continue
			}
			v.found++
			over = over && a.End != nil
			for _, s := range v.streams {
				key := a.Attempt.String() + " " + s
				if v.cursors[key] == nil {
					v.cursors[key] = v.r.Open(a.Attempt, s)
				}
				v.cursors[key].Resume()
				all = append(all, v.cursors[key])
			}
		}
		if v.found == 0 && !follow {
			warnIfIncomplete(v.c, completeness)
			return fmt.Errorf("%s: %w", v.job, reader.ErrNotFound)
		}
		if err := reader.Merge(ctx, all, v.printLine); err != nil {
			return err
		}
		for _, u := range all {
			completeness.Complete = completeness.Complete && u.Complete
		}
		if !completeness.Complete && v.complete {
			v.complete = false
			warnIfIncomplete(v.c, completeness)
		}
		if !follow || over && len(all) > 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(followInterval):
		}
	}
}

func (v *logView) printLine(l *reader.Line) error {
	out := v.c.OutOrStdout()
	if l.Note == "" && (l.At.Before(v.since) || v.grep != nil && !v.grep.MatchString(l.Text)) {
		return nil
	}
	if v.raw {
		if l.Note != "" {
			fmt.Fprintf(v.c.ErrOrStderr(), "[%s]\n", l.Note)
			return nil
		}
		end := "\n"
		if l.Cut {
			end = ""
		}
		_, err := io.WriteString(out, l.Text+end)
		return err
	}
	if v.k.format == "json" {
		return json.NewEncoder(out).Encode(l)
	}
	if was, ok := v.lastAttempt[l.Task]; !ok || was != l.Attempt {
		v.lastAttempt[l.Task] = l.Attempt
		word := "runs"
		if ok {
			word = "moved:"
		}
		fmt.Fprintf(out, "[task %d %s attempt %d on %s]\n", l.Task, word, l.Try, l.Machine)
	}
	mark := ""
	if l.Stream == archive.Stderr {
		mark = "!"
	}
	text := archive.EscapeForTerminal(l.Text)
	if l.Note != "" {
		text = "[" + archive.EscapeForTerminal(l.Note) + "]"
	}
	_, err := fmt.Fprintf(out, "%s %d%s %s\n", l.At.Format("15:04:05.000"), l.Task, mark, text)
	return err
}
