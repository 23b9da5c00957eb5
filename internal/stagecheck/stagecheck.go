// Package stagecheck judges what happened to data on a site's machines: whether
// urgent tasks ever waited for a fetch that could have started earlier, and
// whether a program ever read anything but what was published.
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

// Read reads events from files; a line that a kill cut off is passed over.
func Read(files []string) ([]agent.Event, error) {
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

// Starts demands that each copy that an urgent attempt needs is there, or is
// being fetched as urgent, within a period of the moment at which its fetch
// could have started: when the job is known on the machine that was chosen. An
// urgent fetch waits for no budget, since it takes one from others at once; so
// while it runs, no other fetch may take a chunk on its machine. It returns what
// is wrong, how many needs were judged, and how late the latest was.
func Starts(events []agent.Event, period time.Duration) (wrong []string, judged int, latest time.Duration) {
	type place struct{ machine, copy string }
	type need struct {
		at   time.Time
		load string
	}
	here, urgent := map[place]bool{}, map[place]bool{}
	open := map[place][]need{}
	running := map[string]int{} // urgent fetches by machine
	settle := func(p place, at time.Time) {
		for _, n := range open[p] {
			late := at.Sub(n.at)
			if latest = max(latest, late); late > period {
				wrong = append(wrong, fmt.Sprintf("%s on %s: the fetch of %s began %v after it could have", n.load, p.machine, p.copy, late))
			}
		}
		delete(open, p)
	}
	for _, e := range events {
		p := place{e.Machine, e.Copy}
		switch e.Kind {
		case "needed":
			if e.Urgent {
				judged++
				if !here[p] && !urgent[p] {
					open[p] = append(open[p], need{e.At, e.Load})
				}
			}
		case "begin":
			if e.Urgent && !urgent[p] {
				urgent[p] = true
				running[e.Machine]++
				settle(p, e.At)
			}
		case "chunk":
			if !e.Urgent && running[e.Machine] > 0 {
				wrong = append(wrong, fmt.Sprintf("on %s a chunk of %s was taken while an urgent fetch ran", e.Machine, e.Copy))
			}
		case "visible", "fail", "quit":
			if urgent[p] {
				delete(urgent, p)
				running[e.Machine]--
			}
			if here[p] = e.Kind == "visible"; here[p] {
				settle(p, e.At)
			}
		case "evict", "drop":
			here[p] = false
		}
	}
	for p, all := range open {
		for _, n := range all {
			wrong = append(wrong, fmt.Sprintf("%s on %s: the fetch of %s never began", n.load, p.machine, p.copy))
		}
	}
	return wrong, judged, latest
}

// Reads compares what programs read with what was published: each line names a
// version, a file and its hash. It returns what is wrong and how many reads
// were judged.
func Reads(lines []string, want map[string]string) (wrong []string, judged int) {
	for _, l := range lines {
		f := strings.Fields(l)
		if len(f) != 3 {
			wrong = append(wrong, fmt.Sprintf("not a read: %q", l))
			continue
		}
		judged++
		switch h, ok := want[f[0]+" "+f[1]]; {
		case !ok:
			wrong = append(wrong, fmt.Sprintf("%s of version %s was never published", f[1], f[0]))
		case h != f[2]:
			wrong = append(wrong, fmt.Sprintf("%s of version %s was read as %s", f[1], f[0], f[2]))
		}
	}
	return wrong, judged
}
