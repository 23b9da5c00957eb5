// Package stagecheck checks the staging of data on a site's machines: whether an
// urgent task waited for a fetch that could have started earlier, and whether a
// program read data that differs from the published data.
package stagecheck

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"silvergate/internal/agent"
)

// ReadEvents reads the agents' events from files and sorts them by time. It skips lines
// that can't be decoded: a line is cut off if the agent was killed while it wrote the line.
func ReadEvents(files []string) ([]agent.Event, error) {
	var out []agent.Event
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		for sc := bufio.NewScanner(f); sc.Scan(); {
			var e agent.Event
			if json.Unmarshal(sc.Bytes(), &e) == nil {
				out = append(out, e)
			}
		}
		f.Close()
	}
	slices.SortStableFunc(out, func(a, b agent.Event) int { return a.At.Compare(b.At) })
	return out, nil
}

// CheckStarts checks that each copy that an urgent attempt needs is held, or fetched as
// urgent, within period after the fetch could have started, which is when the
// chosen machine knows the job. An urgent fetch doesn't wait for a budget, since
// it takes budget from other fetches at once; so while it runs, no other fetch on
// its machine may accept a chunk. CheckStarts returns the violations, how many needs
// it checked, and the longest delay of a fetch.
func CheckStarts(events []agent.Event, period time.Duration) (wrong []string, checked int, latest time.Duration) {
	type copyOnMachine struct{ machine, copy string }
	type need struct {
		at   time.Time
		load string
	}
	held, fetchedUrgently := map[copyOnMachine]bool{}, map[copyOnMachine]bool{}
	unmet := map[copyOnMachine][]need{}
	running := map[string]int{} // number of urgent fetches by machine
	settleNeeds := func(p copyOnMachine, at time.Time) {
		for _, n := range unmet[p] {
			delay := at.Sub(n.at)
			if latest = max(latest, delay); delay > period {
				wrong = append(wrong, fmt.Sprintf("%s on %s: the fetch of %s began %v after it could have", n.load, p.machine, p.copy, delay))
			}
		}
		delete(unmet, p)
	}
	for _, e := range events {
		p := copyOnMachine{e.Machine, e.Copy}
		switch e.Kind {
		case "needed":
			if e.Urgent {
				checked++
				if !held[p] && !fetchedUrgently[p] {
					unmet[p] = append(unmet[p], need{e.At, e.Load})
				}
			}
		case "begin":
			if e.Urgent && !fetchedUrgently[p] {
				fetchedUrgently[p] = true
				running[e.Machine]++
				settleNeeds(p, e.At)
			}
		case "chunk":
			if !e.Urgent && running[e.Machine] > 0 {
				wrong = append(wrong, fmt.Sprintf("%s accepted a chunk of %s during an urgent fetch", e.Machine, e.Copy))
			}
		case "visible", "fail", "quit":
			if fetchedUrgently[p] {
				delete(fetchedUrgently, p)
				running[e.Machine]--
			}
			if held[p] = e.Kind == "visible"; held[p] {
				settleNeeds(p, e.At)
			}
		case "evict", "drop":
			held[p] = false
		}
	}
	for p, all := range unmet {
		for _, n := range all {
			wrong = append(wrong, fmt.Sprintf("%s on %s: the fetch of %s never began", n.load, p.machine, p.copy))
		}
	}
	return wrong, checked, latest
}

// CheckReads compares the data that programs read with the published data. Each line
// has a version, a file and the hash that was read; want maps "VERSION FILE" to the
// published hash. CheckReads returns the violations and how many reads it checked.
func CheckReads(lines []string, want map[string]string) (wrong []string, checked int) {
	for _, l := range lines {
		f := strings.Fields(l)
		if len(f) != 3 {
			wrong = append(wrong, fmt.Sprintf("not a line with a version, a file and a hash: %q", l))
			continue
		}
		checked++
		switch h, ok := want[f[0]+" "+f[1]]; {
		case !ok:
			wrong = append(wrong, fmt.Sprintf("%s of version %s was never published", f[1], f[0]))
		case h != f[2]:
			wrong = append(wrong, fmt.Sprintf("%s of version %s was read with the wrong hash %s", f[1], f[0], f[2]))
		}
	}
	return wrong, checked
}
