package main

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"silvergate/internal/archive"
	anode "silvergate/internal/archive/node"
	"silvergate/internal/archive/reader"
	"silvergate/internal/protocol"
)

func whyCommand() *cobra.Command {
	k := &archiveClient{client: newClient()}
	var address string
	c := &cobra.Command{
		Use: "why JOB", Short: "Show a job's history: what it waits for, where its tasks ran, and how each attempt ended", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			job, task, err := parseJobTask(args[0])
			if err != nil {
				return err
			}
			r, _, err := k.open()
			if err != nil {
				return err
			}
			history, err := jobHistory(c.Context(), k, r, job, task, address)
			if err != nil {
				return err
			}
			if k.format == "json" {
				return json.NewEncoder(c.OutOrStdout()).Encode(history)
			}
			for _, e := range history {
				at := "                   "
				if !e.At.IsZero() {
					at = e.At.Format("2006-01-02 15:04:05")
				}
				fmt.Fprintf(c.OutOrStdout(), "%s  %s\n", at, archive.EscapeForTerminal(e.Text))
			}
			return nil
		},
	}
	k.addArchiveFlags(c)
	c.Flags().StringVar(&address, "address", "", "a controller's address, to ask what the job waits for now; with --site its controllers are asked")
	return c
}

// Event is one line of a job's history.
type Event struct {
	At   time.Time `json:"at,omitzero"`
	Text string    `json:"text"`
}

// jobHistory returns a job's history, from the archive's records and the answers of controllers.
func jobHistory(ctx context.Context, k *archiveClient, r *reader.Client, job string, task int, address string) ([]Event, error) {
	attempts, completeness, err := r.Attempts(ctx, reader.Query{Job: job, Files: true})
	if err != nil {
		return nil, err
	}
	if len(attempts) == 0 {
		return nil, fmt.Errorf("%s: %w", job, reader.ErrNotFound)
	}
	history := []Event{{Text: jobHeading(job, &attempts[0])}}
	if !completeness.Complete {
		history = append(history, Event{Text: strings.Join(completeness.Unresponsive, ", ") + " silent: something may be missing"})
	}
	var events []Event
	for i := range attempts {
		if a := &attempts[i]; task < 0 || a.Task == task {
			events = append(events, attemptEvents(ctx, r, a)...)
		}
	}
	slices.SortStableFunc(events, compareEvents)
	history = append(history, events...)
	return append(history, currentState(k, job, address)...), nil
}

// jobHeading returns a line with a job's class, urgency, team and customer.
func jobHeading(job string, a *anode.Attempt) string {
	owner := "team " + a.Team
	if a.Customer != "" {
		owner += ", customer " + a.Customer
	}
	return fmt.Sprintf("%s: class %s, urgency %s, of %s", job, a.Class, a.Urgency, owner)
}

// attemptEvents returns the events of one attempt.
func attemptEvents(ctx context.Context, r *reader.Client, a *anode.Attempt) []Event {
	name := fmt.Sprintf("task %d, attempt %d on %s", a.Task, a.Try, a.Machine)
	events := []Event{{time.UnixMilli(a.At), name + ": bound there"}}
	if a.End == nil {
		events = append(events, Event{Text: name + ": no end on record: it runs, or its machine is lost or cut off"})
	} else {
		if a.End.Began > 0 && a.End.At > a.End.Began {
			name += fmt.Sprintf(" (%s)", time.Duration(a.End.At-a.End.Began)*time.Millisecond)
		}
		events = append(events, Event{time.UnixMilli(a.End.At), name + ": " + describeEnd(a.End)})
		if a.End.Cause != protocol.CauseDone {
			if line := lastLine(ctx, r, a.Attempt); line != "" {
				events = append(events, Event{time.UnixMilli(a.End.At), "    its last words: " + line})
			}
		}
	}
	if x := a.Expired; x != nil {
		events = append(events, Event{time.UnixMilli(x.At), name + ": output expired: " + x.Reason})
	}
	return events
}

// describeEnd describes how an attempt ended and how much of its output is kept.
func describeEnd(e *archive.End) string {
	text := describeCause(e.Cause)
	if e.Code != 0 {
		text += fmt.Sprintf(", exit status %d", e.Code)
	}
	if n := e.Sizes[archive.Stdout] + e.Sizes[archive.Stderr]; n > 0 || e.Files > 0 {
		text += fmt.Sprintf("; wrote %d bytes and %d files that are kept", n, e.Files)
	}
	return text
}

// compareEvents orders events by time, with events without a time last.
func compareEvents(a, b Event) int {
	if a.At.IsZero() != b.At.IsZero() {
		if a.At.IsZero() {
			return 1
		}
		return -1
	}
	return a.At.Compare(b.At)
}

// currentState asks the controllers for the job's state and for what it waits for. It returns
// nothing if no controller is known.
func currentState(k *archiveClient, job, address string) (events []Event) {
	if k.site == "" && address == "" {
		return nil
	}
	controllers := newClient()
	controllers.site, controllers.address, controllers.timeout = k.site, address, k.timeout
	var s protocol.JobState
	if err := controllers.get(protocol.PathJobs+"/"+job, &s); err == nil {
		events = append(events, Event{Text: "now: " + describe(s)})
	}
	var p protocol.JobPage
	path := fmt.Sprintf("%s?all=false&from=%s", protocol.PathJobList, justBefore(job))
	if err := controllers.get(path, &p); err != nil || len(p.Jobs) == 0 {
		return events
	}
	if first := &p.Jobs[0]; first.ID == job && first.WaitingFor != "" {
		events = append(events, Event{Text: "waits for: " + first.WaitingFor})
	}
	return events
}

// justBefore returns a name that sorts directly before a job id, so that a list read from it begins
// with that job.
func justBefore(job string) string { return job[:len(job)-1] + string(job[len(job)-1]-1) + "~" }

// describeCause returns the cause of an attempt's end in words.
func describeCause(cause string) string {
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

// lastLine returns the last line of an attempt's stderr that is not blank, or of its stdout if
// stderr has none. It cuts the line to 200 bytes, and returns "" if there is none at all.
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
