package connectivity

import (
	"fmt"
	"testing"

	"silvergate/internal/modelcheck"
)

// The model of relayed calls: a caller that crashes once and then numbers its calls anew, two
// relaying peers, messages that are lost, late, duplicated and delivered in any order, and
// deadlines that pass. The invariant: an answer is accepted only for the very call that it answers.
// Answers are accepted by the production code's matchesRequest; origin identifies a call across
// crashes and is known only to the model.

// maxModelCalls is how many calls the caller makes in all.
const maxModelCalls = 4

// modelCall is a call of the caller.
type modelCall struct {
	pending bool // waits for its answer
	id, to  uint8
	hash    uint8
	origin  uint8 // number of the call among all calls, from 1
}

// modelMessage is a message on the network: a call, or the answer to it.
type modelMessage struct {
	answer          bool
	incarnation, id uint8
	to, hash        uint8
	origin          uint8 // of the call; 0: the slot is free
}

// relayModelState is a state of the model.
type relayModelState struct {
	incarnation, lastID, callsMade uint8
	calls                          [2]modelCall
	network                        [3]modelMessage
	violated                       bool
}

// send puts a message on the network and reports whether there was a free slot for it.
func (w relayModelState) send(message modelMessage) (relayModelState, bool) {
	for i := range w.network {
		if w.network[i].origin == 0 {
			w.network[i] = message
			return w, true
		}
	}
	return w, false
}

// matcher reports whether an answer belongs to a call, as matchesRequest does.
type matcher func(incarnation int64, to string, requestHash uint64, from string, response *RelayResponse) bool

func relayModel(matches matcher) modelcheck.Model[relayModelState] {
	return modelcheck.Model[relayModelState]{
		Start: relayModelState{incarnation: 1},
		Next: func(w *relayModelState, emit func(relayModelState)) {
			w.callSteps(emit)
			for i, message := range w.network {
				if message.origin != 0 {
					w.messageSteps(i, matches, emit)
				}
			}
			if w.incarnation == 1 { // the caller crashes
				next := *w
				next.incarnation, next.lastID, next.calls = 2, 0, [2]modelCall{}
				emit(next)
			}
		},
		Violation: func(w *relayModelState) string {
			if w.violated {
				return "an answer to another call was accepted"
			}
			return ""
		},
		Label: func(_, to *relayModelState) string {
			return fmt.Sprintf("incarnation %d, calls %v, on the network %v", to.incarnation, to.calls, to.network)
		},
	}
}

// callSteps emits the states in which a call is made in the first free slot, and those in which the
// deadline of a pending call passes.
func (w *relayModelState) callSteps(emit func(relayModelState)) {
	for i := range w.calls {
		if !w.calls[i].pending && w.callsMade < maxModelCalls {
			for peer := uint8(1); peer <= 2; peer++ {
				for hash := uint8(1); hash <= 2; hash++ { // the same transaction again, or another
					w.startCall(i, peer, hash, emit)
				}
			}
			break
		}
		if w.calls[i].pending { // the call's deadline passes
			next := *w
			next.calls[i] = modelCall{}
			emit(next)
		}
	}
}

func (w *relayModelState) startCall(slot int, peer, hash uint8, emit func(relayModelState)) {
	next := *w
	next.lastID, next.callsMade = next.lastID+1, next.callsMade+1
	next.calls[slot] = modelCall{true, next.lastID, peer, hash, next.callsMade}
	if next, ok := next.send(modelMessage{false, next.incarnation, next.lastID, peer, hash, next.callsMade}); ok {
		emit(next)
	}
}

// messageSteps emits the states in which a message is lost, duplicated or delivered.
func (w *relayModelState) messageSteps(slot int, matches matcher, emit func(relayModelState)) {
	message, next := w.network[slot], *w
	next.network[slot] = modelMessage{} // lost
	emit(next)
	if duplicated, ok := w.send(message); ok {
		emit(duplicated)
	}
	if !message.answer { // the peer answers it
		next.network[slot] = message
		next.network[slot].answer = true
		emit(next)
		return
	}
	response := &RelayResponse{Incarnation: int64(message.incarnation), ID: uint64(message.id), RequestHash: uint64(message.hash)}
	for i := range next.calls {
		call := &next.calls[i]
		if call.pending && call.id == message.id && matches(int64(next.incarnation), nodeName(call.to), uint64(call.hash), nodeName(message.to), response) {
			next.violated = next.violated || call.origin != message.origin
			*call = modelCall{}
		}
	}
	emit(next)
}

func nodeName(n uint8) string { return fmt.Sprint("n", n) }

// TestRelayedAnswersBelongToTheirCalls explores all states of the model.
func TestRelayedAnswersBelongToTheirCalls(t *testing.T) {
	r := modelcheck.Run(relayModel(matchesRequest), 6_000_000)
	t.Log(r.States, "states, depth", r.Depth)
	if r.Violation != "" || !r.Complete {
		t.Error(r)
	}
}

// TestRelayModelFindsIgnoredIncarnation checks that the model detects a fault that is put into it on
// purpose: a matcher that ignores the incarnation.
func TestRelayModelFindsIgnoredIncarnation(t *testing.T) {
	r := modelcheck.Run(relayModel(func(_ int64, to string, requestHash uint64, from string, response *RelayResponse) bool {
		return matchesRequest(response.Incarnation, to, requestHash, from, response)
	}), 1_000_000)
	t.Log(r.States, "states, depth", r.Depth)
	if r.Violation == "" || len(r.Trace) > 8 {
		t.Errorf("the model did not find, within 8 steps, that the incarnation is ignored: %v", r)
	}
}
