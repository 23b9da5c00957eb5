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

// The golden folder is a vault from an earlier build. That build stored the records of
// the archive's golden frames, one Put for each, and dropped the last one. index.txt
// holds what its index then listed.

const (
	goldenFolder      = "testdata/golden/vault"
	goldenVolumeBytes = 600 // small enough for several volumes
)

func goldenLabels(*archive.Record) []string { return []string{"team/office"} }

// goldenRecords returns the records that were stored in the golden vault.
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

// copyGoldenVault copies the golden folder into a temporary one and returns its path.
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

// requireRecords checks that the vault returns each of the records unchanged.
func requireRecords(t *testing.T, v *Vault, records []archive.Record) {
	t.Helper()
	for _, want := range records {
		if got, err := v.Get(want.Key); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("Get(%s) = %+v, %v", want.Key, got, err)
		}
	}
}

// requireLabel checks that the first attempt with the label is the record's.
func requireLabel(t *testing.T, v *Vault, record archive.Record) {
	t.Helper()
	attempt := record.Key.Attempt.String()
	if found, _, err := v.FindAttempts("team/office", "", "", 100); err != nil || len(found) == 0 || found[0] != attempt {
		t.Errorf("attempts with the label: %v, error %v", found, err)
	}
}

func TestGoldenVault(t *testing.T) {
	dir := copyGoldenVault(t)
	v := openGoldenVault(t, Config{Dir: dir, VolumeBytes: goldenVolumeBytes})
	records := goldenRecords(t)
	kept, dropped := records[:len(records)-1], records[len(records)-1]
	requireRecords(t, v, kept)
	if v.Has(dropped.Key) {
		t.Errorf("%s is still listed after it was dropped", dropped.Key)
	}
	infos, more, err := v.List("", "", 100)
	if err != nil || more {
		t.Fatalf("List reports more records: %v, error %v", more, err)
	}
	var listed strings.Builder
	for _, info := range infos {
		fmt.Fprintf(&listed, "%s %d %d\n", info.Key, info.Bytes, info.StoredAt.UnixMilli())
	}
	if want := string(goldentest.Read(t, "testdata/golden/index.txt")); listed.String() != want {
		t.Errorf("the index lists\n%s, want\n%s", listed.String(), want)
	}
	requireLabel(t, v, records[0])
	if _, checked, damaged, err := v.Scrub("", 1<<20); err != nil || checked != len(kept) || damaged != 0 {
		t.Errorf("%d records checked, %d damaged, error %v", checked, damaged, err)
	}
	if stats := v.Stats(); stats.Damaged != 0 || stats.Rebuilt {
		t.Errorf("damaged records: %d, index rebuilt: %v", stats.Damaged, stats.Rebuilt)
	}
	if aside, _ := filepath.Glob(filepath.Join(dir, "*damaged*")); len(aside) > 0 {
		t.Errorf("the index was moved aside: %v", aside)
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
	requireLabel(t, v, records[0])
	if stats := v.Stats(); stats.Damaged != 0 || !stats.Rebuilt {
		t.Errorf("damaged records: %d, index rebuilt: %v", stats.Damaged, stats.Rebuilt)
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
		t.Fatalf("golden volumes %v, error %v", volumes, err)
	}
	for _, path := range volumes {
		got, err := os.ReadFile(filepath.Join(dir, "volumes", filepath.Base(path)))
		if err != nil || !bytes.Equal(got, goldentest.Read(t, path)) {
			t.Errorf("%s differs from the golden file, error %v", filepath.Base(path), err)
		}
	}
}
