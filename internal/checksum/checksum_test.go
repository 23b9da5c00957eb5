package checksum

import (
	"bytes"
	"encoding/hex"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// TestStoredFormIsUnchanged pins the bytes of stored values, so that files written by
// earlier versions stay readable.
func TestStoredFormIsUnchanged(t *testing.T) {
	cases := []struct{ name, key, value, want string }{
		{"empty", "", "", "e934a84adb052768"},
		{"no key", "", "value", "83966959c6106fc7"},
		{"no value", "key", "", "c2d2eb30342f13c7"},
		{"key and value", "sg/j/wk-000001", `{"st":"open"}`, "21550f6b9b18960a"},
		{"binary", "\x00\x01", "\xff\x00", "4f45975460006aa3"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := Append([]byte(c.key), []byte(c.value))
			if want := hex.EncodeToString([]byte(c.value)) + c.want; hex.EncodeToString(got) != want {
				t.Errorf("stored as %x, want %s", got, want)
			}
			value, ok := Open([]byte(c.key), got)
			if !ok || string(value) != c.value {
				t.Errorf("opened as %q, %v", value, ok)
			}
		})
	}
}

// TestOpenRefusesWhatDoesNotMatch guards against damaged values that Open accepts: cut off,
// lengthened, stored under another key, or with a single bit changed.
func TestOpenRefusesWhatDoesNotMatch(t *testing.T) {
	key, value := []byte("key"), []byte("value")
	stored := func() []byte { return Append(key, bytes.Clone(value)) }
	cases := []struct {
		name        string
		key, stored []byte
	}{
		{"nothing", key, nil},
		{"less than a checksum", key, stored()[:Size-1]},
		{"cut off", key, stored()[:len(value)+Size-1]},
		{"a byte more", key, append(stored(), 0)},
		{"of another key", []byte("kez"), stored()},
		{"a byte moved from the value to the key", []byte("keyv"), stored()[1:]},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got, ok := Open(c.key, c.stored); ok {
				t.Errorf("opened as %q", got)
			}
		})
	}
	t.Run("any bit changed", func(t *testing.T) {
		for bit := range 8 * len(stored()) {
			damaged := stored()
			damaged[bit/8] ^= 1 << (bit % 8)
			if got, ok := Open(key, damaged); ok {
				t.Errorf("bit %d: opened as %q", bit, got)
			}
		}
	})
}

// readBeyondEnd reads a mapped page beyond the end of a truncated file, which faults.
func readBeyondEnd(t *testing.T) error {
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, make([]byte, os.Getpagesize()), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	mapped, err := syscall.Mmap(int(f.Fd()), 0, os.Getpagesize(), syscall.PROT_READ, syscall.MAP_SHARED)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Munmap(mapped) }()
	if err := f.Truncate(0); err != nil {
		t.Fatal(err)
	}
	if mapped[0] != 0 {
		return errors.New("read from beyond the end of the file")
	}
	return nil
}

// TestGuardTurnsDamageIntoAnError guards against a process that crashes because code that
// reads a damaged file panics or faults.
func TestGuardTurnsDamageIntoAnError(t *testing.T) {
	errRead := errors.New("of the read")
	cases := []struct {
		name string
		read func() error
		want error // must be wrapped by the returned error
		text string
	}{
		{"no error", func() error { return nil }, nil, ""},
		{"an error", func() error { return errRead }, errRead, "of the read"},
		{"a panic", func() error { panic("page 7") }, ErrDamaged, "store.db is damaged: page 7; it was left as it is"},
		{"a long panic", func() error { panic(strings.Repeat("x", 1000)) }, ErrDamaged, "store.db is damaged: " + strings.Repeat("x", 300) + "; it was left as it is"},
		{"a slice out of range", func() error { _ = make([]byte, 1)[len(os.Args[0]):]; return nil }, ErrDamaged, ""},
		{"a fault", func() error { return readBeyondEnd(t) }, ErrDamaged, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := Guard("store.db", c.read)
			if !errors.Is(err, c.want) {
				t.Fatalf("got error %v, which does not wrap %v", err, c.want)
			}
			if c.text != "" && err.Error() != c.text {
				t.Errorf("got error %q, want %q", err, c.text)
			}
		})
	}
}
