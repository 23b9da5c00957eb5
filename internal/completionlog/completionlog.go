// Package completionlog keeps a log of tasks that have completed: a controller writes what it
// has found, of all jobs, in one record, in place of a write of each task's page.
//
// An entry names the attempt: job, task, number, machine and session. That it has
// completed stays true, whoever holds the machine, so an entry needs no condition, and one
// that is carried out late or twice changes nothing. Readers hold a task to have completed
// that a page binds and an entry names. A page takes the entry in when it is written for
// another reason, or after a while; when all pages have, or their jobs are over, the
// record goes.
//
// There is no I/O or clock in it. docs/design.md, "The log of endings".
package completionlog

import (
	"errors"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Task names a task of a job.
type Task struct {
	Job   string
	Index int
}

// Completion is an attempt that has completed.
type Completion struct {
	Task
	Attempt int
	Machine string
	Epoch   uint64
}

// String is the ending as records hold it: job/index.try machine session.
func (e Completion) String() string {
	return e.Job + "/" + strconv.Itoa(e.Index) + "." + strconv.Itoa(e.Attempt) + " " + e.Machine + " " + strconv.FormatUint(e.Epoch, 10)
}

var errMalformedCompletion = errors.New("not an ending")

// Parse reads what String writes.
func Parse(s string) (e Completion, err error) {
	words := strings.Split(s, " ")
	if len(words) != 3 {
		return e, errMalformedCompletion
	}
	id, rest, found := strings.Cut(words[0], "/")
	index, attempt, dotted := strings.Cut(rest, ".")
	var errs [3]error
	e.Job, e.Machine = id, words[1]
	e.Index, errs[0] = strconv.Atoi(index)
	e.Attempt, errs[1] = strconv.Atoi(attempt)
	e.Epoch, errs[2] = strconv.ParseUint(words[2], 10, 64)
	if !found || !dotted || id == "" || e.Machine == "" || e.Index < 0 || e.Attempt < 1 || errors.Join(errs[:]...) != nil {
		return Completion{}, errMalformedCompletion
	}
	return e, nil
}

// Record is what a key holds.
type Record struct {
	Completions []string `json:"e"`
}

// record is a record of the log with the entries that no page has taken in yet.
type record struct {
	since time.Duration // when it came to be known
	open  map[Task]Completion
}

// Log holds the records. The zero value is not usable; see NewLog.
type Log struct {
	records map[string]*record
	// tasks has the records that name a task, by job.
	tasks map[string]map[int][]string
}

// NewLog makes an empty log.
func NewLog() *Log {
	return &Log{records: map[string]*record{}, tasks: map[string]map[int][]string{}}
}

// Add takes a record; what is not an ending in it is passed over.
func (l *Log) Add(name string, r Record, now time.Duration) (added []Completion) {
	if l.records[name] != nil {
		return nil // records never change
	}
	x := &record{since: now, open: map[Task]Completion{}}
	l.records[name] = x
	for _, s := range r.Completions {
		e, err := Parse(s)
		if err != nil {
			continue
		}
		x.open[e.Task] = e
		if l.tasks[e.Job] == nil {
			l.tasks[e.Job] = map[int][]string{}
		}
		l.tasks[e.Job][e.Index] = append(l.tasks[e.Job][e.Index], name)
		added = append(added, e)
	}
	return added
}

// Remove takes that a record is gone.
func (l *Log) Remove(name string) {
	if x := l.records[name]; x != nil {
		for task := range x.open {
			l.forget(task, name)
		}
		delete(l.records, name)
	}
}

// forget takes a record off a task.
func (l *Log) forget(task Task, name string) {
	names := slices.DeleteFunc(l.tasks[task.Job][task.Index], func(n string) bool { return n == name })
	if len(names) > 0 {
		l.tasks[task.Job][task.Index] = names
		return
	}
	if delete(l.tasks[task.Job], task.Index); len(l.tasks[task.Job]) == 0 {
		delete(l.tasks, task.Job)
	}
}

// Has tells whether an attempt is in the log.
func (l *Log) Has(e Completion) bool {
	for _, name := range l.tasks[e.Job][e.Index] {
		if l.records[name].open[e.Task] == e {
			return true
		}
	}
	return false
}

// HasLaterAttempt tells whether the log has an attempt of a task after the one of that number.
func (l *Log) HasLaterAttempt(task Task, attempt int) bool {
	for _, name := range l.tasks[task.Job][task.Index] {
		if l.records[name].open[task].Attempt > attempt {
			return true
		}
	}
	return false
}

// TasksOf lists the tasks of a job that are in the log, in order.
func (l *Log) TasksOf(job string) []int { return slices.Sorted(maps.Keys(l.tasks[job])) }

// Settle takes that a task's page shows a later state than any entry of it, or has taken it in.
// A page that binds a later attempt is not concerned by entries of earlier ones.
func (l *Log) Settle(task Task) {
	for _, name := range slices.Clone(l.tasks[task.Job][task.Index]) {
		delete(l.records[name].open, task)
		l.forget(task, name)
	}
}

// SettleJob takes that a job is over.
func (l *Log) SettleJob(job string) {
	for _, index := range l.TasksOf(job) {
		l.Settle(Task{job, index})
	}
}

// Settled lists the records of which no entry is open, in order.
func (l *Log) Settled() (out []string) {
	for name, x := range l.records {
		if len(x.open) == 0 {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// OpenBefore lists the tasks of records that were known before a time and are open, in order.
func (l *Log) OpenBefore(before time.Duration) (out []Task) {
	for _, x := range l.records {
		if x.since < before {
			out = slices.AppendSeq(out, maps.Keys(x.open))
		}
	}
	slices.SortFunc(out, func(a, b Task) int {
		if c := strings.Compare(a.Job, b.Job); c != 0 {
			return c
		}
		return a.Index - b.Index
	})
	return out
}

// Len is how many records there are.
func (l *Log) Len() int { return len(l.records) }
