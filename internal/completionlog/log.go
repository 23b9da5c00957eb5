// Package completionlog keeps a log of attempts that have completed: a controller writes
// what it has found, of all jobs, in one record, in place of a write of each task's page.
//
// An entry names the attempt: job, task, number, machine and agent epoch. That it has
// completed stays true, whoever owns the machine, so an entry needs no condition, and one
// that is written late or twice changes nothing. Readers hold a task to have completed
// that a page binds and an entry names. A page takes the entry in when it is written for
// another reason, or after a while; when all pages have, or their jobs are over, the
// record is deleted.
//
// There is no I/O or clock in it, and no lock: a Log has one owner. docs/design.md, "The
// log of endings".
package completionlog

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// record is a record of the log with the completions that no page has taken in yet.
type record struct {
	addedAt time.Duration // when it came to be known
	open    map[Task]Completion
}

// Log holds the records. The zero value is not usable; see NewLog.
type Log struct {
	records map[string]*record
	// byTask has the names of the records that have an open completion of a task, by job and index.
	byTask map[string]map[int][]string
}

// NewLog makes an empty log.
func NewLog() *Log {
	return &Log{records: map[string]*record{}, byTask: map[string]map[int][]string{}}
}

// Add takes a record that came to be known now, and returns its completions. What is not a
// completion in it is passed over; so is a record of a name that is known, as records never change.
func (l *Log) Add(name string, r Record, now time.Duration) (added []Completion) {
	if l.records[name] != nil {
		return nil
	}
	rec := &record{addedAt: now, open: map[Task]Completion{}}
	l.records[name] = rec
	for _, entry := range r.Completions {
		c, err := Parse(entry)
		if err != nil {
			continue
		}
		rec.open[c.Task] = c
		if l.byTask[c.Job] == nil {
			l.byTask[c.Job] = map[int][]string{}
		}
		l.byTask[c.Job][c.Index] = append(l.byTask[c.Job][c.Index], name)
		added = append(added, c)
	}
	return added
}

// Remove takes that a record is deleted.
func (l *Log) Remove(name string) {
	rec := l.records[name]
	if rec == nil {
		return
	}
	for task := range rec.open {
		l.removeFromIndex(task, name)
	}
	delete(l.records, name)
}

// removeFromIndex takes a record off the index of a task.
func (l *Log) removeFromIndex(task Task, name string) {
	names := slices.DeleteFunc(l.byTask[task.Job][task.Index], func(n string) bool { return n == name })
	if len(names) > 0 {
		l.byTask[task.Job][task.Index] = names
		return
	}
	delete(l.byTask[task.Job], task.Index)
	if len(l.byTask[task.Job]) == 0 {
		delete(l.byTask, task.Job)
	}
}

// Has tells whether an attempt is in the log.
func (l *Log) Has(c Completion) bool {
	for _, name := range l.byTask[c.Job][c.Index] {
		if l.records[name].open[c.Task] == c {
			return true
		}
	}
	return false
}

// HasLaterAttempt tells whether the log has an attempt of a task after the one of that number.
func (l *Log) HasLaterAttempt(task Task, attempt int) bool {
	for _, name := range l.byTask[task.Job][task.Index] {
		if l.records[name].open[task].Attempt > attempt {
			return true
		}
	}
	return false
}

// TasksOf lists the tasks of a job that are in the log, in order.
func (l *Log) TasksOf(job string) []int { return slices.Sorted(maps.Keys(l.byTask[job])) }

// Settle takes that a task's page shows a later state than any completion of it, or has taken it
// in. A page that binds a later attempt is not concerned by completions of earlier ones.
func (l *Log) Settle(task Task) {
	for _, name := range slices.Clone(l.byTask[task.Job][task.Index]) {
		delete(l.records[name].open, task)
		l.removeFromIndex(task, name)
	}
}

// SettleJob takes that a job is over.
func (l *Log) SettleJob(job string) {
	for _, index := range l.TasksOf(job) {
		l.Settle(Task{job, index})
	}
}

// Settled lists the records of which no completion is open, in order. They may be deleted.
func (l *Log) Settled() (names []string) {
	for name, rec := range l.records {
		if len(rec.open) == 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// OpenBefore lists the tasks with an open completion in a record that was known before a time, in
// order; a task is listed once for each such record.
func (l *Log) OpenBefore(before time.Duration) (tasks []Task) {
	for _, rec := range l.records {
		if rec.addedAt < before {
			tasks = slices.AppendSeq(tasks, maps.Keys(rec.open))
		}
	}
	slices.SortFunc(tasks, func(a, b Task) int {
		return cmp.Or(strings.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
	return tasks
}

// Len is how many records there are.
func (l *Log) Len() int { return len(l.records) }
