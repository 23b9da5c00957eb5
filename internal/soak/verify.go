package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"

	"silvergate/internal/archive"
	"silvergate/internal/archive/reader"
	"silvergate/internal/identity"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
	"silvergate/internal/site"
	"silvergate/internal/stateclient"
)

// readRevision reads the state service's revision and checks that it has not gone back.
func (s *soak) readRevision() {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		st, body := s.request(fmt.Sprintf("127.0.0.1:%d", s.ports.State), "GET", protocol.PathKeys+"?page=1", nil)
		var p protocol.KeyValuePage
		if st != 200 || json.Unmarshal(body, &p) != nil {
			continue
		}
		if p.Revision < s.revision {
			s.reportViolation("the ledger went back from %d to %d", s.revision, p.Revision)
		}
		s.revision = p.Revision
		return
	}
	s.reportViolation("the state service did not come back")
}

// verify compares the accepted jobs with the trace of what ran and with the records of the state
// service.
func (s *soak) verify() {
	f, err := os.Open(s.trace)
	if err != nil {
		s.reportViolation("the trace can't be read: %v", err)
		return
	}
	defer f.Close()
	ran := map[string]int{}
	var records []string
	for sc := bufio.NewScanner(f); sc.Scan(); {
		task, _, _ := strings.Cut(sc.Text(), " ")
		ran[task]++
		records = append(records, sc.Text())
		s.result.Effects++
	}
	if err := s.verifyOutput(records); err != nil {
		s.reportViolation("the archive can't be read: %v", err)
	}
	s.verifyStarts()
	finished := s.finishedByJob()
	for id, tasks := range s.tasks {
		s.result.Tasks += tasks
		if finished[id] != tasks {
			s.reportViolation("%s: the records hold %d finished tasks of %d", id, finished[id], tasks)
		}
		for i := range tasks {
			switch n := ran[fmt.Sprintf("%s/%d", id, i)]; {
			case n == 0:
				s.reportViolation("%s/%d is reported done and never ran", id, i)
			case n > 1:
				s.result.Repeated++
			}
		}
	}
}

// verifyStarts checks that no attempt has started more than once.
func (s *soak) verifyStarts() {
	content, err := os.ReadFile(s.starts)
	if err != nil {
		s.reportViolation("the attempts that started can't be read: %v", err)
		return
	}
	started := map[string]bool{}
	for line := range strings.Lines(string(content)) {
		fields := strings.Fields(line)
		if len(fields) != 3 {
			s.reportViolation("the line of a started attempt can't be read: %q", line)
			continue
		}
		attempt := fields[0] + " " + fields[1]
		if started[attempt] {
			s.reportViolation("%s attempt %s started again on %s", fields[0], fields[1], fields[2])
		}
		started[attempt] = true
	}
}

func customer(n int) string { return fmt.Sprint("customer-", n%3) }

// verifyOutput checks that each job's customer can read from the archive everything that the job's
// completed attempts wrote, and that another customer can read none of it. records are the lines
// of the trace, one for each attempt that wrote all its lines. Of an attempt that was killed
// half-way, the archive must have the beginning of its lines, or nothing.
func (s *soak) verifyOutput(records []string) error {
	members, _, err := site.ReadArchive(s.options.Dir)
	if err != nil {
		return err
	}
	auth, err := identity.Open(filepath.Join(s.options.Dir, site.AuthorityDir))
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	readers := map[string]*reader.Client{}
	for n := range 3 {
		dir := filepath.Join(s.options.Dir, "readers", customer(n))
		if err := auth.Ensure(identity.Identity{Kind: identity.Customer, Name: "office", Customer: customer(n)}, dir); err != nil {
			return err
		}
		credentials, err := identity.OpenCredentials(dir, log)
		if err != nil {
			return err
		}
		readers[customer(n)] = reader.New(credentials, members, 5*time.Second)
	}
	complete := map[string]bool{} // attempts that wrote all their lines
	for _, record := range records {
		complete[record] = true
	}
	ctx := context.Background()
	// The last output is shipped within the configured bound, and files after that.
	until := time.Now().Add(30 * time.Second)
	for n := range s.options.Jobs {
		id := jobID(n)
		if s.tasks[id] == 0 {
			continue
		}
		for {
			problem := s.verifyJobOutput(ctx, readers[customer(n)], id, complete)
			if problem == "" {
				break
			}
			if time.Now().After(until) {
				s.reportViolation("%s: %s", id, problem)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		if got, _, err := readers[customer(n+1)].Attempts(ctx, reader.Query{Job: id}); err != nil || len(got) > 0 {
			s.reportViolation("%s: another customer is told of %d attempts: %v", id, len(got), err)
		}
	}
	return nil
}

// verifyJobOutput reads a job's output from the archive and returns the first problem, or "".
func (s *soak) verifyJobOutput(ctx context.Context, r *reader.Client, id string, complete map[string]bool) string {
	attempts, answered, err := r.Attempts(ctx, reader.Query{Job: id, Files: true})
	if err != nil || !answered.Complete {
		return fmt.Sprintf("%v silent: %v", answered.Unresponsive, err)
	}
	seen, lines := map[string]bool{}, 0
	for i := range attempts {
		a := &attempts[i]
		name := fmt.Sprintf("%s/%d %d %s", a.Job, a.Task, a.Try, a.Machine)
		seen[name] = true
		n := 0
		for u := r.Open(a.Attempt, archive.Stdout); ; u.Next() {
			l, err := u.Peek(ctx)
			if err != nil {
				return err.Error()
			}
			if l == nil {
				break
			}
			n++
			want := fmt.Sprintf("line %d of %s/%d %d", n, a.Job, a.Task, a.Try)
			if l.Note != "" || l.Text != want && !(l.Cut && strings.HasPrefix(want, l.Text)) {
				return fmt.Sprintf("%s: %q %q in the place of %q", name, l.Text, l.Note, want)
			}
		}
		lines += n
		switch {
		case s.lost[a.Machine]: // output not yet shipped was lost with the machine's disk
		case complete[name] && n != 5:
			return fmt.Sprintf("%s wrote 5 lines, and %d are kept", name, n)
		case complete[name] && (a.End == nil || len(a.Files) != 1 || a.Files[0].Path != "out/result"):
			return fmt.Sprintf("%s came to its end, and that or its file is not kept: %+v, %+v", name, a.End, a.Files)
		}
	}
	for name := range complete {
		if machine := name[strings.LastIndex(name, " ")+1:]; strings.HasPrefix(name, id+"/") && !seen[name] && !s.lost[machine] {
			return name + " came to its end, and nothing of it is kept"
		}
	}
	s.result.Kept, s.result.Lines = s.result.Kept+len(attempts), s.result.Lines+lines
	return ""
}

// finishedByJob returns the number of finished tasks of each job in the records of the state
// service.
func (s *soak) finishedByJob() map[string]int {
	out := map[string]int{}
	from := ""
	for {
		st, body := s.request(fmt.Sprintf("127.0.0.1:%d", s.ports.State), "GET", protocol.PathKeys+"?under="+stateclient.MirroredPrefix+"p/&from="+url.QueryEscape(from), nil)
		var p protocol.KeyValuePage
		if st != 200 || json.Unmarshal(body, &p) != nil {
			s.reportViolation("the records can't be read: %d", st)
			return out
		}
		for _, e := range p.KeyValues {
			from = e.Key
			id, _, _ := strings.Cut(strings.TrimPrefix(e.Key, stateclient.MirroredPrefix+"p/"), "/")
			n, err := countFinished(e.Value)
			if err != nil {
				s.reportViolation("%s: %v", e.Key, err)
			}
			out[id] += n
		}
		if !p.Truncated {
			return out
		}
	}
}

// countFinished returns the number of finished tasks in the record of a page of tasks. The record
// has a field for each task, which starts with d if the task is finished; the suffix *n stands
// for n equal fields. While a controller does not know the versions of all others, for example after
// these were killed, it writes a list of tasks instead.
func countFinished(data []byte) (n int, err error) {
	var tasks []job.Task
	if json.Unmarshal(data, &tasks) == nil {
		for i := range tasks {
			if tasks[i].Phase == job.Finished {
				n++
			}
		}
		return n, nil
	}
	var words string
	if json.Unmarshal(data, &words) != nil {
		return 0, errors.New("not a page of tasks")
	}
	for _, w := range strings.Fields(words) {
		k := 1
		if _, times, ok := strings.Cut(w, "*"); ok {
			if _, err := fmt.Sscan(times, &k); err != nil {
				return 0, err
			}
		}
		if w[0] == 'd' {
			n += k
		}
	}
	return n, nil
}
