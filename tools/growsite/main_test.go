package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

const smallSite = `
name = "small"
[state]
rps = 400.0
[[capacity]]
type = "big"
count = 3
spot = 2
[[teams]]
name = "ops"
gpus = 10.5
[[jobs]]
initial = 4
arrivals = { rate = 0.5, swing = 0.3 }
[[day]]
name = "calm"
faults = [ { kind = "machine_die", count = 2 }, { kind = "node_crash", count = 1 } ]
`

// Guards against a copy that multiplies what must stay (the state service's rates, controllers) or
// doesn't multiply what must grow.
func TestGrow(t *testing.T) {
	raw, err := grow([]byte(smallSite), 4)
	if err != nil {
		t.Fatal(err)
	}
	var site struct {
		State    struct{ RPS float64 }
		Capacity []struct{ Count, Spot int }
		Teams    []struct{ GPUs float64 }
		Jobs     []struct {
			Initial  int
			Arrivals struct{ Rate, Swing float64 }
		}
		Day []struct {
			Faults []struct {
				Kind  string
				Count int
			}
		}
	}
	if err := toml.Unmarshal(raw, &site); err != nil {
		t.Fatal(err)
	}
	day := site.Day[0].Faults
	if site.State.RPS != 400 || site.Capacity[0].Count != 12 || site.Capacity[0].Spot != 8 || site.Teams[0].GPUs != 42 ||
		site.Jobs[0].Initial != 16 || site.Jobs[0].Arrivals.Rate != 2 || site.Jobs[0].Arrivals.Swing != 0.3 || day[0].Count != 8 || day[1].Count != 1 {
		t.Errorf("grown by four: %+v", site)
	}
}

// Guards against a wrong factor, folder or file that is accepted without an error.
func TestWriteRejectsBadInput(t *testing.T) {
	site := filepath.Join(t.TempDir(), "small.toml")
	if err := os.WriteFile(site, []byte(smallSite), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, err := range map[string]error{
		"factor":     writeGrownSite(site, t.TempDir(), 0),
		"no folder":  writeGrownSite(site, "", 2),
		"no site":    writeGrownSite(site+"x", t.TempDir(), 2),
		"no wire":    writeGrownSite(site, t.TempDir(), 2),
		"not a file": writeGrownSite(t.TempDir(), t.TempDir(), 2),
	} {
		if err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
