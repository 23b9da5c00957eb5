package coordination

import (
	"encoding/json"
	"log/slog"
	"strings"

	"silvergate/internal/protocol"
	"silvergate/internal/stateclient"
)

// Keys and key prefixes of the records in the state service. All but keyJobExtra are mirrored.
const (
	keyJob          = stateclient.MirroredPrefix + "j/"
	keyPage         = stateclient.MirroredPrefix + "p/"
	keyClaim        = stateclient.MirroredPrefix + "c/"
	keyTeam         = stateclient.MirroredPrefix + "q/"
	keyMember       = stateclient.MirroredPrefix + "m/"
	keyDrain        = stateclient.MirroredPrefix + "x/"
	keyData         = stateclient.MirroredPrefix + "d/"
	keyStaging      = stateclient.MirroredPrefix + "s/"
	keyRental       = stateclient.MirroredPrefix + "h/"
	keyFailover     = stateclient.MirroredPrefix + "t/"
	keyCompletions  = stateclient.MirroredPrefix + "e/"
	keyFleet        = stateclient.MirroredPrefix + "fleet"
	keyGang         = stateclient.MirroredPrefix + "gang"
	keyMachineTypes = stateclient.MirroredPrefix + "flavors"
	keyJobExtra     = stateclient.UnmirroredPrefix + "d/"
)

// splitKey splits a mirrored record's key into the key prefix of its kind and its name. For a
// kind with only one record, kind is the whole key and name is "".
func splitKey(key string) (kind, name string) {
	const prefixLength = len(stateclient.MirroredPrefix)
	slash := strings.IndexByte(key[prefixLength:], '/')
	if slash < 0 {
		return key, ""
	}
	kind = key[:prefixLength+slash+1]
	return kind, key[len(kind):]
}

// applyChange applies a change of a mirrored record; data is nil if the record was deleted.
func (c *Core) applyChange(key string, data json.RawMessage, revision uint64) {
	kind, name := splitKey(key)
	switch kind {
	case keyJob:
		c.applyJob(name, data, revision)
	case keyPage:
		c.applyPage(name, data, revision)
	case keyClaim:
		c.applyClaim(name, data, revision)
	case keyFailover:
		c.applyFailover(name, data, revision)
	case keyCompletions:
		c.applyCompletionRecord(name, data)
	case keyTeam:
		c.jobs.applyTeam(c.log, name, data, revision)
	case keyMember:
		c.applyMember(name, data)
	case keyDrain:
		c.applyDrain(name, data)
	case keyData:
		c.staging.applySet(name, data)
	case keyStaging:
		c.staging.applyStaging(name, data, revision)
	case keyRental:
		c.scaler.applyRental(name, data)
	case keyFleet:
		c.scaler.applyLeadership(data, revision)
	case keyGang:
		c.gangs.applyReservation(data, c.now)
	case keyMachineTypes:
		c.applyMachineTypes(data)
	}
}

// applyMachineTypes adopts the machine types that another controller published, unless this
// controller knows machine types already.
func (c *Core) applyMachineTypes(data json.RawMessage) {
	if len(c.catalogue.types) > 0 || data == nil {
		return
	}
	var types protocol.MachineTypes
	if protocol.Decode(data, &types) == nil {
		c.catalogue.update(&types)
	}
}

// decode decodes a record into v. It logs a record that it can't decode, which a later version
// may have written, and returns false.
func decode(log *slog.Logger, key string, data json.RawMessage, v any) bool {
	if err := protocol.DecodeState(data, v); err != nil {
		log.Error("unreadable record", "key", key, "error", err)
		return false
	}
	return true
}

// encode encodes a record or a response as JSON.
func encode(v any) json.RawMessage { return protocol.Encode(v) }
