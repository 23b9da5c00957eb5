package fencing

import "time"

// MaxClockDrift bounds the drift between two monotonic clocks, as a fraction of the elapsed time.
// Half of it is for the clocks themselves and half for the delay of timers.
const MaxClockDrift = 0.001

// horizonFraction is the part of the time between lease_s and cancel_s that the horizon uses. The
// rest is reserved for a machine to stop its tasks.
const horizonFraction = 0.9

// CancelHorizon returns the maximum age of the last proof that this controller knows of every
// confirmed cancellation. While the proof is older, the controller answers no workers. cancel and
// lease are the settings cancel_s and lease_s. The result is 0 if the settings leave no time.
//
// Let a cancellation be confirmed at C, after the controller asked for the proof. The last heartbeat
// that it answers without a kill for the job's tasks arrives at most the horizon after it asked, by
// its clock. The heartbeat was sent before it arrived, and the worker's lease runs from the sending,
// by the worker's clock. The worker executes no answer and no delayed or overtaken command in a
// later epoch. So the tasks have ended by
//
//	C + horizon·(1+MaxClockDrift) + lease_s·(1+MaxClockDrift) <= C + cancel_s
//
// An answer in flight adds nothing, since the lease does not run from the answer's arrival. Neither
// does a machine that hangs: it continues within its lease or not at all. A tenth of the time between
// lease_s and cancel_s is reserved for a machine to stop its tasks.
func CancelHorizon(cancel, lease time.Duration) time.Duration {
	room := float64(cancel - lease)
	return max(0, time.Duration(horizonFraction*room-MaxClockDrift*float64(cancel)))
}
