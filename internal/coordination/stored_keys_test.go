package coordination

import (
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"silvergate/internal/completionlog"
	"silvergate/internal/config"
	"silvergate/internal/failover"
	"silvergate/internal/job"
)

// mirroringCore returns a core whose settings include everything that the records refer to.
func mirroringCore() *Core {
	cfg := &config.Settings{Node: "n0", Zone: "z-a", Operator: config.DefaultOperator()}
	cfg.Operator.Staging = &config.Staging{ServerStreams: 6, PeerStreams: 2, MachineStreams: 1, RateMBPerS: 100}
	cfg.Facts = config.Facts{Count: 1, Zones: []string{"z-a"}, Teams: []config.Team{{Name: "red"}}, Workers: config.Workers{Heartbeat: 3, Lease: 18, Cancel: 48},
		State: config.State{RPS: 300, WriteRPS: 120, ValueKB: 16, TxnOps: 12}}
	return New(cfg, slog.New(slog.DiscardHandler), rand.New(rand.NewPCG(1, 2)), 1)
}

// storedKeyCase is a golden record with its key, and a check that a core has applied it.
type storedKeyCase struct {
	key, file string
	applied   func(c *Core) bool
}

// storedKeyRevision is the mod revision of the applied records.
const storedKeyRevision = 99

func storedKeyCases() []storedKeyCase {
	completion := completionlog.Completion{Task: completionlog.Task{Job: "wk-000043", Index: 0}, Attempt: 1, Machine: "i-000232", Epoch: 1}
	group := failover.Group{Holder: failover.Holder{Node: "n1", Incarnation: 1767225600000000007, Epoch: 2}, Zone: "z a/1", Number: 3}
	return []storedKeyCase{
		{"sg/j/wk-000042", "j-open.json", func(c *Core) bool {
			r := c.jobs.byID["wk-000042"]
			return r != nil && r.status == job.Open && r.owner == "n1" && r.revision == storedKeyRevision && reflect.DeepEqual(r.spec, goldenSpec("wk-000042", job.Gang, job.Production))
		}},
		{"sg/j/wk-000044", "j-cancelled.json", func(c *Core) bool {
			return c.jobs.byID["wk-000044"] != nil && c.jobs.byID["wk-000044"].status == job.Cancelled
		}},
		{"sg/p/wk-000042/0", "p-words.json", goldenPageApplied},
		{"sg/p/wk-000042/0", "p-list.json", goldenPageApplied},
		{"sg/q/red", "q.json", func(c *Core) bool {
			return c.jobs.teams["red"].charged == usage{12.5, 3} && c.jobs.teams["red"].revision == storedKeyRevision
		}},
		{"sg/c/i-000231", "c.json", func(c *Core) bool {
			m := c.machines.byID["i-000231"]
			return m != nil && m.claim.Owner == "n1" && m.claim.Zone == "z-a" && m.ownClaim.Token == storedKeyRevision && m.ownClaim.Epoch == 2
		}},
		{"sg/t/n1/1767225600000000007.2/z%20a%2F1/3", "t.json", func(c *Core) bool { return c.machines.ownership.failovers.Pending(group) }},
		{"sg/e/n1/7-1", "e.json", func(c *Core) bool {
			return c.writer.completions.log.Has(completion) && c.writer.completions.log.Len() == 1
		}},
		{"sg/x/i-000231", "x.json", func(c *Core) bool { return c.machines.drains["i-000231"].Reason == "idle" }},
		{"sg/m/n1", "m.json", func(c *Core) bool {
			return reflect.DeepEqual(c.membership.members["n1"], &member{7, 5, 6, 3}) && c.membership.formats["n1"] == 3
		}},
		{"sg/fleet", "fleet.json", func(c *Core) bool {
			return c.scaler.leader == "n1" && c.scaler.leaderIncarnation == 7 && c.scaler.leaderRevision == storedKeyRevision
		}},
		{"sg/h/n1-7-1", "h.json", func(c *Core) bool {
			r := c.scaler.rentals["n1-7-1"]
			return r != nil && r.MachineType == "g4" && r.Count == 3 && len(r.Machines) == 2
		}},
		{"sg/d/maps/v1", "d.json", func(c *Core) bool {
			return c.staging.sets["maps/v1"] != nil && c.staging.latest["maps"] == c.staging.sets["maps/v1"]
		}},
		{"sg/s/night", "s.json", func(c *Core) bool {
			a := c.staging.announced["night"]
			return a != nil && a.Machines == 4 && a.AtMS == 1767225600001 && a.revision == storedKeyRevision
		}},
		{"sg/gang", "gang.json", func(c *Core) bool { return c.gangs.reservation == gangReservation{"wk-000042", "n1", 7} }},
		{"sg/flavors", "flavors.json", func(c *Core) bool { return c.catalogue.types["g4"] != nil && c.catalogue.types["g4"].GPUs == 4 }},
	}
}

// TestStoredRecordsAreAppliedByKey applies each golden record under its key to a new core, and
// checks that the core's state then shows the record.
func TestStoredRecordsAreAppliedByKey(t *testing.T) {
	for _, test := range storedKeyCases() {
		t.Run(test.file, func(t *testing.T) {
			data, err := os.ReadFile(filepath.Join(goldenFolder, "records", test.file))
			if err != nil {
				t.Fatal(err)
			}
			c := mirroringCore()
			if test.applied(c) {
				t.Fatal("the check succeeds before the record is applied")
			}
			c.applyChange(test.key, data, storedKeyRevision)
			if !test.applied(c) {
				t.Errorf("%s: the record was not applied: %s", test.key, data)
			}
		})
	}
}

// goldenPageApplied applies the golden page's job and reports whether the page, which was applied
// before its job, is in the job table.
func goldenPageApplied(c *Core) bool {
	data, err := os.ReadFile(filepath.Join(goldenFolder, "records", "j-open.json"))
	if err != nil {
		return false
	}
	c.applyChange("sg/j/wk-000042", data, 1)
	p := c.jobs.byID["wk-000042"].findPage(0)
	return p != nil && reflect.DeepEqual(p.tasks, goldenTasks()) && p.revision == 99
}
