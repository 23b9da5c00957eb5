package replay

import "testing"

// TestGoldenRecordingsPlay plays recordings of an earlier build, found by their folder.
func TestGoldenRecordingsPlay(t *testing.T) {
	lives, err := Open([]string{"../coordination/testdata/recordings"})
	if err != nil {
		t.Fatal(err)
	}
	if len(lives) != 4 {
		t.Errorf("%d lives", len(lives))
	}
	for _, life := range lives {
		r, err := life.Play(Options{})
		if err != nil {
			t.Fatal(err)
		}
		if r.Inputs < 50 || r.Different > 0 || r.Torn {
			t.Errorf("%v: %d inputs, %d differ, torn %v", life.Files, r.Inputs, r.Different, r.Torn)
		}
	}
}
