package ratelimit

import "strconv"

// Class is the class of a request. It decides which request goes first when the budget is short.
type Class int

const (
	// Safety is for leases and cancellations.
	Safety Class = iota
	// UrgentWork is for placing and ending work of the highest priority.
	UrgentWork
	// UserRequests is for requests whose answers users wait for.
	UserRequests
	// UrgentClaims is for claims of workers that run work of the highest priority.
	UrgentClaims
	// BusyClaims is for claims of workers that run other work.
	BusyClaims
	// OtherWork is for placing and ending other work, and for managing the fleet.
	OtherWork
	// IdleClaims is for claims of workers that run no work.
	IdleClaims
	// Background is for publications and other requests that can wait.
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

// none means no class: no request can be sent.
const none Class = -1

// numTiers is the number of tiers in tierOf.
const numTiers = 5

// tierOf is the tier of each class. Lower tiers go first; within a tier the classes share the
// budget by the cost of their requests. A claim of a busy worker goes before other work: it keeps several
// tasks running, while starting or ending as many costs more changes and loses their work.
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
