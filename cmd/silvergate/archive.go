package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"silvergate/internal/archive"
	"silvergate/internal/archive/history"
	"silvergate/internal/archive/load"
	anode "silvergate/internal/archive/node"
	"silvergate/internal/archive/reader"
	"silvergate/internal/archive/ship"
	"silvergate/internal/identity"
	"silvergate/internal/proc"
	"silvergate/internal/protocol"
	"silvergate/internal/site"
)

// archiveClient reads the archive as somebody.
type archiveClient struct {
	*client
	certs string
	nodes []string
}

func (k *archiveClient) flags(c *cobra.Command) {
	c.Flags().StringVar(&k.site, "site", "", "the folder of a site that silvergate up runs; read as its operator unless --certs is given")
	c.Flags().StringVar(&k.certs, "certs", "", "the folder with the certificate to read with")
	c.Flags().StringSliceVar(&k.nodes, "node", nil, "an archive node, NAME=IP:PORT; may be repeated")
	c.Flags().DurationVar(&k.timeout, "timeout", 10*time.Second, "how long to wait for an answer")
	k.output(c)
}

// open makes a client of the archive.
func (k *archiveClient) open() (*reader.Client, []anode.Member, error) {
	if k.format != "text" && k.format != "json" {
		return nil, nil, errors.New("--output: must be text or json")
	}
	var members []anode.Member
	certs := k.certs
	if k.site != "" {
		m, own, err := site.ReadArchive(k.site)
		if err != nil {
			return nil, nil, err
		}
		members = m
		if certs == "" {
			certs = own
		}
	}
	for _, s := range k.nodes {
		name, address, _ := strings.Cut(s, "=")
		members = append(members, anode.Member{Name: name, Address: address})
	}
	if certs == "" {
		return nil, nil, errors.New("name --site, or --certs and --node")
	}
	if err := anode.CheckMembers(members); err != nil {
		return nil, nil, err
	}
	keeper, err := identity.NewKeeper(certs, newLogger("error"))
	if err != nil {
		return nil, nil, err
	}
	return reader.New(keeper, members, k.timeout), members, nil
}

// warn tells that an answer may not be all.
func warn(c *cobra.Command, a anode.Answered) {
	if !a.Whole {
		fmt.Fprintf(c.ErrOrStderr(), "%s silent: something may be missing\n", strings.Join(a.Silent, ", "))
	}
}

// jobTask reads JOB or JOB/TASK; task is -1 for all.
func jobTask(s string) (job string, task int, err error) {
	job, index, one := strings.Cut(s, "/")
	task = -1
	if one {
		if task, err = strconv.Atoi(index); err != nil || task < 0 {
			return "", 0, fmt.Errorf("%q: write JOB or JOB/TASK", s)
		}
	}
	if !protocol.ValidJobID(job) {
		return "", 0, fmt.Errorf("%q is no job id: it has the form wk-000412", job)
	}
	return job, task, nil
}

func logsCommand() *cobra.Command {
	k := &archiveClient{client: newClient()}
	var follow, raw bool
	var attempt int
	var since time.Duration
	var grep, stream string
	c := &cobra.Command{
		Use: "logs JOB[/TASK]", Short: "Show what a job's tasks wrote, wherever they ran", Args: cobra.ExactArgs(1),
		Long: `logs shows the output of a job's tasks in the order of time, from all machines
that they ran on, also those that are gone. Where a task moved, and where output is
missing, a line in brackets says so, and why as far as it is known. Control
characters are written out; --raw prints the bytes of one task as they are.`,
		RunE: func(c *cobra.Command, args []string) error {
			job, task, err := jobTask(args[0])
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
				return errors.New("--raw: name one task and one --stream")
			}
			r, _, err := k.open()
			if err != nil {
				return err
			}
			v := &logView{k: k, c: c, r: r, job: job, task: task, attempt: attempt, streams: streams, grep: want, raw: raw, open: map[string]*reader.Cursor{}, whole: true}
			if since > 0 {
				v.since = time.Now().Add(-since)
			}
			return v.show(c.Context(), follow)
		},
	}
	k.flags(c)
	f := c.Flags()
	f.BoolVarP(&follow, "follow", "f", false, "go on until the job's attempts are over")
	f.IntVar(&attempt, "attempt", 0, "only this attempt of each task")
	f.DurationVar(&since, "since", 0, "only what was written in the last while")
	f.StringVar(&grep, "grep", "", "only lines that match this regular expression")
	f.StringVar(&stream, "stream", "", "only stdout or stderr")
	f.BoolVar(&raw, "raw", false, "the bytes as they are")
	return c
}

// logView shows a job's output.
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
	open          map[string]*reader.Cursor
	told          map[int]archive.Attempt // by task: where it was last seen
	found         int
	whole         bool
}

// followEvery is the time between two looks for more.
const followEvery = 500 * time.Millisecond

func (v *logView) show(ctx context.Context, follow bool) error {
	v.told = map[int]archive.Attempt{}
	for {
		attempts, answered, err := v.r.Attempts(ctx, reader.Query{Job: v.job})
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
				if v.open[key] == nil {
					v.open[key] = v.r.Open(a.Attempt, s)
				}
				v.open[key].Again()
				all = append(all, v.open[key])
			}
		}
		if v.found == 0 && !follow {
			warn(v.c, answered)
			return fmt.Errorf("%s: %w", v.job, reader.ErrNotFound)
		}
		if err := reader.Merge(ctx, all, v.line); err != nil {
			return err
		}
		for _, u := range all {
			answered.Whole = answered.Whole && u.Whole
		}
		if !answered.Whole && v.whole {
			v.whole = false
			warn(v.c, answered)
		}
		if !follow || over && len(all) > 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(followEvery):
		}
	}
}

func (v *logView) line(l *reader.Line) error {
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
	if was, ok := v.told[l.Task]; !ok || was != l.Attempt {
		v.told[l.Task] = l.Attempt
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
	text := archive.Visible(l.Text)
	if l.Note != "" {
		text = "[" + archive.Visible(l.Note) + "]"
	}
	_, err := fmt.Fprintf(out, "%s %d%s %s\n", l.At.Format("15:04:05.000"), l.Task, mark, text)
	return err
}

func artefactsCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "artefacts", Short: "Files that a job's tasks left behind: list, get"}
	k := &archiveClient{client: newClient()}
	var all bool
	type entry struct {
		anode.Attempt
		Final bool `json:"final"`
	}
	// files lists attempts with files; of each task the last that was done is final.
	files := func(c *cobra.Command, arg string) (*reader.Client, []entry, error) {
		r, _, err := k.open()
		if err != nil {
			return nil, nil, err
		}
		job, task, err := jobTask(arg)
		if err != nil {
			return nil, nil, err
		}
		attempts, answered, err := r.Attempts(c.Context(), reader.Query{Job: job, Files: true})
		if err != nil {
			return nil, nil, err
		}
		warn(c, answered)
		last := map[int]int{}
		for i := range attempts {
			if a := &attempts[i]; a.End != nil && a.End.Cause == protocol.CauseDone {
				last[a.Task] = max(last[a.Task], a.Try)
			}
		}
		var out []entry
		for i := range attempts {
			a := attempts[i]
			final := last[a.Task] == a.Try && a.Try > 0 && a.End != nil
			if (task < 0 || a.Task == task) && (final || all) {
				out = append(out, entry{a, final})
			}
		}
		if len(attempts) == 0 {
			return nil, nil, fmt.Errorf("%s: %w", job, reader.ErrNotFound)
		}
		return r, out, nil
	}
	list := &cobra.Command{
		Use: "list JOB[/TASK]", Short: "List the files of a job's completed attempts", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			_, found, err := files(c, args[0])
			if err != nil {
				return err
			}
			var rows [][]string
			for _, e := range found {
				for _, f := range e.Files {
					rows = append(rows, []string{strconv.Itoa(e.Task), strconv.Itoa(e.Try), e.Machine, fmt.Sprint(f.Size), f.Digest[:16], archive.Visible(f.Path)})
				}
			}
			return k.list(c, found, "TASK ATTEMPT MACHINE BYTES DIGEST FILE", rows)
		},
	}
	var to string
	get := &cobra.Command{
		Use: "get JOB[/TASK] --to DIR", Short: "Write the files of a job's completed attempts into a folder, one folder for each task", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			r, found, err := files(c, args[0])
			if err != nil {
				return err
			}
			if err := os.MkdirAll(to, 0o700); err != nil {
				return err
			}
			// Names are whatever a program chose: nothing is written outside.
			root, err := os.OpenRoot(to)
			if err != nil {
				return err
			}
			defer root.Close()
			n := 0
			for _, e := range found {
				for _, f := range e.Files {
					dir := fmt.Sprint("task-", e.Task)
					if !e.Final {
						dir += fmt.Sprintf(".attempt-%d", e.Try)
					}
					if err := fetch(c.Context(), r, root, dir, e.Attempt.Attempt, &f); err != nil {
						return err
					}
					n++
				}
			}
			return k.show(c, map[string]any{"files": n, "to": to}, fmt.Sprintf("%d files in %s", n, to))
		},
	}
	get.Flags().StringVar(&to, "to", "", "the folder; what is there is not replaced")
	_ = get.MarkFlagRequired("to")
	for _, c := range []*cobra.Command{list, get} {
		k.flags(c)
		c.Flags().BoolVar(&all, "all", false, "also of attempts that did not complete")
	}
	cmd.AddCommand(list, get)
	return cmd
}

// fetch writes a file below a folder, whole or not at all.
func fetch(ctx context.Context, r *reader.Client, root *os.Root, dir string, a archive.Attempt, f *archive.File) error {
	if !archive.SafePath(f.Path) {
		return fmt.Errorf("%q is not a name that can be written", f.Path)
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
	err = r.File(ctx, a, f, out)
	if err == nil {
		if _, there := root.Lstat(path); there == nil {
			err = fmt.Errorf("%s: is there already", path)
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

func whyCommand() *cobra.Command {
	k := &archiveClient{client: newClient()}
	var address string
	c := &cobra.Command{
		Use: "why JOB", Short: "Tell a job's story: what it waits for, where its tasks ran, and how each attempt ended", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			job, task, err := jobTask(args[0])
			if err != nil {
				return err
			}
			r, _, err := k.open()
			if err != nil {
				return err
			}
			story, err := tell(c.Context(), k, r, job, task, address)
			if err != nil {
				return err
			}
			if k.format == "json" {
				return json.NewEncoder(c.OutOrStdout()).Encode(story)
			}
			for _, e := range story {
				at := "                   "
				if !e.At.IsZero() {
					at = e.At.Format("2006-01-02 15:04:05")
				}
				fmt.Fprintf(c.OutOrStdout(), "%s  %s\n", at, archive.Visible(e.Text))
			}
			return nil
		},
	}
	k.flags(c)
	c.Flags().StringVar(&address, "address", "", "a controller's address, for what the job waits for now; with --site the site's own")
	return c
}

// Event is a line of a job's story.
type Event struct {
	At   time.Time `json:"at,omitzero"`
	Text string    `json:"text"`
}

// tell puts a job's story together of what was archived and what controllers say.
func tell(ctx context.Context, k *archiveClient, r *reader.Client, job string, task int, address string) ([]Event, error) {
	attempts, answered, err := r.Attempts(ctx, reader.Query{Job: job, Files: true})
	if err != nil {
		return nil, err
	}
	if len(attempts) == 0 {
		return nil, fmt.Errorf("%s: %w", job, reader.ErrNotFound)
	}
	a := &attempts[0]
	whose := "team " + a.Team
	if a.Customer != "" {
		whose += ", customer " + a.Customer
	}
	story := []Event{{Text: fmt.Sprintf("%s: class %s, urgency %s, of %s", job, a.Class, a.Urgency, whose)}}
	if !answered.Whole {
		story = append(story, Event{Text: strings.Join(answered.Silent, ", ") + " silent: something may be missing"})
	}
	var events []Event
	for i := range attempts {
		a := &attempts[i]
		if task >= 0 && a.Task != task {
			continue
		}
		name := fmt.Sprintf("task %d, attempt %d on %s", a.Task, a.Try, a.Machine)
		events = append(events, Event{time.UnixMilli(a.At), name + ": bound there"})
		if e := a.End; e != nil {
			if e.Began > 0 && e.At > e.Began {
				name += fmt.Sprintf(" (%s)", time.Duration(e.At-e.Began)*time.Millisecond)
			}
			text := fmt.Sprintf("%s: %s", name, plainCause(e.Cause))
			if e.Code != 0 {
				text += fmt.Sprintf(", exit status %d", e.Code)
			}
			if n := e.Sizes[archive.Stdout] + e.Sizes[archive.Stderr]; n > 0 || e.Files > 0 {
				text += fmt.Sprintf("; wrote %d bytes and %d files that are kept", n, e.Files)
			}
			events = append(events, Event{time.UnixMilli(e.At), text})
			if e.Cause != protocol.CauseDone {
				if line := lastLine(ctx, r, a.Attempt); line != "" {
					events = append(events, Event{time.UnixMilli(e.At), "    its last words: " + line})
				}
			}
		} else {
			events = append(events, Event{Text: name + ": no end on record: it runs, or its machine is lost or cut off"})
		}
		if x := a.Expired; x != nil {
			events = append(events, Event{time.UnixMilli(x.At), name + ": output expired: " + x.Reason})
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int {
		switch {
		case a.At.IsZero() != b.At.IsZero():
			if a.At.IsZero() {
				return 1
			}
			return -1
		}
		return a.At.Compare(b.At)
	})
	story = append(story, events...)
	users := newClient()
	users.site, users.address, users.timeout = k.site, address, k.timeout
	if k.site != "" || address != "" {
		var s protocol.JobState
		if err := users.get(protocol.PathJobs+"/"+job, &s); err == nil {
			story = append(story, Event{Text: "now: " + describe(s)})
		}
		var p protocol.JobPage
		if err := users.get(fmt.Sprintf("%s?all=false&from=%s", protocol.PathJobList, before(job)), &p); err == nil && len(p.Jobs) > 0 && p.Jobs[0].ID == job && p.Jobs[0].WaitingFor != "" {
			story = append(story, Event{Text: "waits for: " + p.Jobs[0].WaitingFor})
		}
	}
	return story, nil
}

// before is a name just before a job's in the order of a list.
func before(job string) string { return job[:len(job)-1] + string(job[len(job)-1]-1) + "~" }

// plainCause says in words how an attempt ended.
func plainCause(cause string) string {
	switch cause {
	case protocol.CauseDone:
		return "completed"
	case protocol.CauseError:
		return "its program failed"
	case protocol.CauseStopped:
		return "stopped for other work, a drain or a cancel, with time to save"
	case protocol.CauseGangMemberLost:
		return "ended as another task of its gang was gone"
	case protocol.CauseGangTimeout:
		return "ended as the rest of its gang did not come"
	}
	return cause
}

// lastLine is the last that an attempt wrote, on stderr if there is anything.
func lastLine(ctx context.Context, r *reader.Client, a archive.Attempt) (last string) {
	for _, s := range []string{archive.Stderr, archive.Stdout} {
		u := r.Open(a, s)
		for {
			l, err := u.Peek(ctx)
			if err != nil || l == nil {
				break
			}
			if strings.TrimSpace(l.Text) != "" {
				last = l.Text
			}
			u.Next()
		}
		if last != "" {
			if len(last) > 200 {
				last = last[:200] + "…"
			}
			return last
		}
	}
	return ""
}

func archiveCommands() *cobra.Command {
	cmd := &cobra.Command{Use: "archive", Short: "What keeps the output of tasks: serve, status, find, revocations, soak"}
	var settings string
	serve := &cobra.Command{
		Use: "serve --settings FILE", Short: "Serve an archive node", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if err := proc.Hold(); err != nil {
				return err
			}
			cfg := anode.DefaultConfig()
			if err := readSettings(settings, &cfg); err != nil {
				return err
			}
			n, err := anode.Open(cfg, partLogger("archive").With("node", cfg.Name))
			if err != nil {
				return err
			}
			l, err := net.Listen("tcp4", cfg.Listen)
			if err != nil {
				n.Stop()
				return err
			}
			untilTold(func() {
				n.Stop()
			})
			return n.Serve(l)
		},
	}
	settingsFlag(serve, &settings)
	k := &archiveClient{client: newClient()}
	status := &cobra.Command{
		Use: "status", Short: "Tell what each node holds, and whether they are level", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			r, _, err := k.open()
			if err != nil {
				return err
			}
			type line struct {
				Name  string       `json:"name"`
				Error string       `json:"error,omitempty"`
				Stats *anode.Stats `json:"stats,omitempty"`
			}
			var all []line
			var rows [][]string
			away := 0
			r.Each(c.Context(), http.MethodGet, anode.PathStats, nil, func(name string, raw []byte, err error) {
				l := line{Name: name}
				if err == nil {
					l.Stats = &anode.Stats{}
					err = json.Unmarshal(raw, l.Stats)
				}
				if err != nil {
					away++
					l.Stats, l.Error = nil, err.Error()
					rows = append(rows, []string{name, "silent", "", "", "", "", "", ""})
				} else {
					s := l.Stats
					rows = append(rows, []string{name, "serves", fmt.Sprint(s.Records), fmt.Sprint(s.Bytes / 1e6), fmt.Sprint(s.Pulled), fmt.Sprint(s.Mended), fmt.Sprint(s.Damaged), fmt.Sprint(s.Strays)})
				}
				all = append(all, l)
			})
			if err := k.list(c, all, "NODE STATE RECORDS MB PULLED MENDED DAMAGED STRAYS", rows); err != nil {
				return err
			}
			if away == len(all) {
				return errors.New("no node answers")
			}
			return nil
		},
	}
	k.flags(status)
	var q reader.Query
	find := &cobra.Command{
		Use: "find", Short: "Find attempts by job, team, customer, class, machine or day", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			r, _, err := k.open()
			if err != nil {
				return err
			}
			found, answered, err := r.Attempts(c.Context(), q)
			if err != nil {
				return err
			}
			warn(c, answered)
			var rows [][]string
			for i := range found {
				a := &found[i]
				end := "-"
				if a.End != nil {
					end = a.End.Cause
				}
				rows = append(rows, []string{a.Job, strconv.Itoa(a.Task), strconv.Itoa(a.Try), a.Machine, a.Team, a.Customer, a.Class, time.UnixMilli(a.At).UTC().Format(time.RFC3339), end})
			}
			return k.list(c, found, "JOB TASK ATTEMPT MACHINE TEAM CUSTOMER CLASS BOUND END", rows)
		},
	}
	k.flags(find)
	for _, f := range []struct {
		name string
		to   *string
	}{{"job", &q.Job}, {"team", &q.Team}, {"customer", &q.Customer}, {"class", &q.Class}, {"machine", &q.Machine}, {"day", &q.Day}} {
		find.Flags().StringVar(f.to, f.name, "", "only of this "+f.name)
	}
	revocations := &cobra.Command{
		Use: "revocations FILE", Short: "Give the authority's list of revocations to all nodes that answer", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			r, _, err := k.open()
			if err != nil {
				return err
			}
			told := 0
			r.Each(c.Context(), http.MethodPost, anode.PathRevocations, raw, func(name string, _ []byte, err error) {
				if err != nil {
					fmt.Fprintf(c.ErrOrStderr(), "%s: %v\n", name, err)
					return
				}
				told++
			})
			if told == 0 {
				return errors.New("no node took it")
			}
			return k.show(c, map[string]int{"nodes": told}, fmt.Sprintf("%d nodes have it", told))
		},
	}
	k.flags(revocations)
	var seed uint64
	var histories, rounds int
	soak := &cobra.Command{
		Use: "soak", Short: "Play drawn histories of an archive on loopback and judge what readers get", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var sum history.Drawn
			for i := range histories {
				dir, err := os.MkdirTemp("", "silvergate-archive")
				if err != nil {
					return err
				}
				d, err := history.Draw(dir, seed+uint64(i), rounds)
				if err != nil {
					return fmt.Errorf("seed %d (kept in %s): %w", seed+uint64(i), dir, err)
				}
				if err := os.RemoveAll(dir); err != nil {
					return err
				}
				sum.Add(d)
				if (i+1)%10 == 0 {
					fmt.Fprintf(c.ErrOrStderr(), "%d of %d histories\n", i+1, histories)
				}
			}
			return k.show(c, sum, fmt.Sprintf("%d histories: %+v", histories, sum))
		},
	}
	soak.Flags().Uint64Var(&seed, "seed", 1, "the first seed")
	soak.Flags().IntVar(&histories, "histories", 10, "how many")
	soak.Flags().IntVar(&rounds, "rounds", 40, "of each")
	k.output(soak)
	o := load.Options{}
	bench := &cobra.Command{
		Use: "bench --dir DIR", Short: "Measure an archive of three nodes on this machine", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var err error
			if o.Self, err = os.Executable(); err != nil {
				return err
			}
			if o.Dir, err = filepath.Abs(o.Dir); err != nil {
				return err
			}
			o.Out = c.ErrOrStderr()
			r, err := load.Run(o)
			if err != nil {
				return err
			}
			return k.show(c, r, fmt.Sprintf("%+v", r))
		},
	}
	bench.Flags().StringVar(&o.Dir, "dir", "", "an empty folder on the disk that is measured")
	bench.Flags().IntVar(&o.Tasks, "tasks", 2000, "how many tasks write")
	bench.Flags().IntVar(&o.Lines, "lines", 100, "lines a second of each")
	bench.Flags().DurationVar(&o.For, "for", 20*time.Second, "how long they write")
	_ = bench.MarkFlagRequired("dir")
	k.output(bench)
	var shipping string
	benchShip := &cobra.Command{
		Use: "bench-ship --settings FILE", Hidden: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if err := proc.Hold(); err != nil {
				return err
			}
			s := load.Settings{Ship: ship.DefaultConfig()}
			if err := readSettings(shipping, &s); err != nil {
				return err
			}
			done := make(chan struct{})
			untilTold(func() { close(done) })
			return load.Ship(s, partLogger("ship"), done)
		},
	}
	settingsFlag(benchShip, &shipping)
	cmd.AddCommand(serve, status, find, revocations, soak, bench, benchShip)
	return cmd
}
