package dataset

import (
	"bytes"
	"reflect"
	"testing"

	"silvergate/internal/goldentest"
)

// The golden manifest was published by an earlier build. Its digest identifies the version
// in controllers' records and its copies on machines.

const (
	goldenManifest = "testdata/golden/manifest.json"
	goldenDigest   = "testdata/golden/digest.txt"
)

// goldenVersion returns the contents of the golden manifest. Its literals have no field
// names, so that they don't depend on them.
func goldenVersion() *Manifest {
	return &Manifest{"prices", "2026-01", []File{
		{"bin/convert", 9, true, []Hash{Sum([]byte("#!/bin/sh"))}},
		{"empty", 0, false, []Hash{}},
		{"large", ChunkSize + 3, false, []Hash{Sum(make([]byte, ChunkSize)), Sum(make([]byte, 3))}},
	}}
}

// TestGoldenManifest guards against a build that reads or writes manifests in another form
// than an earlier build, or that derives other digests or IDs.
func TestGoldenManifest(t *testing.T) {
	stored := goldentest.Read(t, goldenManifest)
	digest, err := ParseHash(string(bytes.TrimSpace(goldentest.Read(t, goldenDigest))))
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(stored, digest)
	if err != nil {
		t.Fatal(err)
	}
	if want := goldenVersion(); !reflect.DeepEqual(got, want) {
		t.Errorf("the manifest reads as\n%+v, not\n%+v", got, want)
	}
	if again, err := goldenVersion().Encode(); err != nil || !bytes.Equal(again, stored) {
		t.Errorf("the manifest is written as\n%s, not\n%s: %v", again, stored, err)
	}
	if id := string(IDOf(digest)); id != digest.String()[:32] || !ValidID(id) {
		t.Errorf("the version's copies have the ID %s", id)
	}
}
