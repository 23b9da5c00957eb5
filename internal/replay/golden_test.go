package replay

import "testing"

// TestGoldenRecordingsPlay plays recordings of an earlier build, found by their folder.
func TestGoldenRecordingsPlay(t *testing.T) {
	incarnations, err := Open([]string{"../coordination/testdata/recordings"})
	if err != nil {
		t.Fatal(err)
	}
	if len(incarnations) != 4 {
		t.Errorf("%d lives", len(incarnations))
	}
	for _, incarnation := range incarnations {
		r, err := incarnation.Play(Options{})
		if err != nil {
			t.Fatal(err)
		}
		if r.Inputs < 50 || r.Different > 0 || r.Torn {
			t.Errorf("%v: %d inputs, %d differ, torn %v", incarnation.Files, r.Inputs, r.Different, r.Torn)
		}
	}
}
