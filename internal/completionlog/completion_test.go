package completionlog

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

func TestParseReadsWhatStringWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Completion{
			Task:    Task{rapid.StringMatching(`wk-[0-9]{6,9}`).Draw(t, "job"), rapid.IntRange(0, 99_999).Draw(t, "index")},
			Attempt: rapid.IntRange(1, 1000).Draw(t, "attempt"),
			Machine: rapid.StringMatching(`[a-z0-9.-]{1,20}`).Draw(t, "machine"),
			Epoch:   rapid.Uint64().Draw(t, "epoch"),
		}
		if got, err := Parse(c.String()); err != nil || got != c {
			t.Fatalf("Parse(%s) = %+v, %v", c, got, err)
		}
	})
}

func TestParseRefusesOtherText(t *testing.T) {
	for _, c := range []struct{ name, text string }{
		{"empty", ""},
		{"no epoch", "wk-1/2.3 m"},
		{"no attempt", "wk-1/2 m 1"},
		{"attempt 0", "wk-1/2.0 m 1"},
		{"negative index", "wk-1/-2.1 m 1"},
		{"no job", "/2.1 m 1"},
		{"no machine", "wk-1/2.1  1"},
		{"epoch is no number", "wk-1/2.1 m x"},
		{"a field too many", "wk-1/2.1 m 1 1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got, err := Parse(c.text); !errors.Is(err, errMalformed) || got != (Completion{}) {
				t.Errorf("Parse(%q) = %+v, %v, want errMalformed", c.text, got, err)
			}
		})
	}
}
