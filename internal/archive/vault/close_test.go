package vault

import (
	"testing"

	"silvergate/internal/archive"
)

// TestReadersWhileClosing reads a record while the vault closes, as a node does when it
// stops with a request in flight. Each reader must get the record or an error. The race
// detector finds data that readers and Close share without a lock.
func TestReadersWhileClosing(t *testing.T) {
	v, err := Open(Config{Dir: t.TempDir()}, quiet)
	if err != nil {
		t.Fatal(err)
	}
	record := grant(1)
	if err := v.Put(t.Context(), []archive.Record{record}); err != nil {
		t.Fatal(err)
	}
	const readers = 4
	started, ended := make(chan struct{}, readers), make(chan struct{}, readers)
	for range readers {
		go func() {
			defer func() { ended <- struct{}{} }()
			for first := true; ; first = false {
				_, err := v.Get(record.Key)
				if first {
					started <- struct{}{}
				}
				if err != nil {
					return
				}
			}
		}()
	}
	for range readers {
		<-started
	}
	if err := v.Close(); err != nil {
		t.Error(err)
	}
	for range readers {
		<-ended
	}
}
