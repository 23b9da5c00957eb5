package archive

import "silvergate/internal/identity"

// Verb is what somebody asks of the archive. Verbs are part of the access log.
type Verb string

// Verbs that Access decides about.
const (
	Read  Verb = "read"  // a job's output, files, index and history
	Write Verb = "write" // an attempt's records
	Sync  Verb = "sync"  // what nodes exchange with each other
	Admin Verb = "admin" // a node's figures, scrubs, revocations
)

// Access decides who may do what with what belongs to an owner; machine is where
// the attempt was bound. It is the only place where that is decided. What it
// denies is answered as if it did not exist.
func Access(who identity.Identity, verb Verb, owner Owner, machine string) bool {
	switch who.Kind {
	case identity.Node:
		return verb == Sync || verb == Read
	case identity.Operator:
		return verb == Read || verb == Admin
	case identity.Agent:
		// Only for its own attempts, and it reads nothing, its own included: a
		// machine that was taken over must not tell what it ran before.
		return verb == Write && machine != "" && who.Name == machine
	case identity.Team:
		return verb == Read && owner.Team != "" && who.Name == owner.Team
	case identity.Customer:
		return verb == Read && owner.Team != "" && owner.Customer != "" && who.Name == owner.Team && who.Customer == owner.Customer
	}
	return false
}
