// Package dataset defines the format of data sets. A data set has a name and
// immutable versions. Each version is a manifest of files whose chunks are named
// by their BLAKE3 hashes. The package doesn't decide which machine holds or
// fetches a version.
//
// A manifest is JSON in a single canonical form, and its hash is the version's
// digest. A reader that has the digest from the controllers' records can verify the
// manifest, and every chunk by the manifest, so no source needs to be trusted.
package dataset

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/google/renameio/v2"
	"github.com/zeebo/blake3"

	"silvergate/internal/protocol"
)

// Limits of a manifest.
const (
	// ChunkSize is the size in bytes of all chunks of a file except the last.
	ChunkSize = 1 << 20
	// MaxFiles and MaxManifest bound the number of files and the manifest's size in
	// bytes that an agent accepts for one version.
	MaxFiles    = 100_000
	MaxManifest = 32 << 20
)

// Hash is a BLAKE3-256 hash.
type Hash [32]byte

// Sum returns the hash of data.
func Sum(data []byte) Hash { return blake3.Sum256(data) }

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText returns the hash in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText reads a hash from 64 hexadecimal digits in lower case.
func (h *Hash) UnmarshalText(b []byte) error {
	if len(b) != 64 || bytes.ContainsAny(b, "ABCDEF") {
		return errors.New("a hash has 64 hexadecimal digits in lower case")
	}
	_, err := hex.Decode(h[:], b)
	return err
}

// ParseHash reads a hash from 64 hexadecimal digits in lower case.
func ParseHash(s string) (h Hash, err error) {
	err = h.UnmarshalText([]byte(s))
	return h, err
}

// File describes a file of a version.
type File struct {
	Path string `json:"path"`
	Size int64  `json:"size"`
	Exec bool   `json:"exec,omitempty"`
	// Chunks are the hashes of the file's chunks, in order.
	Chunks []Hash `json:"chunks"`
}

// Manifest describes a version of a data set.
type Manifest struct {
	Set     string `json:"set"`
	Version string `json:"version"`
	Files   []File `json:"files"` // sorted by path
}

// ID identifies the copies of a version on machines. It is the beginning of the
// version's digest.
type ID string

// idLen is the length of an ID in hexadecimal digits: enough that no two versions of a
// site have the same ID by chance.
const idLen = 32

// IDOf returns the ID of the version with a digest.
func IDOf(digest Hash) ID { return ID(digest.String()[:idLen]) }

// ValidID reports whether s has the form of an ID.
func ValidID(s string) bool {
	return len(s) == idLen && strings.Trim(s, "0123456789abcdef") == ""
}

// Encode checks a manifest and returns its canonical form.
func (m *Manifest) Encode() ([]byte, error) {
	if err := m.Check(); err != nil {
		return nil, err
	}
	b, err := json.Marshal(m)
	if err == nil && len(b) > MaxManifest {
		err = fmt.Errorf("the manifest is larger than %d bytes; split the data set into several", MaxManifest)
	}
	return b, err
}

// Bytes returns the total size of the files.
func (m *Manifest) Bytes() (n int64) {
	for i := range m.Files {
		n += m.Files[i].Size
	}
	return n
}

// Check returns an error that names the first invalid part of a manifest, or nil.
func (m *Manifest) Check() error {
	if !protocol.ValidName(m.Set) {
		return errors.New("set: missing or not a name")
	}
	if !ValidVersion(m.Version) {
		return errors.New("version: missing, not a name, or latest")
	}
	if len(m.Files) == 0 || len(m.Files) > MaxFiles {
		return fmt.Errorf("files: there are none, or more than %d", MaxFiles)
	}
	for i := range m.Files {
		f := &m.Files[i]
		if !protocol.ValidRelativePath(f.Path) {
			return fmt.Errorf("files[%d].path: not a relative path inside the data set", i)
		}
		if i > 0 && m.Files[i-1].Path >= f.Path {
			return fmt.Errorf("files[%d].path: not sorted after the path before it", i)
		}
		if f.Size < 0 || f.Size > 1<<50 || int64(len(f.Chunks)) != (f.Size+ChunkSize-1)/ChunkSize {
			return fmt.Errorf("files[%d]: %d chunks for %d bytes", i, len(f.Chunks), f.Size)
		}
	}
	// No file's path may be the folder of another file.
	paths := map[string]bool{}
	for i := range m.Files {
		paths[m.Files[i].Path] = true
	}
	for i := range m.Files {
		for p := filepath.Dir(m.Files[i].Path); p != "."; p = filepath.Dir(p) {
			if paths[p] {
				return fmt.Errorf("files[%d].path: one of its folders is a file", i)
			}
		}
	}
	return nil
}

// Latest is what a job writes in place of a version to get the newest one.
const Latest = "latest"

// ValidVersion reports whether s can be the name of a version.
func ValidVersion(s string) bool { return protocol.ValidName(s) && s != Latest }

// Decode reads a manifest and checks its digest and its canonical form.
func Decode(raw []byte, digest Hash) (*Manifest, error) {
	if len(raw) > MaxManifest {
		return nil, fmt.Errorf("the manifest is larger than %d bytes", MaxManifest)
	}
	if Sum(raw) != digest {
		return nil, errors.New("the manifest does not have the version's digest")
	}
	return Parse(raw)
}

// Parse reads a manifest and checks that it is valid and in its canonical form.
func Parse(raw []byte) (*Manifest, error) {
	m := &Manifest{}
	if err := json.Unmarshal(raw, m); err != nil {
		return nil, fmt.Errorf("manifest: %w", err)
	}
	canonical, err := m.Encode()
	if err != nil {
		return nil, fmt.Errorf("manifest: %w", err)
	}
	if !bytes.Equal(canonical, raw) {
		return nil, errors.New("manifest: not in canonical form")
	}
	return m, nil
}

// Build returns the manifest of a folder's files. It calls progress, if not nil, with
// the number of bytes read so far.
func Build(dir, set, version string, progress func(int64)) (*Manifest, error) {
	m := &Manifest{Set: set, Version: version}
	read := int64(0)
	buf := make([]byte, ChunkSize)
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		name, err := filepath.Rel(dir, path)
		if err != nil {
			return err
		}
		if !d.Type().IsRegular() {
			return fmt.Errorf("%s: neither a regular file nor a folder", name)
		}
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		defer f.Close()
		info, err := f.Stat()
		if err != nil {
			return err
		}
		file := File{Path: filepath.ToSlash(name), Exec: info.Mode()&0o111 != 0, Chunks: []Hash{}}
		for {
			n, err := io.ReadFull(f, buf)
			if n > 0 {
				file.Size += int64(n)
				file.Chunks = append(file.Chunks, Sum(buf[:n]))
				if read += int64(n); progress != nil {
					progress(read)
				}
			}
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				break
			}
			if err != nil {
				return err
			}
		}
		m.Files = append(m.Files, file)
		return nil
	})
	if err != nil {
		return nil, err
	}
	slices.SortFunc(m.Files, func(a, b File) int { return strings.Compare(a.Path, b.Path) })
	return m, m.Check()
}

// Paths on file servers and machines. A file server has the manifest at
// SetsPath/SET/VERSION/ManifestName and the files below SetsPath/SET/VERSION/FilesDir,
// and serves ranges of them. A machine that holds chunks serves them by hash below
// ChunkPath.
const (
	SetsPath     = "/sets/"
	ManifestName = "manifest.json"
	FilesDir     = "files"
	ChunkPath    = "/chunks/"
)

// Publish copies a folder into a file server's root as a version. The version appears
// whole or not at all, and a version that exists is never changed.
func Publish(dir, root string, m *Manifest) (digest Hash, err error) {
	raw, err := m.Encode()
	if err != nil {
		return digest, err
	}
	digest = Sum(raw)
	parent := filepath.Join(root, "sets", m.Set)
	final := filepath.Join(parent, m.Version)
	if old, err := os.ReadFile(filepath.Join(final, ManifestName)); err == nil {
		if Sum(old) == digest {
			return digest, nil
		}
		return digest, fmt.Errorf("%s: version %s exists with other contents; versions never change", m.Set, m.Version)
	}
	if err := os.MkdirAll(parent, 0o755); err != nil {
		return digest, err
	}
	tmp, err := os.MkdirTemp(parent, ".new-")
	if err != nil {
		return digest, err
	}
	defer os.RemoveAll(tmp)
	if err := os.Chmod(tmp, 0o755); err != nil {
		return digest, err
	}
	for i := range m.Files {
		if err := copyFile(filepath.Join(dir, m.Files[i].Path), filepath.Join(tmp, FilesDir, m.Files[i].Path), &m.Files[i]); err != nil {
			return digest, err
		}
	}
	if err := renameio.WriteFile(filepath.Join(tmp, ManifestName), raw, 0o644); err != nil {
		return digest, err
	}
	if err := os.Rename(tmp, final); err != nil {
		return digest, err
	}
	return digest, syncDir(parent)
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// copyFile copies a file and checks that it has not changed since the manifest was
// built.
func copyFile(from, to string, want *File) error {
	if err := os.MkdirAll(filepath.Dir(to), 0o755); err != nil {
		return err
	}
	src, err := os.Open(from)
	if err != nil {
		return err
	}
	defer src.Close()
	mode := fs.FileMode(0o644)
	if want.Exec {
		mode = 0o755
	}
	dst, err := os.OpenFile(to, os.O_CREATE|os.O_EXCL|os.O_WRONLY, mode)
	if err != nil {
		return err
	}
	buf := make([]byte, ChunkSize)
	for i := 0; ; i++ {
		n, err := io.ReadFull(src, buf)
		if n > 0 {
			if i >= len(want.Chunks) || Sum(buf[:n]) != want.Chunks[i] {
				dst.Close()
				return fmt.Errorf("%s changed while it was read", from)
			}
			if _, err := dst.Write(buf[:n]); err != nil {
				dst.Close()
				return err
			}
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			if n == 0 && i < len(want.Chunks) {
				dst.Close()
				return fmt.Errorf("%s changed while it was read", from)
			}
			break
		}
		if err != nil {
			dst.Close()
			return err
		}
	}
	return errors.Join(dst.Sync(), dst.Close())
}

// VerifyTree reads a version's files below dir and returns an error that names the
// first file that differs from the manifest, or nil.
func VerifyTree(dir string, m *Manifest) error {
	buf := make([]byte, ChunkSize)
	for i := range m.Files {
		f := &m.Files[i]
		err := func() error {
			src, err := os.Open(filepath.Join(dir, f.Path))
			if err != nil {
				return err
			}
			defer src.Close()
			for k, want := range f.Chunks {
				n, err := io.ReadFull(src, buf[:min(ChunkSize, f.Size-int64(k)*ChunkSize)])
				if err != nil {
					return fmt.Errorf("chunk %d: %w", k, err)
				}
				if Sum(buf[:n]) != want {
					return fmt.Errorf("chunk %d differs", k)
				}
			}
			if n, _ := src.Read(buf[:1]); n > 0 {
				return errors.New("the file is longer than in the manifest")
			}
			return nil
		}()
		if err != nil {
			return fmt.Errorf("%s: %w", f.Path, err)
		}
	}
	return nil
}
