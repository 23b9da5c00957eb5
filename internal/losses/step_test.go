package losses

import "testing"

// TestStepNames guards against changes of the step names, which are column headings of the
// losses command.
func TestStepNames(t *testing.T) {
	for step, want := range map[Step]string{Detect: "evidence", Commit: "commit ending", Placement: "room", Bind: "commit start",
		Dispatch: "tell", Startup: "image", Steps: "unknown", -1: "unknown"} {
		t.Run(want, func(t *testing.T) {
			if got := step.String(); got != want {
				t.Errorf("step %d has the name %q", int(step), got)
			}
		})
	}
}
