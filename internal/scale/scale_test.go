package scale

import (
	"strings"
	"testing"
	"time"

	"silvergate/internal/agent"
	"silvergate/internal/hollow"
)

// TestShippedScenarios guards against a shipped scenario that does not parse, has another name
// than its file, or needs too many processes or more than 12 GB.
func TestShippedScenarios(t *testing.T) {
	names := ShippedScenarios()
	if len(names) != 4 {
		t.Errorf("got %d shipped scenarios, want 4: %v", len(names), names)
	}
	for _, name := range names {
		s, err := LoadScenario(name)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if s.Name != name || s.Processes() > maxProcesses || s.EstimatedGB() > 12 {
			t.Errorf("%s: has name %s, needs %d processes and %.1f GB", name, s.Name, s.Processes(), s.EstimatedGB())
		}
	}
}

// TestBadScenarios guards against invalid scenarios that are accepted: each change to the small
// scenario must give a short error that names the field.
func TestBadScenarios(t *testing.T) {
	raw, err := shipped.ReadFile("scenarios/small.yaml")
	if err != nil {
		t.Fatal(err)
	}
	good := string(raw)
	for _, c := range []struct{ from, to, want string }{
		{"workers: 40", "workers: -4", "workers"},
		{"workers: 40", "workers: 40\nwokers: 3", "wokers"},
		{"controllers: 2", "controllers: 0", "controllers"},
		{"controllers: 2", "controllers: many", "controllers"},
		{"cells: 1", "cells: 900", "cells"},
		{"cells: 1", "cells: 16\nmemory_gb: -1", "memory_gb"},
		{"real_agents: 2", "real_agents: 0", "real"},
		{"real_agents: 2", "real_agents: 20\nbase_port: 70000", "base_port"},
		{"zones: [a, b]", "zones: [a, a]", "zones"},
		{"zones: [a, b]", "zones: []", "zones"},
		{"duration_s: 16", "duration_s: 0", "duration_s"},
		{"duration_s: 16", "duration_s: .nan", "duration_s"},
		{"drain_s: 30", "drain_s: -1", "drain_s"},
		{"cpus: 24", "cpus: 0", "machine.cpus"},
		{"cpus: 12", "cpus: 25", "load[2].cpus"},
		{"class: sweep", "class: serve", "load[1].class"},
		{"shape: ensemble", "shape: gang", "load[2].shape"},
		{"urgency: prod", "urgency: high", "load[0].urgency"},
		{"tasks: 40", "tasks: 100001", "load[1].tasks"},
		{"cancelled: 0.1", "cancelled: 1.1", "cancelled"},
		{"kind: workers_gone", "kind: flood", "faults[1].kind"},
		{"at_s: 6", "at_s: 60", "faults[0].at_s"},
		{"count: 1", "count: 3", "faults[0].count"},
		{"share: 0.1, zone: a", "share: 0.1, zone: z", "faults[1].zone"},
		{"share: 0.9", "share: 1.3", "faults[3].share"},
		{"share: 0.9", "share: 0.9, zone: a", "faults[3].zone"},
		{"cancel_s: 14", "cancel_s: 7", "cancel_s"},
		{"txn_ops: 12", "txn_ops: 1", "txn_ops"},
		{"cells: 1", "cells: 1\noperator: {group_takover: true}", "group_takover"},
		{"cells: 1", "cells: 1\noperator: {probes: 0}", "operator.probes"},
	} {
		if !strings.Contains(good, c.from) {
			t.Fatalf("small.yaml has no %q", c.from)
		}
		_, err := ParseScenario([]byte(strings.Replace(good, c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Count(err.Error(), "\n") > 1 {
			t.Errorf("%s: got error %v, want a short error that names %s", c.to, err, c.want)
		}
	}
}

// TestRunRefusedBeforeStart guards against a run that starts although its folder is not empty,
// a port is taken, or the machine has too little memory or too few open files. The error must
// name the field, except for the number of workers, which this machine may refuse as memory_gb.
// Executable does not exist, so a run that starts fails with another error.
func TestRunRefusedBeforeStart(t *testing.T) {
	s, err := LoadScenario("small")
	if err != nil {
		t.Fatal(err)
	}
	full := t.TempDir()
	if err := WriteJSON(full+"/x", 1); err != nil {
		t.Fatal(err)
	}
	busy := &portAllocator{}
	port, err := busy.allocate(0)
	if err != nil {
		t.Fatal(err)
	}
	defer busy.release()
	for name, change := range map[string]func(*Options){
		"memory_gb": func(o *Options) { o.Scenario.MemoryGB = 0.01 },
		"workers":   func(o *Options) { o.Scenario.Workers = 10_000_000; o.Scenario.MemoryGB = 0 },
		"dir":       func(o *Options) { o.Dir = full },
		"base_port": func(o *Options) { o.Scenario.BasePort = port },
	} {
		scenario := *s
		o := Options{Scenario: &scenario, Dir: t.TempDir(), Executable: "/nonexistent"}
		change(&o)
		if _, err := Run(t.Context(), o); err == nil || !strings.Contains(err.Error(), name) && name != "workers" {
			t.Errorf("%s: got error %v, want a refusal that names the field", name, err)
		}
	}
}

// TestCheckerReportsViolations guards against a rule that the checker no longer checks: each
// case breaks one rule, and the checker must report this rule and no other.
func TestCheckerReportsViolations(t *testing.T) {
	machineA, machineB := &hollow.Machine{Name: "i-1", Type: hollowType, Zone: "a"}, &hollow.Machine{Name: "i-2", Type: hollowType, Zone: "b"}
	key := func(index int) agent.TaskAttempt {
		return agent.TaskAttempt{Job: "wk-000001", Index: index, Attempt: 1}
	}
	for rule, seed := range map[string]func(c *checker, s *submission){
		ruleRanTwice: func(c *checker, _ *submission) {
			c.started(machineA, key(0))
			c.started(machineB, key(0))
		},
		ruleQuota: func(c *checker, s *submission) {
			s.GPUs = 3
			c.started(machineA, key(0))
			c.started(machineA, key(1))
		},
		ruleWrongPlace: func(c *checker, s *submission) {
			s.OneZone = true
			c.started(machineA, key(0))
			c.started(machineB, key(1))
		},
		ruleRanCancelled: func(c *checker, s *submission) {
			s.progress.cancelRequested = true
			c.started(machineA, key(0))
			c.observeStatus(s.ID, statusCancelled)
			c.now = func() time.Duration { return time.Hour }
			c.checkCancelledJobs()
		},
		ruleNotDone: func(c *checker, s *submission) {
			c.started(machineA, key(0))
			c.stopped(machineA, key(0), true)
			c.observeStatus(s.ID, statusDone)
		},
		ruleWentBack: func(c *checker, s *submission) {
			s.progress.cancelRequested = true
			c.observeStatus(s.ID, statusCancelled)
			c.observeStatus(s.ID, "queued")
		},
		ruleForgotten: func(c *checker, s *submission) {
			c.observeStatus(s.ID, "queued")
			c.observeStatus(s.ID, "")
		},
		ruleInvented: func(c *checker, _ *submission) { c.observeStatus("wk-000009", "queued") },
	} {
		c := newChecker(&Scenario{CellSize: CellSize{TeamLimit: 5}}, func() time.Duration { return 0 })
		c.cancelWithin = time.Minute
		s := &submission{ID: "wk-000001", Team: "team-0", Tasks: 2, MachineTypes: []string{hollowType}, resources: resources{GPUs: 1}}
		c.submitted(s)
		seed(c, s)
		if broken, first := c.violations(); broken[rule] == 0 || len(broken) != 1 {
			t.Errorf("%s: got violations %v (%v), want only this rule", rule, broken, first)
		}
	}
}

// TestCheckerAcceptsValidRun guards against false reports: a run that keeps all rules, with
// attempts that fail and are repeated, must give no violation.
func TestCheckerAcceptsValidRun(t *testing.T) {
	c := newChecker(&Scenario{CellSize: CellSize{TeamLimit: 5}}, func() time.Duration { return 0 })
	m := &hollow.Machine{Name: "i-1", Type: hollowType, Zone: "a"}
	s := &submission{ID: "wk-000001", Team: "team-0", Tasks: 2, MachineTypes: []string{hollowType}, resources: resources{GPUs: 2}, OneZone: true}
	c.submitted(s)
	c.observeStatus(s.ID, "")
	c.observeStatus(s.ID, "queued")
	for attempt := 1; attempt <= 2; attempt++ { // the first attempt fails, the second one completes
		for index := range 2 {
			k := agent.TaskAttempt{Job: s.ID, Index: index, Attempt: attempt}
			c.started(m, k)
			c.stopped(m, k, attempt == 2)
		}
	}
	c.observeStatus(s.ID, statusDone)
	c.observeStatus(s.ID, statusDone)
	if broken, first := c.violations(); len(broken) > 0 {
		t.Errorf("got violations %v (%v), want none", broken, first)
	}
}

// TestParseMetrics guards against counters that are lost because of labels, a comment or a line
// that is not a metric.
func TestParseMetrics(t *testing.T) {
	got := parseMetrics([]byte("# HELP x\nsilvergate_state_requests_total{part=\"state\"} 12\nsilvergate_state_keys 3\nodd\n"))
	if got["state_requests"] != 12 || got["state_keys"] != 3 {
		t.Errorf("got metrics %v, want state_requests 12 and state_keys 3", got)
	}
}
