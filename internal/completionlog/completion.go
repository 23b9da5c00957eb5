package completionlog

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Task identifies a task of a job.
type Task struct {
	Job   string
	Index int // counts from 0
}

// Completion is an attempt that has completed.
type Completion struct {
	Task
	Attempt int // counts from 1
	Machine string
	Epoch   uint64 // the agent's epoch in which the attempt ran
}

// String returns the completion as it is stored in records: job/index.attempt machine epoch.
func (c Completion) String() string {
	return c.Job + "/" + strconv.Itoa(c.Index) + "." + strconv.Itoa(c.Attempt) + " " + c.Machine + " " + strconv.FormatUint(c.Epoch, 10)
}

// errMalformed is the error for text that is not in the format of Completion.String.
var errMalformed = errors.New("not a completion")

// Parse parses a completion in the format of Completion.String.
func Parse(s string) (Completion, error) {
	c, ok := parse(s)
	if !ok {
		return Completion{}, fmt.Errorf("%q: %w", s, errMalformed)
	}
	return c, nil
}

func parse(s string) (c Completion, ok bool) {
	fields := strings.Split(s, " ")
	if len(fields) != 3 {
		return c, false
	}
	job, rest, hasIndex := strings.Cut(fields[0], "/")
	index, attempt, hasAttempt := strings.Cut(rest, ".")
	if !hasIndex || !hasAttempt {
		return c, false
	}
	var errs [3]error
	c.Job, c.Machine = job, fields[1]
	c.Index, errs[0] = strconv.Atoi(index)
	c.Attempt, errs[1] = strconv.Atoi(attempt)
	c.Epoch, errs[2] = strconv.ParseUint(fields[2], 10, 64)
	if errors.Join(errs[:]...) != nil {
		return c, false
	}
	return c, c.Job != "" && c.Machine != "" && c.Index >= 0 && c.Attempt >= 1
}

// Record is the value of one key of the log: completions in the format of Completion.String.
type Record struct {
	Completions []string `json:"e"`
}
