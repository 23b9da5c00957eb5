package job

import (
	"testing"

	"pgregory.net/rapid"
)

// TestTaskNames checks that ParseTaskName reads what TaskName writes.
func TestTaskNames(t *testing.T) {
	const maxIndex = 100_000 // as in protocol.MaxTasks
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.StringMatching(`wk-[0-9]{6}`).Draw(t, "id")
		index := rapid.IntRange(0, maxIndex).Draw(t, "index")
		gotID, gotIndex, err := ParseTaskName(TaskName(id, index))
		if err != nil || gotID != id || gotIndex != index {
			t.Fatalf("ParseTaskName returned %q, %d, error %v", gotID, gotIndex, err)
		}
	})
}

func TestParseTaskNameRefuses(t *testing.T) {
	tests := []struct{ name, task string }{
		{"nothing", ""},
		{"a job's id", "wk-000001"},
		{"no index", "wk-000001/"},
		{"a negative index", "wk-000001/-1"},
		{"an index that is no number", "wk-000001/x"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if _, _, err := ParseTaskName(test.task); err == nil {
				t.Errorf("ParseTaskName accepted %q", test.task)
			}
		})
	}
}
