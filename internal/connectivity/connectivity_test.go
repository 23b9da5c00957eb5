package connectivity

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"silvergate/internal/protocol"
)

const report = 4 * time.Second

// made is controller n0 of five, whose peers n1 to n4 are heard and well.
func made() *Tracker {
	c := Config{Self: "n0", Incarnation: 7, HeartbeatInterval: report, StaleAfter: 2500 * time.Millisecond}
	for i := 1; i < 5; i++ {
		c.Peers = append(c.Peers, Controller{fmt.Sprintf("n%d", i), []string{"a", "b"}[i%2]})
	}
	return New(c)
}

func (r *Tracker) hearAll() {
	for _, p := range r.cfg.Peers {
		r.ReceiveHeartbeat(p.Node, 0, false, []LinkReport{{Node: p.Node, HearsPeers: []string{"n0"}}})
	}
}

// drawPeer draws what is known of a controller, also what no honest one says.
func drawPeer(t *rapid.T, name string) Peer {
	age := rapid.SampledFrom([]int64{-5, 0, 900, 2400, 2600, 60_000, 1 << 60})
	zone := rapid.SampledFrom([]string{"a", "b", ""})
	return Peer{Controller: Controller{name, zone.Draw(t, "zone")}, HeartbeatAge: time.Duration(rapid.IntRange(0, 9000).Draw(t, "word")) * time.Millisecond,
		ReportAge: time.Duration(rapid.IntRange(0, 60_000).Draw(t, "age")) * time.Millisecond, Relays: rapid.Bool().Draw(t, "carries"), RelayBackoff: rapid.Bool().Draw(t, "cooling"),
		LinkReport: LinkReport{Node: name, StateServiceMS: age.Draw(t, "state"), MirrorAgeMS: age.Draw(t, "fresh"), HearsNoWorkers: rapid.Bool().Draw(t, "deaf"), Throttled: rapid.Bool().Draw(t, "hungry"),
			HearsPeers: rapid.SliceOfN(rapid.SampledFrom([]string{"n0", "n1", "n2", "n3"}), 0, 3).Draw(t, "hears"),
			Zones: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) ZoneReport {
				return ZoneReport{zone.Draw(t, "z"), rapid.IntRange(-2, 9).Draw(t, "held"), age.Draw(t, "heard"), rapid.Bool().Draw(t, "lost")}
			}), 0, 3).Draw(t, "zones")}}
}

// TestDecisions holds each decision on drawn pictures against its terms.
func TestDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Snapshot{Self: "n0", HeartbeatInterval: report, StaleAfter: 2500 * time.Millisecond}
		for i := 1; i <= rapid.IntRange(0, 4).Draw(t, "peers"); i++ {
			p.Peers = append(p.Peers, drawPeer(t, fmt.Sprintf("n%d", i)))
		}
		find := func(name string) *Peer {
			q := p.Find(name)
			if q == nil {
				t.Fatalf("%q was chosen, which nobody is", name)
			}
			return q
		}
		carries := func(q *Peer) bool {
			return q.Relays && !q.RelayBackoff && p.Connected(q) && q.StateServiceMS <= 2500
		}
		kept := rapid.SampledFrom([]string{"", "n1", "n2", "n9"}).Draw(t, "kept")
		switch to := ChooseRelay(&p, kept); {
		case to == "" && slices.ContainsFunc(p.Peers, func(q Peer) bool { return carries(&q) }):
			t.Fatal("somebody could carry, and nobody was chosen")
		case to != "" && !carries(find(to)):
			t.Fatalf("%+v can't carry", find(to))
		case to != "" && to != kept && slices.ContainsFunc(p.Peers, func(q Peer) bool { return q.Controller.Node == kept && carries(&q) }):
			t.Fatal("a carrier that works was left")
		}
		within := time.Duration(rapid.IntRange(0, 40_000).Draw(t, "within")) * time.Millisecond
		worker := rapid.StringMatching("i-0000000[0-9]").Draw(t, "worker")
		switch to := ChooseReceiver(&p, "a", worker, kept, within); {
		case to == "" && slices.ContainsFunc(p.Peers, func(q Peer) bool { return q.Controller.Node != kept && CanServeZone(&p, &q, "a", within) }):
			t.Fatal("somebody could serve the worker, and nobody was chosen")
		case to != "":
			q := find(to)
			if to == kept || q.HearsNoWorkers || q.ReportAge >= within || q.MirrorAgeMS > 2000 || slices.ContainsFunc(q.Zones, func(z ZoneReport) bool { return z.Zone == "a" && z.Unreachable }) {
				t.Fatalf("a worker that comes from %q is sent to %+v", kept, q)
			}
			if again := ChooseReceiver(&p, "a", worker, kept, within); again != to {
				t.Fatalf("the same worker goes to %s and to %s", to, again)
			}
		}
		for i := range p.Peers {
			q := &p.Peers[i]
			if ProvenToHearZone(&p, q, "a") && (!HearsZone(&p, q, "a") || !slices.ContainsFunc(q.Zones, func(z ZoneReport) bool { return z.Zone == "a" && z.Workers >= minProvingWorkers })) {
				t.Fatalf("%+v proves nothing", q)
			}
			if by := ChooseIntermediary(&p, q.Controller.Node); by != "" && (by == q.Controller.Node || p.Connected(q) || !slices.Contains(find(by).HearsPeers, q.Controller.Node) || !p.Connected(find(by))) {
				t.Fatalf("%s can't be asked by way of %s", q.Controller.Node, by)
			}
			if MayRecover(&p, q, within) && (q.HearsNoWorkers || q.StateServiceMS > 2500 || q.HeartbeatAge > within) {
				t.Fatalf("a worker waits for %+v", q)
			}
		}
		alive := func(name string) bool { return name != "n2" }
		if throttled, idle := RateDemand(&p, alive); throttled < 0 || idle < 0 || throttled+idle > len(p.Peers) {
			t.Fatalf("%d hungry and %d idle of %d", throttled, idle, len(p.Peers))
		}
	})
}

// TestAFlappingLinkProvesNothing guards against workers sent to a controller that had met their zone
// in the two seconds in which its link was up.
func TestAFlappingLinkProvesNothing(t *testing.T) {
	p := Snapshot{Self: "n0", HeartbeatInterval: report}
	q := Peer{Controller: Controller{"n1", "b"}, LinkReport: LinkReport{Zones: []ZoneReport{{Zone: "a", Workers: 6, LastHeardMS: 272}, {Zone: "c", Workers: 1, LastHeardMS: 3878, Unreachable: true}}}}
	if ProvenToHearZone(&p, &q, "a") {
		t.Error("zone c comes and goes, and zone a is taken for sure")
	}
	if q.Zones[1].LastHeardMS = 60_000; !ProvenToHearZone(&p, &q, "a") {
		t.Error("zone c is cut off, and zone a is doubted")
	}
}

// TestHandOverInOrder: urgent workers go at once, none later than a more urgent one, and all
// before the time to answer is over.
func TestHandOverInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window := time.Duration(rapid.IntRange(1, 60_000).Draw(t, "window")) * time.Millisecond
		alone := time.Duration(rapid.Int64Range(0, int64(window)).Draw(t, "alone"))
		left := window - alone
		went := true
		for l := UrgentWorkload; l <= NoWorkload; l++ {
			goes := ShouldHandOver(l, alone, left)
			if goes && !went {
				t.Fatalf("level %d goes before %d", l, l-1)
			}
			if later := min(window, alone+time.Millisecond); goes && !ShouldHandOver(l, later, window-later) {
				t.Fatal("what went stays a moment later")
			}
			went = goes
		}
		if !ShouldHandOver(UrgentWorkload, alone, left) || left == 0 && !went {
			t.Fatal("a worker stays too long")
		}
	})
}

// TestFlappingLinkChangesSeldom has the link to the state service come and go as drawn: the way
// of calls changes a bounded number of times, is found within Late and a step when
// the link is gone, and comes back when it holds.
func TestFlappingLinkChangesSeldom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := made()
		const step = 100 * time.Millisecond
		up, changes, via, gone := true, 0, "", time.Duration(0)
		left := 0
		for now := step; now <= 60*time.Second; now += step {
			if left--; left < 0 {
				up, left = !up, rapid.IntRange(1, 60).Draw(t, "for")
			}
			r.Advance(now)
			if now%(report/3/step*step) == 0 {
				r.hearAll()
			}
			if r.ShouldProbe() {
				r.Probed(map[bool]int{true: 404, false: 503}[up])
			}
			if up && via == "" {
				r.StateAnswered(200)
			}
			if gone = map[bool]time.Duration{false: gone + step}[up]; gone > r.cfg.StaleAfter+2*step && r.Relay() == "" {
				t.Fatalf("the link is gone for %v", gone)
			}
			if to := r.Relay(); to != via {
				changes++
				via = to
			}
		}
		if changes > 16 {
			t.Fatalf("%d changes in a minute", changes)
		}
		for now := 60 * time.Second; now <= 60*time.Second+maxUptime+2*time.Second; now += step {
			r.Advance(now)
			r.hearAll()
			if r.ShouldProbe() {
				r.Probed(404)
			}
			if r.Relay() == "" {
				r.StateAnswered(200)
			}
		}
		if to := r.Relay(); to != "" {
			t.Fatalf("the link holds, and %s still carries", to)
		}
	})
}

// TestStandStillIsNotSilence guards against a process that stood still, or was suspended, and
// takes all others for silent when it wakes.
func TestStandStillIsNotSilence(t *testing.T) {
	r := made()
	all := map[string]int{"a": 50}
	for now := time.Duration(0); now < 10*time.Second; now += 300 * time.Millisecond {
		r.Advance(now)
		r.StateAnswered(200)
		r.SetWorkers(all, nil)
		r.WorkerHeard("a")
	}
	r.Advance(50 * time.Second)
	r.SetWorkers(all, nil)
	if r.StateServiceLost() || r.HearsNoWorkers() || r.LinkReports(0, false)[0].Zones[0].Unreachable || r.Stats.Stalls != 1 {
		t.Fatalf("lost %v, deaf %v, %+v", r.StateServiceLost(), r.HearsNoWorkers(), r.LinkReports(0, false)[0])
	}
	for now := 50 * time.Second; now < 54*time.Second; now += 300 * time.Millisecond {
		r.Advance(now)
		r.SetWorkers(all, nil)
	}
	if !r.StateServiceLost() || !r.HearsNoWorkers() || !r.LinkReports(0, false)[0].Zones[0].Unreachable {
		t.Fatal("four seconds of silence after it are none")
	}
}

// TestEars: a zone whose workers went to others stays lost until it is heard for two report
// periods, and longer when it is lost again.
func TestEars(t *testing.T) {
	r := made()
	now := time.Duration(0)
	pass := func(d time.Duration, held int, hear bool) {
		for end := now + d; now < end; now += 250 * time.Millisecond {
			r.Advance(now)
			if hear {
				r.WorkerHeard("a")
			}
			r.SetWorkers(map[string]int{"a": held, "b": 0}, nil)
		}
	}
	lost := func() bool {
		return slices.ContainsFunc(r.LinkReports(0, false)[0].Zones, func(z ZoneReport) bool { return z.Zone == "a" && z.Unreachable })
	}
	pass(5*time.Second, 30, true)
	if lost() || r.HearsNoWorkers() {
		t.Fatal("lost while heard")
	}
	pass(3*time.Second, 30, false)
	pass(10*time.Second, 0, false) // claimed by others
	if !lost() || !slices.Equal(r.SilentZones(), []string{"a"}) {
		t.Fatalf("not lost after it was silent: %v", r.SilentZones())
	}
	pass(2*report-time.Second, 0, true)
	if !lost() {
		t.Fatal("back too soon")
	}
	pass(2*time.Second, 0, true)
	if lost() || len(r.SilentZones()) > 0 {
		t.Fatal("heard for two report periods, and still lost")
	}
	pass(time.Second, 30, true)
	pass(3*time.Second, 30, false)
	pass(2*report+time.Second, 30, true)
	if !lost() {
		t.Fatal("lost twice in half a minute, and trusted as soon as the first time")
	}
	pass(2*report, 30, true)
	if lost() {
		t.Fatal("never trusted again")
	}
}

// TestEachCallIsAnsweredOnce draws questions, answers of all kinds, twice and late, and
// times that run out.
func TestEachCallIsAnsweredOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := made()
		now := time.Duration(0)
		times := map[uint64]int{}
		var sent []*RelayRequest
		var replies []RelayResponse
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				id := r.relays.next + 1
				c := r.StartRelay("n1", protocol.Call{Method: "POST", Path: "/txn", Body: []byte{byte(id)}, Timeout: time.Second}, func(protocol.Reply) { times[id]++ })
				sent = append(sent, c)
			case 1:
				if len(sent) > 0 {
					c := sent[rapid.IntRange(0, len(sent)-1).Draw(t, "which")]
					replies = append(replies, RelayResponse{Incarnation: c.Incarnation, ID: c.ID, RequestHash: c.hash(), Status: 200})
				}
			case 2:
				if len(replies) > 0 {
					a := replies[rapid.IntRange(0, len(replies)-1).Draw(t, "which")]
					wrong := rapid.IntRange(0, 4).Draw(t, "wrong")
					from := "n1"
					switch wrong {
					case 1:
						a.Incarnation++
					case 2:
						a.RequestHash++
					case 3:
						from = "n2"
					}
					done := r.CompleteRelay(from, &a)
					if wrong >= 1 && wrong <= 3 && done != nil {
						t.Fatal("an answer to something else was taken")
					}
					if done != nil {
						done()
					}
				}
			case 3:
				now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
				r.Advance(now)
				for _, done := range r.ExpireRelays() {
					done()
				}
			}
		}
		r.Advance(now + time.Minute)
		for _, done := range r.ExpireRelays() {
			done()
		}
		for _, c := range sent {
			if times[c.ID] != 1 {
				t.Fatalf("call %d was answered %d times", c.ID, times[c.ID])
			}
		}
	})
}

// TestCarrierIsBounded: what peers ask for at a time is bounded, each and all; what is over, from
// strangers, or no call of the state service, is declined as not executed.
func TestCarrierIsBounded(t *testing.T) {
	r := made()
	r.Advance(time.Second)
	r.StateAnswered(200)
	var taken []string
	for i := range 400 {
		from := fmt.Sprintf("n%d", 1+i%4)
		if _, no := r.AcceptRelay(from, &RelayRequest{ID: uint64(i), Method: "POST", Path: "/txn", TimeoutMS: 1500}); no == nil {
			taken = append(taken, from)
		} else if no.Status != 503 || no.Sent {
			t.Fatalf("declined with %+v", no)
		}
	}
	if len(taken) != maxRelays {
		t.Errorf("%d calls were taken, of %d", len(taken), maxRelays)
	}
	for _, from := range taken {
		r.FinishRelay(from, &RelayRequest{}, protocol.Reply{Status: 200})
	}
	for i := range 2 * maxRelaysPerPeer {
		if _, no := r.AcceptRelay("n1", &RelayRequest{Method: "GET", Path: "/keys/sg/fleet", TimeoutMS: 1500}); (no == nil) != (i < maxRelaysPerPeer) {
			t.Fatalf("call %d of one peer: %v", i, no)
		}
	}
	for _, c := range []RelayRequest{{Method: "GET", Path: "/keys/a", TimeoutMS: 0}, {Method: "GET", Path: "/keys/a", TimeoutMS: 1 << 40}, {Method: "DELETE", Path: "/grants/3", TimeoutMS: 9},
		{Method: "GET", Path: "/keys/a HTTP/1.1\r\nx: y", TimeoutMS: 9}, {Method: "POST", Path: "/rentals", TimeoutMS: 9}, {Method: "POST", Path: "/txn", TimeoutMS: 9, Body: make([]byte, maxRelayRequestBytes+1)}} {
		if _, no := r.AcceptRelay("n2", &c); no == nil {
			t.Errorf("%s %.40q was taken", c.Method, c.Path)
		}
	}
	if _, no := r.AcceptRelay("stranger", &RelayRequest{Method: "GET", Path: "/keys/a", TimeoutMS: 9}); no == nil {
		t.Error("a stranger's call was taken")
	}
	for now := time.Second; now < 5*time.Second; now += 500 * time.Millisecond {
		r.Advance(now) // without an answer
	}
	if _, no := r.AcceptRelay("n3", &RelayRequest{Method: "GET", Path: "/keys/a", TimeoutMS: 9}); no == nil {
		t.Error("a call was taken by one that does not reach the service itself")
	}
}

// TestLargeAnswers: more changes than a message holds have the records read anew.
func TestLargeAnswers(t *testing.T) {
	r := made()
	for path, want := range map[string]int{"/watch?under=sg/&from=3&blockMs=9": 410, "/keys?under=sg/": 0} {
		got := -1
		c := r.StartRelay("n1", protocol.Call{Method: "GET", Path: path, Timeout: time.Second}, func(rep protocol.Reply) { got = rep.Status })
		r.relays.serving = map[string]int{"n1": 1}
		done := r.CompleteRelay("n1", r.FinishRelay("n1", c, protocol.Reply{Status: 200, Body: make([]byte, maxRelayResponseBytes+1)}))
		if done == nil {
			t.Fatal("the answer was not taken")
		}
		if done(); got != want {
			t.Errorf("%s: status %d", path, got)
		}
	}
}

// TestHostileRowsAreBounded: whatever a beat says, little of it is kept, and of peers alone.
func TestHostileRowsAreBounded(t *testing.T) {
	r := made()
	long := make([]string, 5000)
	reports := []LinkReport{{Node: "n3", HearsPeers: long, Zones: make([]ZoneReport, 5000), MirrorAgeMS: 1}}
	for i := range 5000 {
		reports = append(reports, LinkReport{Node: fmt.Sprint("x", i)}, LinkReport{Node: "n2", AgeMS: -1}, LinkReport{Node: "n0", StateServiceMS: 1 << 62})
	}
	r.ReceiveHeartbeat("n1", 0, false, reports)
	r.ReceiveHeartbeat("nobody", 0, false, reports)
	if len(r.peers) > 4 || r.peers["n3"] != nil || len(r.peers["n1"].report.HearsPeers) > maxNames || len(r.peers["n1"].report.Zones) > maxNames {
		t.Errorf("%d names, %+v", len(r.peers), r.peers["n1"].report)
	}
	if r.peers["n2"] != nil && r.peers["n2"].reportedAt > 0 {
		t.Error("a row from the future was believed")
	}
}

// FuzzTake feeds the carrier's gate: what passes is one line of a request to the state service.
func FuzzTake(f *testing.F) {
	f.Add("GET", "/keys?under=sg/", []byte(nil), int64(1500))
	f.Add("POST", "/grants/7/touch", []byte("{}"), int64(1500))
	f.Add("POST", "/txn?\r\n", []byte("x"), int64(-1))
	f.Fuzz(func(t *testing.T, method, path string, body []byte, wait int64) {
		r := made()
		r.Advance(time.Second)
		r.StateAnswered(200)
		k, no := r.AcceptRelay("n1", &RelayRequest{Method: method, Path: path, Body: body, TimeoutMS: wait})
		if no != nil {
			return
		}
		if strings.ContainsAny(k.Path, " \r\n\t\x00") || !strings.HasPrefix(k.Path, "/") || k.Method != "GET" && k.Method != "POST" || k.Timeout <= 0 || k.Timeout > maxRelayTimeout || len(k.Body) > maxRelayRequestBytes {
			t.Errorf("taken: %q %q for %v", k.Method, k.Path, k.Timeout)
		}
	})
}
