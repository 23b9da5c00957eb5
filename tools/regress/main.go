// Command regress runs the scores that a change requires and compares them with
// the last ones committed to the journal.
//
//	go run ./tools/regress --kit ../given/kit --why "what was changed"
//
// It lists the paths that changed since a commit, uncommitted ones included, runs
// the sites that these paths require with the newest bench of the kit, and compares
// the entry of each site with the last committed entry of the same site, mode and
// set of days. Exit status: 0, no score fell by more than the noise; 1, a score fell;
// 2, a rule was broken or a day failed; 3, the command could not run.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"

	"github.com/spf13/cobra"
)

// status is the exit status for the worst finding, as an error that describes it.
type status int

func (s status) Error() string {
	return [...]string{"", "a score fell by more than noise", "a rule is broken or a day failed"}[s]
}

type options struct {
	kit, since, why, journal string
	noise                    float64
	full, dryRun, all, judge bool
}

func main() {
	var o options
	cmd := &cobra.Command{
		Use:           "regress --kit DIR --why TEXT",
		Short:         "Run the scores that a change requires and compare them with the journal",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(c *cobra.Command, _ []string) error { return o.run(c.OutOrStdout()) },
	}
	f := cmd.Flags()
	f.StringVar(&o.kit, "kit", "", "the folder of the users' kit")
	f.StringVar(&o.since, "since", "HEAD", "compare the tree with this commit: the last one that was scored")
	f.StringVar(&o.why, "why", "", "what was changed, for the journal")
	f.StringVar(&o.journal, "journal", "journal", "the folder of the journal")
	f.Float64Var(&o.noise, "noise", 0.03, "the largest fall of a score that counts as chance")
	f.BoolVar(&o.full, "full", false, "full scores in place of quick ones")
	f.BoolVar(&o.all, "all", false, "all sites, whatever was changed")
	f.BoolVar(&o.dryRun, "dry-run", false, "only print the runs that are required")
	f.BoolVar(&o.judge, "judge", false, "run nothing: judge the entries that are not committed yet")
	err := cmd.Execute()
	var s status
	switch {
	case err == nil:
	case errors.As(err, &s):
		fmt.Fprintln(os.Stderr, "regress:", err)
		os.Exit(int(s))
	default:
		fmt.Fprintln(os.Stderr, "regress:", err)
		os.Exit(3)
	}
}

func (o *options) run(out io.Writer) error {
	if o.judge {
		return o.compareNewEntries(out, nil)
	}
	if o.kit == "" {
		return errors.New("--kit: missing; name the folder of the users' kit")
	}
	runs := []Run{baseRun, fleetRun}
	if !o.all {
		paths, err := changedPaths(o.since)
		if err != nil {
			return err
		}
		runs = requiredRuns(paths)
	}
	if len(runs) == 0 {
		fmt.Fprintln(out, "nothing that is built has changed: no run is required")
		return nil
	}
	var sites []string
	for _, r := range runs {
		for _, pattern := range r.Sites {
			found, err := filepath.Glob(filepath.Join(o.kit, pattern))
			if err != nil {
				return err
			}
			if len(found) == 0 {
				return fmt.Errorf("no site files at %s", filepath.Join(o.kit, pattern))
			}
			sites = append(sites, found...)
		}
		fmt.Fprintf(out, "required for %s: %s\n", r.Reason, strings.Join(r.Sites, " "))
	}
	if o.dryRun {
		return nil
	}
	if o.why == "" {
		return errors.New("--why: missing; say what was changed")
	}
	before, err := readJournal(o.journal)
	if err != nil {
		return err
	}
	args := append([]string{"score"}, sites...)
	if !o.full {
		args = append(args, "--quick")
	}
	bench, err := filepath.Abs(filepath.Join(o.kit, "more/hunt/bin/fleetbench"))
	if err != nil {
		return err
	}
	cmd := exec.Command(bench, append(args, "--why", o.why)...)
	cmd.Stdout, cmd.Stderr = out, os.Stderr
	if err := cmd.Run(); err != nil {
		fmt.Fprintln(out, "the bench ended with:", err) // the entries it wrote have the details
	}
	return o.compareNewEntries(out, before)
}

// compareNewEntries compares each new entry of the journal with its committed baseline,
// prints the findings and returns the worst one as a status. An entry is new if it is not
// in before or, when before is nil, if it is not committed.
func (o *options) compareNewEntries(out io.Writer, before map[string]Entry) error {
	now, err := readJournal(o.journal)
	if err != nil {
		return err
	}
	committed, err := committedEntries(o.journal, now)
	if err != nil {
		return err
	}
	var candidates []Entry
	for _, e := range committed {
		candidates = append(candidates, e)
	}
	var names []string
	for name := range now {
		_, existed := before[name]
		_, isCommitted := committed[name]
		if before == nil && !isCommitted || before != nil && !existed {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return errors.New("no new entry in the journal: nothing was scored")
	}
	sort.Strings(names)
	var worst status
	for _, name := range names {
		e := now[name]
		base, known := baseline(candidates, e)
		kind := e.Mode
		if kind == "" {
			kind = "full"
		}
		fmt.Fprintf(out, "%s (%s): %.3f, before %.3f (%s)\n", e.Site, kind, e.Score, base.Score, base.ID)
		for _, f := range compare(base, e, known, o.noise) {
			fmt.Fprintln(out, "  "+f.Text)
			switch {
			case f.Failure:
				worst = 2
			case f.Regression:
				worst = max(worst, 1)
			}
		}
	}
	if worst > 0 {
		return worst
	}
	return nil
}

// committedEntries returns the entries of all whose file in the folder dir is in HEAD. Both
// maps are by file name. The entries' content is that of the work tree.
func committedEntries(dir string, all map[string]Entry) (map[string]Entry, error) {
	names, err := git("ls-tree", "--name-only", "HEAD", dir+"/")
	if err != nil {
		return nil, err
	}
	entries := map[string]Entry{}
	for _, n := range names {
		if e, ok := all[filepath.Base(n)]; ok {
			entries[filepath.Base(n)] = e
		}
	}
	return entries, nil
}

// changedPaths lists the paths that differ from the commit since, and the untracked ones.
func changedPaths(since string) ([]string, error) {
	paths, err := git("diff", "--name-only", since)
	if err != nil {
		return nil, err
	}
	untracked, err := git("ls-files", "--others", "--exclude-standard")
	return append(paths, untracked...), err
}

// git runs a git command and returns the fields of its output.
func git(args ...string) ([]string, error) {
	out, err := exec.Command("git", args...).Output()
	if err != nil {
		return nil, fmt.Errorf("git %s: %w", strings.Join(args, " "), err)
	}
	return strings.Fields(string(out)), nil
}
