package vault

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"silvergate/internal/archive"
	"silvergate/internal/goldentest"
)

// The golden folder is a vault that an earlier build made of the records in the
// archive's golden frames, each put on its own, of which it dropped the last. Its
// index listed what index.txt does.

const (
	goldenFolder      = "testdata/golden/vault"
	goldenVolumeBytes = 600 // so that there are several volumes
)

func goldenLabels(*archive.Record) []string { return []string{"team/office"} }

// goldenRecords returns the records that the vault was made of.
func goldenRecords(t *testing.T) []archive.Record {
	t.Helper()
	var records []archive.Record
	in := bytes.NewReader(goldentest.Read(t, "../testdata/golden/frames.bin"))
	for {
		record, err := archive.ReadFrame(in)
		if errors.Is(err, io.EOF) {
			return records
		}
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, record)
	}
}

// copyGoldenVault copies the folder to where it may be written to.
func copyGoldenVault(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "vault")
	if err := os.CopyFS(dir, os.DirFS(goldenFolder)); err != nil {
		t.Fatal(err)
	}
	return dir
}

func openGoldenVault(t *testing.T, cfg Config) *Vault {
	t.Helper()
	v, err := Open(cfg, slog.New(slog.NewTextHandler(t.Output(), nil)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = v.Close() })
	return v
}

// requireRecords reads records and compares them.
func requireRecords(t *testing.T, v *Vault, records []archive.Record) {
	t.Helper()
	for _, want := range records {
		if got, err := v.Get(want.Key); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s is read as %+v: %v", want.Key, got, err)
		}
	}
}

// requireLabelled checks that the label leads to a record's attempt first.
func requireLabelled(t *testing.T, v *Vault, record archive.Record) {
	t.Helper()
	attempt := record.Key.Attempt.String()
	if found, _, err := v.Find("team/office", "", "", 100); err != nil || len(found) == 0 || found[0] != attempt {
		t.Errorf("the label leads to %v: %v", found, err)
	}
}

func TestGoldenVault(t *testing.T) {
	dir := copyGoldenVault(t)
	v := openGoldenVault(t, Config{Dir: dir, VolumeBytes: goldenVolumeBytes})
	records := goldenRecords(t)
	kept, dropped := records[:len(records)-1], records[len(records)-1]
	requireRecords(t, v, kept)
	if v.Has(dropped.Key) {
		t.Errorf("%s is there, and was dropped", dropped.Key)
	}
	infos, more, err := v.Keys("", "", 100)
	if err != nil || more {
		t.Fatalf("more keys: %v, %v", more, err)
	}
	var listed strings.Builder
	for _, info := range infos {
		fmt.Fprintf(&listed, "%s %d %d\n", info.Key, info.Bytes, info.At.UnixMilli())
	}
	if want := string(goldentest.Read(t, "testdata/golden/index.txt")); listed.String() != want {
		t.Errorf("the index lists\n%s, not\n%s", listed.String(), want)
	}
	requireLabelled(t, v, records[0])
	if _, checked, damaged, err := v.Scrub("", 1<<20); err != nil || checked != len(kept) || damaged != 0 {
		t.Errorf("%d records checked, %d damaged: %v", checked, damaged, err)
	}
	if stats := v.Stats(); stats.Damaged != 0 || stats.Rebuilt {
		t.Errorf("damaged: %d, the index made again: %v", stats.Damaged, stats.Rebuilt)
	}
	if aside, _ := filepath.Glob(filepath.Join(dir, "*damaged*")); len(aside) > 0 {
		t.Errorf("put aside: %v", aside)
	}
}

func TestGoldenVolumesWithoutAnIndex(t *testing.T) {
	dir := copyGoldenVault(t)
	if err := os.Remove(filepath.Join(dir, "index.db")); err != nil {
		t.Fatal(err)
	}
	v := openGoldenVault(t, Config{Dir: dir, VolumeBytes: goldenVolumeBytes, Labels: goldenLabels})
	records := goldenRecords(t)
	requireRecords(t, v, records[:len(records)-1])
	requireLabelled(t, v, records[0])
	if stats := v.Stats(); stats.Damaged != 0 || !stats.Rebuilt {
		t.Errorf("damaged: %d, the index made again: %v", stats.Damaged, stats.Rebuilt)
	}
}

func TestGoldenVolumesAreWrittenIdentically(t *testing.T) {
	dir := t.TempDir()
	v := openGoldenVault(t, Config{Dir: dir, VolumeBytes: goldenVolumeBytes, Labels: goldenLabels})
	for _, record := range goldenRecords(t) {
		if err := v.Put(context.Background(), []archive.Record{record}); err != nil {
			t.Fatal(err)
		}
	}
	volumes, err := filepath.Glob(filepath.Join(goldenFolder, "volumes", "*"))
	if err != nil || len(volumes) < 2 {
		t.Fatalf("volumes %v: %v", volumes, err)
	}
	for _, path := range volumes {
		got, err := os.ReadFile(filepath.Join(dir, "volumes", filepath.Base(path)))
		if err != nil || !bytes.Equal(got, goldentest.Read(t, path)) {
			t.Errorf("%s is written otherwise: %v", filepath.Base(path), err)
		}
	}
}
