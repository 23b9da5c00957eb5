package coordination

import (
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"silvergate/internal/config"
	"silvergate/internal/endings"
	"silvergate/internal/job"
	"silvergate/internal/takeover"
)

// mirroringCore is a core with all that records can be about.
func mirroringCore() *Core {
	cfg := &config.Settings{Node: "n0", Zone: "z-a", Operator: config.DefaultOperator()}
	cfg.Operator.Staging = &config.Staging{ServerStreams: 6, PeerStreams: 2, MachineStreams: 1, RateMBPerS: 100}
	cfg.Facts = config.Facts{Count: 1, Zones: []string{"z-a"}, Teams: []config.Team{{Name: "red"}}, Workers: config.Workers{Report: 3, Lease: 18, Cancel: 48},
		State: config.State{RPS: 300, WriteRPS: 120, ValueKB: 16, TxnOps: 12}}
	return New(cfg, slog.New(slog.DiscardHandler), rand.New(rand.NewPCG(1, 2)), 1)
}

// TestStoredRecordsAreTakenUnderTheirKeys gives golden records under their keys to a core,
// each to one of its own, and looks for what it knows then.
func TestStoredRecordsAreTakenUnderTheirKeys(t *testing.T) {
	const stamp = 99
	ending := endings.Completion{Task: endings.Task{Job: "wk-000043", Index: 0}, Attempt: 1, Machine: "i-000232", Epoch: 1}
	passed := takeover.Group{Holder: takeover.Holder{Node: "n1", Incarnation: 1767225600000000007, Epoch: 2}, Zone: "z a/1", Number: 3}
	tests := []struct {
		key, file string
		known     func(c *Core) bool
	}{
		{"sg/j/wk-000042", "j-open.json", func(c *Core) bool {
			r := c.jobs["wk-000042"]
			return r != nil && r.status == job.Open && r.home == "n1" && r.stamp == stamp && reflect.DeepEqual(r.spec, goldenSpec("wk-000042", job.Gang, job.Production))
		}},
		{"sg/j/wk-000044", "j-cancelled.json", func(c *Core) bool { return c.jobs["wk-000044"] != nil && c.jobs["wk-000044"].status == job.Cancelled }},
		{"sg/p/wk-000042/0", "p-words.json", pageIsKnown},
		{"sg/p/wk-000042/0", "p-list.json", pageIsKnown},
		{"sg/q/red", "q.json", func(c *Core) bool { return c.teams["red"].use == usage{12.5, 3} && c.teams["red"].stamp == stamp }},
		{"sg/c/i-000231", "c.json", func(c *Core) bool {
			m := c.machines["i-000231"]
			return m != nil && m.claim.Owner == "n1" && m.claim.Zone == "z-a" && m.own.Token == stamp && m.own.Epoch == 2
		}},
		{"sg/t/n1/1767225600000000007.2/z%20a%2F1/3", "t.json", func(c *Core) bool { return c.holders.book.Pending(passed) }},
		{"sg/e/n1/7-1", "e.json", func(c *Core) bool { return c.writes.log.Has(ending) && c.writes.log.Len() == 1 }},
		{"sg/x/i-000231", "x.json", func(c *Core) bool { return c.drains["i-000231"].Why == "idle" }},
		{"sg/m/n1", "m.json", func(c *Core) bool {
			return reflect.DeepEqual(c.members["n1"], &member{7, 5, 6, 3}) && c.formats["n1"] == 3
		}},
		{"sg/fleet", "fleet.json", func(c *Core) bool { return c.fleet.owner == "n1" && c.fleet.life == 7 && c.fleet.stamp == stamp }},
		{"sg/h/n1-7-1", "h.json", func(c *Core) bool {
			r := c.fleet.rentals["n1-7-1"]
			return r != nil && r.Rig == "g4" && r.Number == 3 && len(r.Names) == 2
		}},
		{"sg/d/maps/v1", "d.json", func(c *Core) bool {
			return c.data.sets["maps/v1"] != nil && c.data.latest["maps"] == c.data.sets["maps/v1"]
		}},
		{"sg/s/night", "s.json", func(c *Core) bool {
			a := c.data.announced["night"]
			return a != nil && a.Machines == 4 && a.AtMS == 1767225600001 && a.stamp == stamp
		}},
		{"sg/gang", "gang.json", func(c *Core) bool { return c.gang == gangLease{"wk-000042", "n1", 7} }},
		{"sg/flavors", "flavors.json", func(c *Core) bool { return c.catalogue["g4"] != nil && c.catalogue["g4"].GPUs == 4 }},
	}
	for _, test := range tests {
		t.Run(test.file, func(t *testing.T) {
			data, err := os.ReadFile(filepath.Join(goldenFolder, "records", test.file))
			if err != nil {
				t.Fatal(err)
			}
			c := mirroringCore()
			if test.known(c) {
				t.Fatal("known without the record")
			}
			c.apply(test.key, data, stamp)
			if !test.known(c) {
				t.Errorf("%s is not taken for what it is: %s", test.key, data)
			}
		})
	}
}

// pageIsKnown tells whether the golden page is known once its job is: a page may come first.
func pageIsKnown(c *Core) bool {
	data, err := os.ReadFile(filepath.Join(goldenFolder, "records", "j-open.json"))
	if err != nil {
		return false
	}
	c.apply("sg/j/wk-000042", data, 1)
	p := c.jobs["wk-000042"].pages[0]
	return reflect.DeepEqual(p.tasks, goldenTasks()) && p.stamp == 99
}
