package coordination

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// load lets users submit jobs of all shapes until the time given.
func (s *sim) submitMixedJobs(until time.Duration) {
	n := 0
	var next func()
	next = func() {
		if s.now > until {
			return
		}
		sp := &job.Spec{ID: fmt.Sprintf("wk-%06d", n), Class: "arr", Team: []string{"red", "blue"}[s.random.IntN(2)], Shape: job.Array,
			Priority: job.Priority(s.random.IntN(3)), Tasks: 1 + s.random.IntN(6), CPUs: 4, GPUs: 1, MemoryGB: 8, Spot: s.random.IntN(2) == 0}
		n++
		runs, cancel := 3+12*s.random.Float64(), time.Duration(0)
		switch s.random.IntN(5) {
		case 0:
			sp.Shape, sp.Class, sp.Priority, sp.Tasks = job.Service, "svc", job.Production, 1+s.random.IntN(2)
			cancel = s.randomMillis(5_000, 60_000)
		case 1:
			sp.Shape, sp.Class, sp.Tasks = job.Gang, "gng", 1+s.random.IntN(3)
			sp.GPUs = 2
		}
		switch s.random.IntN(6) {
		case 0:
			sp.OneZone = true
		case 1:
			sp.Spread = true
		case 2:
			sp.Zone = []string{"a", "b"}[s.random.IntN(2)]
		case 3:
			sp.MachineTypes = []string{"small", "large"}
		}
		if cancel == 0 && s.random.IntN(6) == 0 {
			cancel = s.randomMillis(100, 20_000)
		}
		s.submit(sp, runs, cancel)
		s.after(s.randomMillis(300, 3500), next)
	}
	next()
}

// longTasks submits jobs of all shapes whose tasks run for minutes.
func submitLongJobs(n int) func(s *sim) {
	return func(s *sim) {
		for i := range n {
			sp := &job.Spec{ID: fmt.Sprintf("wk-3%05d", i), Class: "long", Team: []string{"red", "blue"}[i%2], Shape: job.Array, Priority: job.Normal, Tasks: 1 + i%3, CPUs: 2, GPUs: 0.5, MemoryGB: 8}
			switch i % 4 {
			case 1:
				sp.Shape, sp.Class, sp.Priority = job.Service, "svc", job.Production
			case 2:
				sp.Shape, sp.Class, sp.OneZone = job.Gang, "gng", i%8 == 2
			case 3:
				sp.OneZone, sp.Spread = i%8 == 3, i%8 == 7
			}
			s.submit(sp, 60+60*s.random.Float64(), 0)
		}
	}
}

// fourASecond submits one-task jobs, a quarter of which are cancelled.
func (s *sim) submitSmallJobs(until time.Duration) {
	n := 0
	var next func()
	next = func() {
		if s.now > until {
			return
		}
		cancel := time.Duration(0)
		if s.random.IntN(4) == 0 {
			cancel = s.randomMillis(20, 5000)
		}
		s.submit(&job.Spec{ID: fmt.Sprintf("wk-3%05d", n), Class: "arr", Team: []string{"red", "blue"}[n%2], Shape: job.Array, Priority: job.Priority(n % 3), Tasks: 1, CPUs: 1, GPUs: 0.25, MemoryGB: 2, Spot: true},
			2+4*s.random.Float64(), cancel)
		n++
		s.after(s.randomMillis(150, 350), next)
	}
	next()
}

// everybodyCancels has a share of the users call their jobs off within a time, by way of a node if one is given.
func (s *sim) cancelShare(share float64, within time.Duration, via *simController) (n int) {
	for _, id := range sortedKeys(s.users) {
		if u := s.users[id]; u.accepted && !u.cancelRequested && u.finalStatus == "" && s.random.Float64() < share {
			n++
			u.cancelVia = via
			s.after(s.randomMillis(0, 1000*within.Seconds()), u.cancel)
		}
	}
	return n
}

// cancelNow has users call off so many jobs that run and have long to go, within a fifth of a second; some of
// their machines, eight at the most, hang for a time.
func (s *sim) cancelRunning(count int, hang time.Duration) {
	hung := 0
	for _, id := range sortedKeys(s.users) {
		u := s.users[id]
		if count == 0 || u.cancelRequested || u.finalStatus != "" || !u.accepted || u.tasksStarted == 0 || u.runtimeS < 5 && u.spec.Shape != job.Service {
			continue
		}
		count--
		s.after(s.randomMillis(0, 200), u.cancel)
		for _, w := range s.cloud.sortedMachines() {
			if hang > 0 && hung < 8 && w.up && w.runsJob(id) && w.hungUntil <= s.now {
				hung++
				s.faultCounts.hungAtCancel++
				s.after(s.randomMillis(0, 300), func() { w.hungUntil = s.now + hang })
			}
		}
	}
}

// oddRequests has users repeat submissions, also with other content, cancel what is done, and send what fits
// no machine or lacks a field.
func (s *sim) sendInvalidRequests(until time.Duration) {
	if s.now > until {
		return
	}
	s.faultCounts.invalidRequests++
	ids := sortedKeys(s.users)
	if len(ids) > 0 {
		u := s.users[ids[s.random.IntN(len(ids))]]
		if u.known {
			body := u.body
			if s.random.IntN(2) == 0 {
				body = invalidBody(s, body, u.spec.ID)
			}
			u.resubmit(s.anyController(), body)
		}
		if u.finalStatus == "done" {
			u.cancelAgain()
		}
		id := fmt.Sprintf("wk-8%05d", s.random.IntN(100_000))
		if s.users[id] == nil {
			n, body := s.anyController(), invalidBody(s, u.body, id)
			n.request("users", "POST", protocol.PathJobs, body, func(st int, b []byte) {
				if st == 200 || st == 201 {
					s.violation("accepted", "%s: %d %s", body, st, b)
				}
			})
		}
	}
	s.after(s.randomMillis(100, 900), func() { s.sendInvalidRequests(until) })
}

// oddBody is a submission that can't be accepted: a field is missing, or it fits no machine.
func invalidBody(s *sim, body []byte, id string) []byte {
	var m map[string]any
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	_ = d.Decode(&m)
	m["ref"] = id
	fields := []string{"jobclass", "crew", "shape", "urgency", "loads", "cpus", "accelerators", "ramGb", "kit", "sizeGb", "oneZone", "apart", "casual", "etaS", "waypointS", "stowS"}
	switch s.random.IntN(4) {
	case 0:
		m["cpus"] = 10_000
	case 1:
		m["rigs"] = []string{"none"}
	case 2:
		m["crew"] = "nobody"
	default:
		delete(m, fields[s.random.IntN(len(fields))])
	}
	return encode(m)
}
