package replay

import "testing"

// TestGoldenRecordingsPlay guards against a build that can't replay the recordings of an
// earlier one with the same effects. It opens the recordings by their folder.
func TestGoldenRecordingsPlay(t *testing.T) {
	incarnations, err := Open([]string{"../coordination/testdata/recordings"})
	if err != nil {
		t.Fatal(err)
	}
	if len(incarnations) != 4 {
		t.Errorf("the folder has %d incarnations, want 4", len(incarnations))
	}
	for _, incarnation := range incarnations {
		r, err := incarnation.Replay(Options{})
		if err != nil {
			t.Fatal(err)
		}
		if r.Inputs < 50 || r.Different > 0 || r.Torn {
			t.Errorf("%v: %d inputs, %d differ, torn %v", incarnation.Files, r.Inputs, r.Different, r.Torn)
		}
	}
}
