package fencing

import "time"

// Drift is the most by which two steady clocks run apart, with as much again for what timers add.
const Drift = 0.001

// CancelHorizon is how old the last proof may be that no cancellation was confirmed which we don't
// know of, for workers to be answered on the strength of it.
//
// Let a cancellation be confirmed at C, after the proof was asked for. The last report that is
// answered without a stop for its tasks arrives at most Horizon after the asking, by our clock. It was sent
// before it arrived, and the worker's lease counts from its sending, by the worker's clock; nothing that
// was told to it, and no command that was held up or overtaken, is carried out in a later session. So the
// tasks are gone by
//
//	C + Horizon·(1+Drift) + lease_s·(1+Drift) <= C + cancel_s
//
// An answer under way adds nothing, since the lease does not count from its arrival, and neither does a machine
// that hangs: it goes on within its lease or not at all. A tenth of the room between lease_s and
// cancel_s is kept, for what a machine takes to stop.
func CancelHorizon(cancel, lease time.Duration) time.Duration {
	room := float64(cancel - lease)
	return max(0, time.Duration(0.9*room-Drift*float64(cancel)))
}
