package datastore

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"silvergate/internal/dataset"
	"silvergate/internal/fakeserver"
)

// by the size of the copy. PLACE_MB=4096 adds a size; it takes three times its room.
func BenchmarkPlace(b *testing.B) {
	sizes := []int64{1, 16, 256}
	var more int64
	if _, err := fmt.Sscan(os.Getenv("PLACE_MB"), &more); err == nil {
		sizes = append(sizes, more)
	}
	for _, megabytes := range sizes {
		b.Run(fmt.Sprintf("%dMB", megabytes), func(b *testing.B) { benchmarkPlace(b, megabytes<<20) })
	}
}

func benchmarkPlace(b *testing.B, size int64) {
	folder, root := b.TempDir(), b.TempDir()
	f, err := os.Create(filepath.Join(folder, "f"))
	if err != nil {
		b.Fatal(err)
	}
	if _, err := io.CopyN(f, rand.NewChaCha8([32]byte{1}), size); err != nil {
		b.Fatal(err)
	}
	f.Close()
	m, err := dataset.Build(folder, "set", "1", nil)
	if err != nil {
		b.Fatal(err)
	}
	digest, err := dataset.Publish(folder, root, m)
	if err != nil {
		b.Fatal(err)
	}
	source := Source{startServer(b, root, fakeserver.Faults{}).Address(), false}
	s := openTestStore(b, filepath.Join(b.TempDir(), "s"), 2*size)
	want := Want{ID: dataset.IDOf(digest), Digest: digest, Set: "set", Version: "1", Sources: []Source{source}}
	if err := fetchAndWait(s, want); err != nil {
		b.Fatal(err)
	}
	tasks := b.TempDir()
	b.SetBytes(size)
	for n := 0; b.Loop(); n++ {
		if err := s.Place(context.Background(), PlaceRequest{ID: want.ID, Dir: filepath.Join(tasks, fmt.Sprint(n), "in")}); err != nil {
			b.Fatal(err)
		}
		b.StopTimer()
		removePlacements(b, s)
		b.StartTimer()
	}
}
