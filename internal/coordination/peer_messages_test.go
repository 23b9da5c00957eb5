package coordination

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"silvergate/internal/connectivity"
	"silvergate/internal/peer"
)

// These types are the messages of the version before link reports and relayed calls, with the
// field names under which gob sends them.
type (
	earlierHeartbeat struct {
		FreshMS           int64
		Hungry            bool
		Lit, Dark, Unkept []string
	}
	earlierQuery struct {
		At     time.Duration
		Ledger uint64
	}
	earlierMessage struct {
		Beat *earlierHeartbeat
		Ask  *earlierQuery
	}
)

// TestMessagesOfOtherVersions checks that gob carries messages in both directions between this
// version and the one before link reports and relayed calls.
func TestMessagesOfOtherVersions(t *testing.T) {
	var link bytes.Buffer
	encoder := gob.NewEncoder(&link)
	decoder := gob.NewDecoder(&link)
	for _, v := range []struct {
		name    string
		message peer.Message
		wanted  func(earlier earlierMessage) bool
	}{
		{"heartbeat", peer.Message{Heartbeat: &peer.Heartbeat{MirrorAgeMS: 7, Links: []connectivity.LinkReport{{Node: "n1", HearsPeers: []string{"n2"}}}}},
			func(earlier earlierMessage) bool { return earlier.Beat != nil && earlier.Beat.FreshMS == 7 }},
		{"relay request", peer.Message{RelayRequest: &connectivity.RelayRequest{ID: 3}},
			func(earlier earlierMessage) bool { return earlier.Beat == nil && earlier.Ask == nil }},
		{"forwarded message", peer.Message{Forwarded: &peer.ForwardedMessage{From: "n1"}},
			func(earlier earlierMessage) bool { return earlier.Beat == nil && earlier.Ask == nil }},
		{"cancellation query", peer.Message{CancellationQuery: &peer.CancellationQuery{AskedAt: 5, AppliedRevision: 9, Incarnation: 4}},
			func(earlier earlierMessage) bool { return earlier.Ask != nil && earlier.Ask.Ledger == 9 }},
	} {
		t.Run(v.name, func(t *testing.T) {
			if err := encoder.Encode(v.message.Wire()); err != nil {
				t.Fatal(err)
			}
			var earlier earlierMessage
			if err := decoder.Decode(&earlier); err != nil {
				t.Fatalf("the earlier version can't decode %+v: %v", v.message, err)
			}
			if !v.wanted(earlier) {
				t.Errorf("the earlier version decodes %+v as %+v", v.message, earlier)
			}
		})
	}
	if err := encoder.Encode(earlierMessage{Beat: &earlierHeartbeat{FreshMS: 8, Hungry: true}}); err != nil {
		t.Fatal(err)
	}
	var wire peer.WireMessage
	err := decoder.Decode(&wire)
	message := wire.Message()
	if err != nil || message.Heartbeat == nil || message.Heartbeat.MirrorAgeMS != 8 || message.Heartbeat.Links != nil {
		t.Errorf("a heartbeat of the earlier version is decoded as %+v, error %v", message.Heartbeat, err)
	}
}

// FuzzPeerMessages sends arbitrary bytes to a controller as a peer message, decoded in the same way
// as in the program.
func FuzzPeerMessages(f *testing.F) {
	for _, message := range []peer.Message{
		{Heartbeat: &peer.Heartbeat{MirrorAgeMS: 7, Links: []connectivity.LinkReport{{Node: "n1", AgeMS: -1, HearsPeers: []string{"n2"}}}}},
		{RelayRequest: &connectivity.RelayRequest{ID: 3, Method: "GET", Path: "/watch?under=sg/", TimeoutMS: 500}},
		{RelayResponse: &connectivity.RelayResponse{ID: 1, Incarnation: 2, Status: 200}},
		{Forwarded: &peer.ForwardedMessage{From: "n1", To: "n0", Query: &peer.CancellationQuery{AskedAt: 1}}},
		{Forwarded: &peer.ForwardedMessage{From: "n2", To: "n1"}},
		{CancellationReply: &peer.CancellationReply{AskedAt: 1 << 60, Cancelled: []string{"x"}}},
		{Handoff: &peer.TaskHandoff{Job: "wk-000001", Tasks: []int{-1, 1 << 40}}},
	} {
		var encoded bytes.Buffer
		if err := gob.NewEncoder(&encoded).Encode(message.Wire()); err != nil {
			f.Fatal(err)
		}
		f.Add(encoded.Bytes())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var wire peer.WireMessage
		if gob.NewDecoder(bytes.NewReader(data)).Decode(&wire) != nil {
			return
		}
		message := wire.Message()
		s := newSim(t, 9990, 0)
		s.run(4 * time.Second) // the controllers load the records
		n := s.controllers[0]
		for _, from := range []string{"n1", "nobody"} {
			n.applyEffects(n.recorded.Peer(n.clock(), from, message))
		}
		s.run(8 * time.Second)
		if len(s.violations) > 0 {
			t.Error(s.violations)
		}
	})
}
