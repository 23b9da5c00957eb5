package ship

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"

	"github.com/zeebo/blake3"

	"silvergate/internal/archive"
)

// storeTogether sends records that belong together to their nodes. It returns errRefused
// if a quorum refuses one of them, and another error if fewer nodes than a quorum store one.
func (s *Shipper) storeTogether(records []archive.Record) error {
	if err := s.waitForRate(totalFrameSize(records)); err != nil {
		return err
	}
	stored, refused := s.writer.Put(s.ctx, records)
	if slices.Contains(refused, true) {
		return errRefused
	}
	if slices.Contains(stored, false) {
		return errors.New("fewer nodes than a quorum stored the records")
	}
	return nil
}

// finish ships an ended attempt's files and then its end record. It sends the end last,
// so that a stored end means that everything before it is stored.
func (s *Shipper) finish(f *followedAttempt) {
	s.mu.Lock()
	done := slices.Clone(f.progress.Files)
	s.mu.Unlock()
	files, err := s.shipFiles(f, done)
	if err == nil {
		s.mu.Lock()
		end := *f.progress.End
		end.Sizes = map[string]int64{}
		for name, follower := range f.streams {
			end.Sizes[name] = follower.Shipped
		}
		end.Files = len(files)
		s.mu.Unlock()
		err = s.storeTogether([]archive.Record{f.grantRecord, archive.NewRecord(f.attempt, archive.KindEnd, "", archive.Encode(end))})
	}
	defer s.wake() // the next attempt can be finished
	s.mu.Lock()
	defer s.mu.Unlock()
	f.finishing = false
	switch {
	case err == nil:
		f.progress.Complete, f.unsaved = true, true
	case errors.Is(err, errRefused):
		s.log.Error("nodes refused an attempt's end; the attempt is given up", "attempt", f.attempt.String(), "error", err)
		f.progress.GivenUp, f.unsaved = "refused by the archive", true
	default:
		s.log.Debug("cannot store an attempt's end yet", "attempt", f.attempt.String(), "error", err)
		return
	}
	s.save(f)
	delete(s.attempts, f.attempt)
}

// shipFiles ships the files that match the job's patterns and are not in done, and returns
// all that are shipped. It does not trust what the program left in its folder: it follows
// no links and reads only regular files.
func (s *Shipper) shipFiles(f *followedAttempt, done []archive.File) ([]archive.File, error) {
	if len(f.grant.Keep) == 0 {
		return nil, nil
	}
	root, err := os.OpenRoot(filepath.Join(f.dir, WorkDir))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer root.Close()
	var names []string
	err = fs.WalkDir(root.FS(), ".", func(p string, d fs.DirEntry, err error) error {
		if err != nil || !d.Type().IsRegular() || !archive.SafePath(p) {
			return nil // skip what can't be read, or has an unsafe path
		}
		if matches(f.grant.Keep, p) {
			names = append(names, p)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	if len(names) > s.cfg.FilesMax {
		s.log.Warn("an attempt has more files than are stored", "attempt", f.attempt.String(), "files", len(names), "kept", s.cfg.FilesMax)
		names = names[:s.cfg.FilesMax]
	}
	for _, name := range names {
		if slices.ContainsFunc(done, func(x archive.File) bool { return x.Path == name }) {
			continue
		}
		file, err := s.shipFile(f, root, name)
		if err != nil {
			return done, err
		}
		if file == nil {
			continue
		}
		done = append(done, *file)
		s.mu.Lock()
		s.stats.Files++
		f.progress.Files, f.unsaved = slices.Clone(done), true
		s.save(f)
		s.mu.Unlock()
	}
	return done, nil
}

// matches reports whether a path matches one of the patterns. Patterns are matched
// element by element, and a pattern that matches a folder matches everything in it.
func matches(patterns []string, p string) bool {
	for _, pat := range patterns {
		if ok, _ := path.Match(pat, p); ok {
			return true
		}
		n := strings.Count(pat, "/") + 1
		if parts := strings.Split(p, "/"); len(parts) > n {
			if ok, _ := path.Match(pat, strings.Join(parts[:n], "/")); ok {
				return true
			}
		}
	}
	return false
}

// shipFile ships a file's chunks and then its record. It returns nil and no error for a
// file that is not shipped: it can't be opened, is not regular or is too large.
func (s *Shipper) shipFile(f *followedAttempt, root *os.Root, name string) (*archive.File, error) {
	in, err := root.Open(name)
	if err != nil {
		return nil, nil
	}
	defer in.Close()
	info, err := in.Stat()
	if err != nil || !info.Mode().IsRegular() {
		return nil, nil
	}
	if info.Size() > int64(s.cfg.FileMB*1e6) {
		s.log.Warn("a file is too large to be stored", "attempt", f.attempt.String(), "file", name, "bytes", info.Size())
		return nil, nil
	}
	out := &archive.File{Path: name, Size: info.Size(), Mode: uint32(info.Mode().Perm()), At: info.ModTime().UnixMilli()}
	sum := blake3.New()
	filesGrant := archive.NewRecord(archive.FilesAttempt(f.attempt.Job), archive.KindGrant, "", f.grantRecord.Payload)
	buf := make([]byte, archive.ChunkSize)
	for left := out.Size; left > 0; {
		n := min(left, archive.ChunkSize)
		if _, err := io.ReadFull(in, buf[:n]); err != nil {
			return nil, fmt.Errorf("%s: the file has changed: %w", name, err)
		}
		_, _ = sum.Write(buf[:n])
		chunk := archive.NewRecord(archive.FilesAttempt(f.attempt.Job), archive.KindChunk, "", buf[:n])
		if !f.storedChunks[chunk.Key.Digest] {
			if err := s.storeTogether([]archive.Record{f.grantRecord, filesGrant, chunk}); err != nil {
				return nil, err
			}
			f.storedChunks[chunk.Key.Digest] = true
		}
		out.Chunks = append(out.Chunks, chunk.Key.Digest)
		left -= n
	}
	out.Digest = hex.EncodeToString(sum.Sum(nil))
	return out, s.storeTogether([]archive.Record{f.grantRecord, archive.NewRecord(f.attempt, archive.KindFile, "", archive.Encode(out))})
}
