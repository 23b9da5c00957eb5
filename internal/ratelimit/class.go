package ratelimit

import "strconv"

// Class is the class of a request. It decides which goes first when the budget is short.
type Class int

const (
	// Safety is for leases and cancellations.
	Safety Class = iota
	// UrgentWork is for placements and endings of work of the highest priority.
	UrgentWork
	// UserRequests is for answers that users wait for.
	UserRequests
	// UrgentClaims is for workers on whose machines work of the highest priority runs.
	UrgentClaims
	// BusyClaims is for workers on whose machines other work runs.
	BusyClaims
	// OtherWork is for placements and endings of other work, and for the fleet.
	OtherWork
	// IdleClaims is for workers without any work.
	IdleClaims
	// Background is for publications and what can wait.
	Background

	// NumClasses is the number of classes.
	NumClasses = 8
)

var classNames = [NumClasses]string{
	Safety:       "safety",
	UrgentWork:   "urgent work",
	UserRequests: "user requests",
	UrgentClaims: "urgent claims",
	BusyClaims:   "busy claims",
	OtherWork:    "other work",
	IdleClaims:   "idle claims",
	Background:   "background",
}

// String returns the class's name.
func (c Class) String() string {
	if c < 0 || c >= NumClasses {
		return "Class(" + strconv.Itoa(int(c)) + ")"
	}
	return classNames[c]
}

// none is the class of no request.
const none Class = -1

const numTiers = 5

// tierOf is the tier of each class. A lower tier goes first; within one, classes take
// turns by what they cost. A claim that keeps several tasks running goes before what
// starts or ends as many, which costs more changes and loses their work.
var tierOf = [NumClasses]int{
	Safety:       0,
	UrgentWork:   1,
	UserRequests: 1,
	UrgentClaims: 1,
	BusyClaims:   2,
	OtherWork:    3,
	IdleClaims:   3,
	Background:   4,
}
