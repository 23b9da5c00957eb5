package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

var (
	testPeriods     = Periods{Heartbeat: 3, Lease: 18, GangWait: 35, GangPeer: 4}
	testControllers = []Controller{{"a", "127.0.0.1:1"}, {"b", "127.0.0.1:2"}, {"c", "127.0.0.1:3"}}
	testResources   = Room{CPUs: 4, GPUs: 0, RAM: 3}
)

// workerHarness drives a worker as an agent would; the tests draw the events at random.
type workerHarness struct {
	worker              *Worker
	now                 time.Duration
	heartbeat           *HeartbeatSend
	alive               map[TaskAttempt]bool // attempts whose processes are running
	fetches             map[string]bool
	descriptionRequests []string
	clear               bool
	started             map[TaskAttempt]int // in this agent epoch
	fail                func(format string, args ...any)
}

func newWorkerHarness(fail func(string, ...any)) *workerHarness {
	identity := protocol.Heartbeat{Worker: "i-1", Address: "127.0.0.1:9", MachineType: "r", Zone: "z"}
	return &workerHarness{worker: NewWorker(identity, testResources, testPeriods, testControllers, 1, 0, rand.New(rand.NewPCG(1, 2))),
		alive: map[TaskAttempt]bool{}, fetches: map[string]bool{}, started: map[TaskAttempt]int{}, fail: fail}
}

// apply carries out the effects of a step and checks them.
func (b *workerHarness) apply(e Effects) {
	if e.Heartbeat != nil {
		if b.heartbeat != nil {
			b.fail("two heartbeats in flight")
		}
		if b.clear {
			b.fail("a heartbeat while the tasks of the last epoch are being killed")
		}
		b.heartbeat = e.Heartbeat
	}
	if e.EndAll {
		b.clear = true
	}
	for _, k := range e.Start {
		if b.alive[k] || b.started[k] > 0 && b.worker.tasks[k] != nil && b.started[k] > 1 {
			b.fail("%v started twice", k)
		}
		for o := range b.alive {
			if o.Job == k.Job && o.Index == k.Index {
				b.fail("%v started while %v is on the machine", k, o)
			}
		}
		b.alive[k] = true
		b.started[k]++
	}
	for _, k := range e.Forget {
		delete(b.started, k)
		if b.alive[k] && !b.clear {
			b.fail("%v forgotten while its processes run", k)
		}
	}
	for _, n := range e.FetchImages {
		if b.fetches[n] {
			b.fail("image %s fetched twice at once", n)
		}
		b.fetches[n] = true
	}
	for _, n := range e.CancelFetches {
		delete(b.fetches, n)
	}
	b.descriptionRequests = append(b.descriptionRequests, e.FetchDescriptions...)
	used := Room{}
	for k, task := range b.worker.tasks {
		if task.phase == ended && b.alive[k] {
			b.fail("%v reported as ended (%s) while its processes run", k, task.cause)
		}
		if task.description != nil && task.phase != ended {
			used.CPUs += task.description.CPUs
			used.RAM += task.description.MemoryGB
		}
	}
	if used.CPUs > testResources.CPUs || used.RAM > testResources.RAM {
		b.fail("more resources in use than the machine has: %+v", used)
	}
}

func (b *workerHarness) tick(d time.Duration) {
	b.now += d
	b.apply(b.worker.Tick(b.now))
}

func (b *workerHarness) answer(status int, v any) {
	r := b.heartbeat
	b.heartbeat = nil
	b.apply(b.worker.HeartbeatAnswered(b.now, r, status, protocol.Encode(v)))
}

func jobDescription(id string, shape job.Shape, loads int) *protocol.JobDescription {
	return &protocol.JobDescription{ID: id, Shape: shape, Tasks: loads, CPUs: 1, MemoryGB: 1, Image: "img", Priority: "standard"}
}

// TestWorkerKeepsProtocolInvariants draws random commands, answers, process ends, pauses
// and lost messages, and checks the protocol's invariants after each step.
func TestWorkerKeepsProtocolInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newWorkerHarness(t.Fatalf)
		jobs := map[string]*protocol.JobDescription{"wk-000001": jobDescription("wk-000001", job.Array, 3), "wk-000002": jobDescription("wk-000002", job.Service, 2)}
		jobs["wk-000001"].CheckpointIntervalS, jobs["wk-000001"].CheckpointSaveS = 5, 1
		highest, currentEpoch := uint64(0), uint64(1)
		answeredAt := time.Duration(0)
		commands := func() []protocol.Command {
			var out []protocol.Command
			for range rapid.IntRange(0, 3).Draw(t, "orders") {
				grace := rapid.SampledFrom([]float64{0, 2, 10}).Draw(t, "grace")
				out = append(out, protocol.Command{Verb: rapid.SampledFrom([]string{"launch", "launch", "launch", "kill", "forget"}).Draw(t, "verb"),
					Task:    fmt.Sprintf("wk-%06d/%d", rapid.IntRange(1, 3).Draw(t, "job"), rapid.IntRange(0, 2).Draw(t, "index")),
					Attempt: rapid.IntRange(1, 2).Draw(t, "try"), GracePeriodS: &grace})
			}
			return out
		}
		b.tick(0)
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			before := fmt.Sprint(b.worker.Count())
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				b.tick(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			case 1:
				b.tick(time.Duration(rapid.IntRange(1, 25).Draw(t, "s")) * time.Second)
			case 2, 3:
				if b.heartbeat == nil {
					b.tick(time.Second)
					continue
				}
				token := rapid.SampledFrom([]uint64{0, highest, highest, highest + 1, highest / 2}).Draw(t, "token")
				r, epoch := b.heartbeat, b.worker.Epoch()
				o := commands()
				b.answer(200, protocol.HeartbeatResponse{FencingToken: token, Commands: o})
				switch accepted := token > 0 && token >= highest && r.Epoch == epoch && b.now-r.SentAt <= answerTimeout && !b.worker.epoch.ending; {
				case accepted:
					highest, answeredAt = token, max(answeredAt, r.SentAt)
				case fmt.Sprint(b.worker.Count()) != before && !b.clear:
					t.Fatalf("an answer with token %d was carried out, while the highest token is %d", token, highest)
				}
			case 4:
				if b.heartbeat != nil {
					b.answer(rapid.SampledFrom([]int{0, 421, 503}).Draw(t, "status"), protocol.Redirect{Controller: "b"})
				}
			case 5:
				token := rapid.SampledFrom([]uint64{highest, highest + 1, highest / 2}).Draw(t, "token")
				epoch := rapid.SampledFrom([]uint64{currentEpoch, currentEpoch, currentEpoch + 1}).Draw(t, "shift")
				st, _, e := b.worker.ExecuteDirectCommands(b.now, protocol.Encode(protocol.DirectCommands{FencingToken: token, AgentEpoch: epoch, Commands: commands()}))
				b.apply(e)
				if want := token >= highest && epoch == currentEpoch && !b.worker.epoch.ending; (st == 200) != want {
					t.Fatalf("direct commands: status %d, token %d of %d, epoch %d of %d", st, token, highest, epoch, currentEpoch)
				}
				if st == 200 {
					highest = token
				}
			case 6:
				asked := b.descriptionRequests
				b.descriptionRequests = nil
				for _, id := range asked {
					if rapid.IntRange(0, 3).Draw(t, "described") == 0 {
						b.apply(b.worker.DescriptionFetched(b.now, id, nil, false))
					} else {
						b.apply(b.worker.DescriptionFetched(b.now, id, jobs[id], jobs[id] == nil))
					}
				}
			case 7:
				for n := range b.fetches {
					delete(b.fetches, n)
					var err error
					if rapid.IntRange(0, 4).Draw(t, "fetched") == 0 {
						err = errors.New("no")
					}
					b.apply(b.worker.ImageFetched(b.now, n, err))
				}
			case 8:
				var live []TaskAttempt
				for k := range b.alive {
					live = append(live, k)
				}
				slices.SortFunc(live, func(x, y TaskAttempt) int { return slices.Compare([]byte(x.String()), []byte(y.String())) })
				if len(live) > 0 {
					k := rapid.SampledFrom(live).Draw(t, "exits")
					delete(b.alive, k)
					b.apply(b.worker.Exited(b.now, k, Exit{Code: rapid.IntRange(0, 1).Draw(t, "code"), Saved: rapid.Bool().Draw(t, "saved")}))
				}
			case 9:
				if b.clear {
					clear(b.alive)
					clear(b.started)
					b.clear = false
					currentEpoch++
					b.apply(b.worker.EpochEnded(b.now))
					answeredAt = b.now
				}
			}
			if sinceAnswer := b.now - answeredAt; sinceAnswer > b.worker.lease() != b.worker.epoch.ending && sinceAnswer > b.worker.lease() {
				t.Fatalf("the lease expired %v ago and the epoch has not ended", sinceAnswer-b.worker.lease())
			}
			if b.worker.Epoch() != currentEpoch {
				t.Fatalf("epoch %d, expected %d", b.worker.Epoch(), currentEpoch)
			}
		}
	})
}

// TestNewEpochStartsAfterOldTasksEnd requires that no heartbeat of a new agent epoch is
// sent before the processes of the old epoch are gone.
func TestNewEpochStartsAfterOldTasksEnd(t *testing.T) {
	b := newWorkerHarness(t.Fatalf)
	b.tick(0)
	b.answer(200, protocol.HeartbeatResponse{FencingToken: 7, Commands: []protocol.Command{{Verb: "launch", Task: "wk-000001/0", Attempt: 1}}})
	b.apply(b.worker.DescriptionFetched(b.now, "wk-000001", jobDescription("wk-000001", job.Array, 1), false))
	b.apply(b.worker.ImageFetched(b.now, "img", nil))
	if len(b.alive) != 1 {
		t.Fatal("the task was not started")
	}
	b.tick(19 * time.Second)
	if !b.clear {
		t.Fatal("the lease did not expire")
	}
	if _, _, err := b.worker.Status(b.now); err == nil {
		t.Fatal("a status was returned while tasks were being killed")
	}
	if st, _, _ := b.worker.ExecuteDirectCommands(b.now, []byte(`{"baton":9,"shift":2,"orders":[]}`)); st != 503 {
		t.Fatalf("direct commands were accepted while tasks were being killed: status %d", st)
	}
	b.heartbeat = nil
	b.tick(time.Minute) // the harness fails on a heartbeat
	clear(b.alive)
	b.clear = false
	b.apply(b.worker.EpochEnded(b.now))
	b.tick(0)
	var r protocol.Heartbeat
	if b.heartbeat == nil || json.Unmarshal(b.heartbeat.Body, &r) != nil || r.AgentEpoch != 2 || len(r.Tasks) != 0 || r.FencingToken != 7 {
		t.Fatalf("first heartbeat of the new epoch: %+v", r)
	}
}

// TestAnswerToEarlierEpochIsDropped delays the answer to a heartbeat past the end of the lease, and
// requires that the next epoch does not carry it out.
func TestAnswerToEarlierEpochIsDropped(t *testing.T) {
	b := newWorkerHarness(t.Fatalf)
	b.tick(0)
	b.answer(200, protocol.HeartbeatResponse{FencingToken: 5})
	b.tick(17 * time.Second)
	late := b.heartbeat
	b.tick(1100 * time.Millisecond)
	if late == nil || !b.clear {
		t.Fatal("no heartbeat in flight at the end of the lease")
	}
	b.clear = false
	b.apply(b.worker.EpochEnded(b.now))
	b.answer(200, protocol.HeartbeatResponse{FencingToken: 6, Commands: []protocol.Command{{Verb: "launch", Task: "wk-000001/0", Attempt: 1}}})
	if all, _ := b.worker.Count(); all != 0 || b.worker.fencingToken != 5 {
		t.Fatalf("the answer was carried out: %d attempts, token %d", all, b.worker.fencingToken)
	}
}

// TestGangsStartAndEndTogether runs a gang of three on three workers that learn
// one another's states with a delay, and loses one of the workers at a random time.
func TestGangsStartAndEndTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 3
		id := "wk-000009"
		d := jobDescription(id, job.Gang, n)
		d.CheckpointIntervalS, d.CheckpointSaveS = 10, 1
		var harnesses []*workerHarness
		for i := range n {
			b := newWorkerHarness(t.Fatalf)
			b.tick(0)
			b.answer(200, protocol.HeartbeatResponse{FencingToken: 1, Commands: []protocol.Command{{Verb: "launch", Task: fmt.Sprintf("%s/%d", id, i), Attempt: 4}}})
			b.apply(b.worker.DescriptionFetched(b.now, id, d, false))
			harnesses = append(harnesses, b)
		}
		imageAt := []int{}
		for range n {
			imageAt = append(imageAt, rapid.IntRange(0, 30).Draw(t, "image"))
		}
		lostAt := rapid.IntRange(0, 120).Draw(t, "lost") // quarter seconds; 100 and more: never
		lost := rapid.IntRange(0, n-1).Draw(t, "who")
		var runs []int
		for range n {
			runs = append(runs, rapid.IntRange(10, 60).Draw(t, "runs"))
		}
		ran := 0
		stopAt := rapid.IntRange(0, 200).Draw(t, "stop")
		startedAt := -1
		for q := range 300 {
			for i, b := range harnesses {
				if q == imageAt[i] {
					b.apply(b.worker.ImageFetched(b.now, "img", nil))
				}
				k := TaskAttempt{id, i, 4}
				if q == stopAt && (i != lost || q < lostAt) {
					grace := 8.0
					_, _, e := b.worker.ExecuteDirectCommands(b.now, protocol.Encode(protocol.DirectCommands{FencingToken: 1, AgentEpoch: 1, Commands: []protocol.Command{{Verb: "kill", Task: k.TaskName(), Attempt: 4, GracePeriodS: &grace}}}))
					b.apply(e)
				}
				if i == lost && q >= lostAt && lostAt < 100 {
					continue
				}
				task := b.worker.tasks[k]
				if b.alive[k] && startedAt < 0 {
					startedAt = q
					for j, at := range imageAt {
						if at > q {
							t.Fatalf("started at %d, before task %d had its image at %d", q, j, at)
						}
					}
				}
				switch {
				case b.alive[k] && task.phase == ending:
					delete(b.alive, k)
					b.apply(b.worker.Exited(b.now, k, Exit{Code: -1}))
				case b.alive[k] && task.phase == checkpointing && q >= stopAt+4:
					delete(b.alive, k)
					b.apply(b.worker.Exited(b.now, k, Exit{Saved: true}))
				case b.alive[k] && task.phase == running && startedAt >= 0 && q >= startedAt+runs[i]:
					delete(b.alive, k)
					ran++
					b.apply(b.worker.Exited(b.now, k, Exit{}))
				}
				if q%2 == 0 { // the states of the others arrive every half second
					states := map[int]string{}
					for j, o := range harnesses {
						if j == lost && q >= lostAt && lostAt < 100 {
							continue
						}
						for i, s := range o.worker.GangStates(id, 4) {
							states[i] = s
						}
					}
					b.apply(b.worker.GangStatesReceived(b.now, k, states))
				}
				if b.heartbeat != nil {
					b.answer(200, protocol.HeartbeatResponse{FencingToken: 1, Commands: []protocol.Command{}})
				}
				b.tick(250 * time.Millisecond)
			}
		}
		causes := map[string]int{}
		for i, b := range harnesses {
			if i == lost && lostAt < 100 {
				continue
			}
			task := b.worker.tasks[TaskAttempt{id, i, 4}]
			if task == nil || task.phase != ended {
				t.Fatalf("task %d is not over: %+v", i, task)
			}
			c := task.cause
			if task.checkpointed {
				c += "+saved"
			}
			causes[c]++
		}
		// If one task ends as done, all tasks must; the same holds for a saved checkpoint.
		for _, c := range []string{protocol.CauseDone, "stopped+saved"} {
			// Other workers may or may not have seen that the program of a lost worker
			// completed or saved, so this is checked only if no worker is lost.
			if causes[c] > 0 && len(causes) > 1 && lostAt >= 100 {
				t.Fatalf("the tasks ended with different causes: %v (lost %d at %d, stop at %d, start at %d, runs %v)", causes, lost, lostAt, stopAt, startedAt, runs)
			}
		}
		if causes[protocol.CauseDone] > 0 && ran < n {
			t.Fatalf("done when %d of %d programs had completed", ran, n)
		}
		if lostAt >= 100 && stopAt >= 199 && causes[protocol.CauseDone] != n {
			t.Fatalf("no worker was lost and no task was stopped, but the causes are %v", causes)
		}
	})
}

// TestLargestHeartbeatFitsIntoARequest fills a machine with as many attempts as it
// accepts and the store report with as many entries as it may list, and requires that the
// heartbeat fits into a request.
func TestLargestHeartbeatFitsIntoARequest(t *testing.T) {
	b := newWorkerHarness(t.Fatalf)
	b.tick(0)
	var commands []protocol.Command
	for i := range 5000 {
		commands = append(commands, protocol.Command{Verb: "launch", Task: fmt.Sprintf("wk-%021d/%d", 1, 99_000+i), Attempt: 1 << 30})
	}
	b.answer(200, protocol.HeartbeatResponse{FencingToken: 1 << 60, Commands: commands})
	s := &protocol.StoreReport{Digest: "0123456789abcdef", Listed: true}
	for range maxListedCopies {
		s.Copies = append(s.Copies, "0123456789abcdef0123456789abcdef")
	}
	for range maxListedFetches {
		s.Pulls = append(s.Pulls, protocol.StorePull{Copy: s.Copies[0], Done: 1 << 50, Total: 1 << 50, Rate: 123456789.123})
		s.Failed = append(s.Failed, s.Copies[0])
	}
	b.worker.SetStoreReport(s, true)
	b.tick(time.Second)
	if b.heartbeat == nil || len(b.heartbeat.Body) > protocol.MaxBody {
		t.Fatalf("%d bytes", len(b.heartbeat.Body))
	}
	var r protocol.Heartbeat
	if json.Unmarshal(b.heartbeat.Body, &r) != nil || len(r.Tasks) < 300 {
		t.Fatalf("only %d attempts are listed", len(r.Tasks))
	}
}
