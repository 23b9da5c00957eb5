package proc

import (
	"os"
	"os/exec"
	"strconv"
	"testing"
)

// BenchmarkEnd measures sweeps that find no process to end, with the foreign processes that
// already run and with 300 more: the sweep of a whole machine, and the sweeps after a task
// has ended.
func BenchmarkEnd(b *testing.B) {
	for _, more := range []int{0, 300} {
		b.Run(strconv.Itoa(more), func(b *testing.B) {
			for range more {
				cmd := exec.Command("/bin/sleep", "1000")
				if err := cmd.Start(); err != nil {
					b.Fatal(err)
				}
				defer func() {
					_ = cmd.Process.Kill()
					_ = cmd.Wait()
				}()
			}
			self, err := Identify(os.Getpid())
			if err != nil {
				b.Fatal(err)
			}
			b.Run("machine", func(b *testing.B) {
				for b.Loop() {
					if _, err := (Owner{Mark: "nobody's mark"}).End(sweepTimeout); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(countProcesses(b)), "processes")
			})
			b.Run("task", func(b *testing.B) {
				for b.Loop() {
					if _, err := (Owner{Mark: "nobody's mark", Since: self.Start + 1<<30}).End(sweepTimeout); err != nil {
						b.Fatal(err)
					}
					if err := EndOrphans(sweepTimeout); err != nil {
						b.Fatal(err)
					}
				}
			})
		})
	}
}

func countProcesses(b *testing.B) int {
	pids, err := listPIDs()
	if err != nil {
		b.Fatal(err)
	}
	return len(pids)
}
