package agent

import (
	"archive/tar"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"golang.org/x/sys/unix"

	"silvergate/internal/protocol"
)

// Image is an image that the operators' settings offer: a folder or an archive (.tar,
// .tar.gz, .tgz, .tar.zst), and the default command of its tasks.
type Image struct {
	Name    string   `yaml:"name"`
	Path    string   `yaml:"path"`
	Command []string `yaml:"command"`
}

// CheckImages returns an error that names the first invalid image.
func CheckImages(list []Image) error {
	seen := map[string]bool{}
	for i, m := range list {
		if !protocol.ValidName(m.Name) || seen[m.Name] {
			return fmt.Errorf("images[%d].name: missing, repeated or not a name of letters, digits, '-', '_' and '.'", i)
		}
		seen[m.Name] = true
		if m.Path == "" && len(m.Command) == 0 {
			return fmt.Errorf("images[%d].path: missing, and there is no command either", i)
		}
		if m.Path != "" && !filepath.IsAbs(m.Path) {
			return fmt.Errorf("images[%d].path: must be absolute", i)
		}
	}
	return nil
}

// imageStore is a machine's cache of images. An image becomes visible only when it is
// complete and on disk; partial images left by a crash are deleted.
type imageStore struct {
	dir      string
	capacity int64 // bytes
	offered  map[string]Image
	// needed reports whether an image must not be evicted.
	needed  func(name string) bool
	onEvict func(name string)

	mu       sync.Mutex
	fetches  map[string]context.CancelFunc
	folders  map[string]string // name -> folder
	sizes    map[string]int64
	lastUse  map[string]uint64
	useCount uint64
}

func newImageStore(dir string, capacity int64, list []Image) (*imageStore, error) {
	c := &imageStore{dir: dir, capacity: capacity, offered: map[string]Image{}, fetches: map[string]context.CancelFunc{},
		folders: map[string]string{}, sizes: map[string]int64{}, lastUse: map[string]uint64{}}
	for _, m := range list {
		c.offered[m.Name] = m
	}
	// Complete images have names without a leading dot; the rest are partial images.
	old, err := os.ReadDir(dir)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	for _, e := range old {
		if strings.HasPrefix(e.Name(), ".") {
			if err := os.RemoveAll(filepath.Join(dir, e.Name())); err != nil {
				return nil, err
			}
		}
	}
	return c, os.MkdirAll(dir, 0o700)
}

// ErrNoImage is returned for an image that the settings don't offer.
var ErrNoImage = errors.New("no such image is offered in the settings")

// fetch installs an image in the background and then calls done, unless cancelFetch was called
// before.
func (c *imageStore) fetch(name string, done func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	c.fetches[name] = cancel
	c.mu.Unlock()
	go func() {
		folder, size, err := c.install(ctx, name)
		c.mu.Lock()
		if ctx.Err() != nil {
			c.mu.Unlock()
			return
		}
		delete(c.fetches, name)
		cancel()
		if err == nil {
			c.folders[name], c.sizes[name] = folder, size
			c.touch(name)
		}
		c.mu.Unlock()
		if err == nil {
			c.evict(name)
		}
		done(err)
	}()
}

// cancelFetch cancels the fetch of an image.
func (c *imageStore) cancelFetch(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel := c.fetches[name]; cancel != nil {
		cancel()
		delete(c.fetches, name)
	}
}

func (c *imageStore) touch(name string) {
	c.useCount++
	c.lastUse[name] = c.useCount
}

// folder returns the folder and the settings of an image, and whether it is present. The call counts
// as a use of the image.
func (c *imageStore) folder(name string) (string, Image, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f, ok := c.folders[name]
	c.touch(name)
	return f, c.offered[name], ok
}

// evict removes the least recently used images until the cache is within its capacity. It removes
// neither the image keep nor images that are needed.
func (c *imageStore) evict(keep string) {
	c.mu.Lock()
	total := int64(0)
	var names []string
	for n, s := range c.sizes {
		total += s
		names = append(names, n)
	}
	sort.Slice(names, func(i, j int) bool { return c.lastUse[names[i]] < c.lastUse[names[j]] })
	c.mu.Unlock()
	for _, n := range names {
		if total <= c.capacity {
			return
		}
		if n == keep || c.needed(n) {
			continue
		}
		c.mu.Lock()
		folder := c.folders[n]
		total -= c.sizes[n]
		delete(c.folders, n)
		delete(c.sizes, n)
		c.mu.Unlock()
		c.onEvict(n)
		if folder != "" {
			_ = os.RemoveAll(folder)
		}
	}
}

// install copies an image to this machine, unless the same version of it is already present.
func (c *imageStore) install(ctx context.Context, name string) (folder string, size int64, err error) {
	m, ok := c.offered[name]
	if !ok {
		return "", 0, ErrNoImage
	}
	if m.Path == "" {
		return "", 0, nil // an image that consists only of a command
	}
	info, err := os.Stat(m.Path)
	if err != nil {
		return "", 0, err
	}
	print := xxhash.Sum64String(fmt.Sprint(m.Path, info.ModTime().UnixNano(), info.Size()))
	folder = filepath.Join(c.dir, fmt.Sprintf("%s@%016x", name, print))
	if exists(folder) {
		return folder, treeSize(folder), nil
	}
	tmp, err := os.MkdirTemp(c.dir, ".new-")
	if err != nil {
		return "", 0, err
	}
	defer os.RemoveAll(tmp)
	w := &unpacker{ctx: ctx, remaining: c.capacity}
	if w.root, err = os.OpenRoot(tmp); err != nil {
		return "", 0, err
	}
	defer w.root.Close()
	if info.IsDir() {
		err = w.copyTree(m.Path)
	} else {
		err = w.unpack(m.Path)
	}
	if err == nil {
		err = syncTree(tmp)
	}
	if err == nil {
		err = os.Rename(tmp, folder)
	}
	if err != nil {
		return "", 0, fmt.Errorf("image %s: %w", name, err)
	}
	return folder, c.capacity - w.remaining, nil
}

// syncTree flushes everything written below a folder to disk.
func syncTree(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return unix.Syncfs(int(f.Fd()))
}

func treeSize(dir string) (n int64) {
	_ = filepath.WalkDir(dir, func(_ string, d fs.DirEntry, err error) error {
		if err == nil && d.Type().IsRegular() {
			if info, err := d.Info(); err == nil {
				n += info.Size()
			}
		}
		return nil
	})
	return n
}

// unpacker writes files below a root, and nowhere else, whatever their names.
type unpacker struct {
	ctx       context.Context
	root      *os.Root
	remaining int64 // bytes that may still be written
}

// maxFiles bounds the number of files in an image, which a limit on bytes alone does not.
const maxFiles = 1_000_000

var errTooLarge = errors.New("larger than the machine's disk space for images (localGb)")

func (u *unpacker) writeFile(name string, mode fs.FileMode, r io.Reader) error {
	if err := u.root.MkdirAll(filepath.Dir(name), 0o755); err != nil {
		return err
	}
	f, err := u.root.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, mode.Perm()&0o755|0o400)
	if err != nil {
		return err
	}
	n, err := io.Copy(f, io.LimitReader(contextReader{u.ctx, r}, u.remaining+1))
	u.remaining -= n
	if u.remaining < 0 {
		err = errTooLarge
	}
	return errors.Join(err, f.Close())
}

func (u *unpacker) copyTree(from string) error {
	files := 0
	return filepath.WalkDir(from, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(from, path)
		if err != nil || name == "." {
			return err
		}
		if files++; files > maxFiles {
			return errTooLarge
		}
		info, err := d.Info()
		switch {
		case err != nil:
			return err
		case d.IsDir():
			return u.root.MkdirAll(name, 0o755)
		case d.Type()&fs.ModeSymlink != 0:
			to, err := os.Readlink(path)
			if err != nil {
				return err
			}
			return u.root.Symlink(to, name)
		case !d.Type().IsRegular():
			return fmt.Errorf("%s: neither a file, a folder nor a link", name)
		}
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		defer f.Close()
		return u.writeFile(name, info.Mode(), f)
	})
}

// unpack writes the contents of an archive file.
func (u *unpacker) unpack(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	var r io.Reader = f
	switch {
	case strings.HasSuffix(path, ".gz"), strings.HasSuffix(path, ".tgz"):
		z, err := gzip.NewReader(f)
		if err != nil {
			return err
		}
		defer z.Close()
		r = z
	case strings.HasSuffix(path, ".zst"):
		z, err := zstd.NewReader(f, zstd.WithDecoderConcurrency(1))
		if err != nil {
			return err
		}
		defer z.Close()
		r = z
	case !strings.HasSuffix(path, ".tar"):
		return errors.New("not a folder and not a .tar, .tar.gz, .tgz or .tar.zst")
	}
	return u.untar(tar.NewReader(r))
}

// untar writes the entries of a tar stream.
func (u *unpacker) untar(t *tar.Reader) error {
	for files := 0; ; files++ {
		h, err := t.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if files > maxFiles {
			return errTooLarge
		}
		if err := u.writeEntry(h, t); err != nil {
			return err
		}
	}
}

// writeEntry writes one entry of a tar stream; r holds the entry's contents.
func (u *unpacker) writeEntry(h *tar.Header, r io.Reader) error {
	name := filepath.Clean(strings.TrimSuffix(h.Name, "/"))
	if name == "." {
		return nil
	}
	if !filepath.IsLocal(name) {
		return fmt.Errorf("%q leads outside the image", h.Name)
	}
	switch h.Typeflag {
	case tar.TypeReg:
		return u.writeFile(name, fs.FileMode(h.Mode), r)
	case tar.TypeDir:
		return u.root.MkdirAll(name, 0o755)
	case tar.TypeSymlink:
		if err := u.root.MkdirAll(filepath.Dir(name), 0o755); err != nil {
			return err
		}
		return u.root.Symlink(h.Linkname, name)
	}
	return fmt.Errorf("%q is neither a file, a folder nor a link", h.Name)
}

type contextReader struct {
	ctx context.Context
	r   io.Reader
}

func (r contextReader) Read(b []byte) (int, error) {
	if err := r.ctx.Err(); err != nil {
		return 0, err
	}
	return r.r.Read(b)
}
