package coordination

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// submitMixedJobs has users submit jobs of all shapes until the given time.
func (s *sim) submitMixedJobs(until time.Duration) {
	n := 0
	var next func()
	next = func() {
		if s.now > until {
			return
		}
		spec := &job.Spec{ID: fmt.Sprintf("wk-%06d", n), Class: "arr", Team: []string{"red", "blue"}[s.random.IntN(2)], Shape: job.Array,
			Priority: job.Priority(s.random.IntN(3)), Tasks: 1 + s.random.IntN(6), CPUs: 4, GPUs: 1, MemoryGB: 8, Spot: s.random.IntN(2) == 0}
		n++
		runtimeS, cancelAfter := 3+12*s.random.Float64(), time.Duration(0)
		switch s.random.IntN(5) {
		case 0:
			spec.Shape, spec.Class, spec.Priority, spec.Tasks = job.Service, "svc", job.Production, 1+s.random.IntN(2)
			cancelAfter = s.randomMillis(5_000, 60_000)
		case 1:
			spec.Shape, spec.Class, spec.Tasks = job.Gang, "gng", 1+s.random.IntN(3)
			spec.GPUs = 2
		}
		switch s.random.IntN(6) {
		case 0:
			spec.OneZone = true
		case 1:
			spec.Spread = true
		case 2:
			spec.Zone = []string{"a", "b"}[s.random.IntN(2)]
		case 3:
			spec.MachineTypes = []string{"small", "large"}
		}
		if cancelAfter == 0 && s.random.IntN(6) == 0 {
			cancelAfter = s.randomMillis(100, 20_000)
		}
		s.submit(spec, runtimeS, cancelAfter)
		s.after(s.randomMillis(300, 3500), next)
	}
	next()
}

// submitLongJobs returns a workload of n jobs of all shapes whose tasks run for one to two minutes.
func submitLongJobs(n int) func(s *sim) {
	return func(s *sim) {
		for i := range n {
			spec := &job.Spec{ID: fmt.Sprintf("wk-3%05d", i), Class: "long", Team: []string{"red", "blue"}[i%2], Shape: job.Array, Priority: job.Normal, Tasks: 1 + i%3, CPUs: 2, GPUs: 0.5, MemoryGB: 8}
			switch i % 4 {
			case 1:
				spec.Shape, spec.Class, spec.Priority = job.Service, "svc", job.Production
			case 2:
				spec.Shape, spec.Class, spec.OneZone = job.Gang, "gng", i%8 == 2
			case 3:
				spec.OneZone, spec.Spread = i%8 == 3, i%8 == 7
			}
			s.submit(spec, 60+60*s.random.Float64(), 0)
		}
	}
}

// submitSmallJobs submits about four one-task jobs a second until the given time. A quarter of them are cancelled.
func (s *sim) submitSmallJobs(until time.Duration) {
	n := 0
	var next func()
	next = func() {
		if s.now > until {
			return
		}
		cancelAfter := time.Duration(0)
		if s.random.IntN(4) == 0 {
			cancelAfter = s.randomMillis(20, 5000)
		}
		s.submit(&job.Spec{ID: fmt.Sprintf("wk-3%05d", n), Class: "arr", Team: []string{"red", "blue"}[n%2], Shape: job.Array, Priority: job.Priority(n % 3), Tasks: 1, CPUs: 1, GPUs: 0.25, MemoryGB: 2, Spot: true},
			2+4*s.random.Float64(), cancelAfter)
		n++
		s.after(s.randomMillis(150, 350), next)
	}
	next()
}

// cancelShare has a random share of the users with open jobs cancel them within a time, through one controller
// unless via is nil. It returns the number of these users.
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

// cancelRunning has users cancel up to count started jobs with long tasks, within a fifth of a second. Up to eight
// of the machines that run these jobs hang for a time, unless hang is 0.
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

// sendInvalidRequests has users send odd requests until the given time: they repeat submissions, some with other
// content, cancel jobs that are done, and submit jobs that must be refused.
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
					s.addViolation("accepted", "%s: %d %s", body, st, b)
				}
			})
		}
	}
	s.after(s.randomMillis(100, 900), func() { s.sendInvalidRequests(until) })
}

// invalidBody returns a submission that must be refused: a field is missing, the team is unknown, or the job fits no
// machine.
func invalidBody(s *sim, body []byte, id string) []byte {
	var submission map[string]any
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	_ = decoder.Decode(&submission)
	submission["ref"] = id
	fields := []string{"jobclass", "crew", "shape", "urgency", "loads", "cpus", "accelerators", "ramGb", "kit", "sizeGb", "oneZone", "apart", "casual", "etaS", "waypointS", "stowS"}
	switch s.random.IntN(4) {
	case 0:
		submission["cpus"] = 10_000
	case 1:
		submission["rigs"] = []string{"none"}
	case 2:
		submission["crew"] = "nobody"
	default:
		delete(submission, fields[s.random.IntN(len(fields))])
	}
	return encode(submission)
}

// submitServices submits n services of team blue with one task each. They are assigned to the given zones in turn,
// or to no zone if none is given.
func (s *sim) submitServices(n int, gpus float64, zones ...string) {
	for i := range n {
		spec := &job.Spec{ID: fmt.Sprintf("wk-8%05d", i), Class: "svc", Team: "blue", Shape: job.Service, Tasks: 1,
			Priority: job.Production, CPUs: 1, GPUs: gpus, MemoryGB: 1}
		if len(zones) > 0 {
			spec.Zone = zones[i%len(zones)]
		}
		s.submit(spec, 0, 0)
	}
}

// submitLowArrays submits n arrays of team blue, of low priority and allowed on spot machines, which run for longer
// than a test.
func (s *sim) submitLowArrays(n int) {
	for i := range n {
		s.submit(&job.Spec{ID: fmt.Sprintf("wk-8%05d", i), Class: "arr", Team: "blue", Shape: job.Array, Tasks: 40,
			Priority: job.Low, CPUs: 2, GPUs: 1, MemoryGB: 1, Spot: true}, 300, 0)
	}
}
