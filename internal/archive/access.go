package archive

import "silvergate/internal/identity"

// Verb is a kind of operation on the archive. Verbs appear in the access log.
type Verb string

// Verbs that Access knows.
const (
	Read  Verb = "read"  // a job's output, files, index and history
	Write Verb = "write" // an attempt's records
	Sync  Verb = "sync"  // synchronization between nodes
	Admin Verb = "admin" // a node's statistics
)

// Access reports whether an identity may perform an operation on records that belong to
// an owner. machine is the machine that the attempt was bound to. Access makes every
// authorization decision of the archive. A denied request gets the same response as a
// request for something that does not exist.
func Access(who identity.Identity, verb Verb, owner Owner, machine string) bool {
	switch who.Kind {
	case identity.Node:
		return verb == Sync || verb == Read
	case identity.Operator:
		return verb == Read || verb == Admin
	case identity.Agent:
		// An agent writes only its own attempts' records and reads nothing, not even
		// its own: a compromised machine must not reveal what it ran before.
		return verb == Write && machine != "" && who.Name == machine
	case identity.Team:
		return verb == Read && owner.Team != "" && who.Name == owner.Team
	case identity.Customer:
		return verb == Read && owner.Team != "" && owner.Customer != "" && who.Name == owner.Team && who.Customer == owner.Customer
	}
	return false
}
