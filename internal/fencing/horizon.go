package fencing

import "time"

// MaxClockDrift is the most by which two steady clocks run apart, as a fraction of the time that
// passes, with as much again for what timers add.
const MaxClockDrift = 0.001

// horizonFraction is how much of the room between lease_s and cancel_s the horizon takes. The
// rest is kept for what a machine takes to stop.
const horizonFraction = 0.9

// CancelHorizon is how old the last proof may be that no cancellation was confirmed which we
// don't know of, for workers to be answered on the strength of it. cancel and lease are the
// settings cancel_s and lease_s. It is 0 if the settings leave no room.
//
// Let a cancellation be confirmed at C, after the proof was asked for. The last heartbeat that is
// answered without a kill for its tasks arrives at most the horizon after the asking, by our clock.
// It was sent before it arrived, and the worker's lease counts from its sending, by the worker's
// clock; nothing that was told to it, and no command that was delayed or overtaken, is carried out
// in a later epoch. So the tasks are gone by
//
//	C + horizon·(1+Drift) + lease_s·(1+Drift) <= C + cancel_s
//
// An answer under way adds nothing, since the lease does not count from its arrival, and neither
// does a machine that hangs: it goes on within its lease or not at all. A tenth of the room between
// lease_s and cancel_s is kept, for what a machine takes to stop.
func CancelHorizon(cancel, lease time.Duration) time.Duration {
	room := float64(cancel - lease)
	return max(0, time.Duration(horizonFraction*room-MaxClockDrift*float64(cancel)))
}
