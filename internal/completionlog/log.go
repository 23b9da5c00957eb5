// Package completionlog keeps a log of completed attempts: a controller writes the completions
// that it has found, of all jobs, in one record instead of writing each task's page, the record
// of a range of consecutive tasks of a job.
//
// An entry names the attempt by job, task, number, machine and agent epoch. That the attempt
// has completed remains true under any owner of the machine, so an entry is written without a
// condition, and writing it late or twice changes nothing. Readers treat a task as completed if
// its page binds the attempt that an entry names. A page absorbs its entries when it is written
// for another reason, or after some time. Once all pages have absorbed a record's entries, or
// their jobs are over, the record is deleted.
//
// The package uses no I/O, no clock and no lock: a Log has one owner. See docs/design.md, "The
// log of endings".
package completionlog

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// record is a record of the log with its open completions: those that no page has absorbed yet.
type record struct {
	addedAt time.Duration // when Add received the record
	open    map[Task]Completion
}

// Log holds the records. The zero value is not usable; see NewLog.
type Log struct {
	records map[string]*record
	// byTask holds, by job and task index, the names of the records with an open completion of the task.
	byTask map[string]map[int][]string
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{records: map[string]*record{}, byTask: map[string]map[int][]string{}}
}

// Add adds a record that became known at the time now, and returns its completions. It skips
// malformed entries, and ignores a record whose name is known, as records never change.
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

// RemoveRecord removes a record that has been deleted from the state service.
func (l *Log) RemoveRecord(name string) {
	rec := l.records[name]
	if rec == nil {
		return
	}
	for task := range rec.open {
		l.removeFromIndex(task, name)
	}
	delete(l.records, name)
}

// removeFromIndex removes a record's name from byTask for a task.
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

// Has reports whether the log holds an open completion.
func (l *Log) Has(c Completion) bool {
	for _, name := range l.byTask[c.Job][c.Index] {
		if l.records[name].open[c.Task] == c {
			return true
		}
	}
	return false
}

// HasLaterAttempt reports whether the log holds an open completion of a later attempt of a task.
func (l *Log) HasLaterAttempt(task Task, attempt int) bool {
	for _, name := range l.byTask[task.Job][task.Index] {
		if l.records[name].open[task].Attempt > attempt {
			return true
		}
	}
	return false
}

// OpenTasks returns the indexes of a job's tasks with open completions, in ascending order.
func (l *Log) OpenTasks(job string) []int { return slices.Sorted(maps.Keys(l.byTask[job])) }

// RemoveTask removes a task's open completions from the log, because the task's page has absorbed them
// or shows a later state. Completions of earlier attempts do not affect a page that binds a later one.
func (l *Log) RemoveTask(task Task) {
	for _, name := range slices.Clone(l.byTask[task.Job][task.Index]) {
		delete(l.records[name].open, task)
		l.removeFromIndex(task, name)
	}
}

// RemoveJob removes the open completions of all tasks of a job, because the job is over.
func (l *Log) RemoveJob(job string) {
	for _, index := range l.OpenTasks(job) {
		l.RemoveTask(Task{job, index})
	}
}

// EmptyRecords returns the names of the records without open completions, in order. These records may be
// deleted.
func (l *Log) EmptyRecords() (names []string) {
	for name, rec := range l.records {
		if len(rec.open) == 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// OpenTasksBefore returns the tasks with an open completion in a record that was added before a given
// time, in order. A task appears once for each such record.
func (l *Log) OpenTasksBefore(before time.Duration) (tasks []Task) {
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

// Len returns the number of records.
func (l *Log) Len() int { return len(l.records) }
