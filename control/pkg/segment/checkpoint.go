package segment

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

func (s *Store) fileNumbers() []uint32 {
	numbers := make([]uint32, 0, len(s.files))
	for n := range s.files {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	return numbers
}

// Checkpoint syncs all files and returns their lengths for the manifest. It deletes the
// files that the previous checkpoint no longer listed, since that checkpoint was made
// durable before this one was requested.
func (s *Store) Checkpoint() ([]*toucanhingev1.Segment, error) {
	if err := s.Flush(); err != nil {
		return nil, err
	}
	for _, n := range s.fileNumbers() {
		f := s.files[n]
		if !f.dirty {
			continue
		}
		if err := f.handle.Sync(); err != nil {
			return nil, fmt.Errorf("sync %s: %w", s.path(n), err)
		}
		f.dirty = false
	}
	if err := syncFolder(s.config.Folder); err != nil {
		return nil, err
	}
	if err := s.deleteObsolete(); err != nil {
		return nil, err
	}
	list := s.segments()
	s.obsolete, s.dropped = append(s.obsolete, s.dropped...), nil
	return list, nil
}

func (s *Store) deleteObsolete() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.obsolete {
		if err := s.files[n].handle.Close(); err != nil {
			return fmt.Errorf("close %s: %w", s.path(n), err)
		}
		delete(s.files, n)
		if err := os.Remove(s.path(n)); err != nil {
			return fmt.Errorf("delete obsolete segment: %w", err)
		}
	}
	s.obsolete = nil
	return nil
}

func syncFolder(folder string) error {
	handle, err := os.Open(folder)
	if err != nil {
		return fmt.Errorf("open the folder to sync it: %w", err)
	}
	defer func() { _ = handle.Close() }()
	if err := handle.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", folder, err)
	}
	return nil
}

// Load opens the files that a manifest lists, truncates them to the listed lengths, and
// deletes the other files of this store. The replay of the log appends the later records
// again: if they were still in the files, they would be stored twice, and records would
// have other locations than on other replicas.
func (s *Store) Load(list []*toucanhingev1.Segment) error {
	s.Close()
	if err := os.MkdirAll(s.config.Folder, folderMode); err != nil {
		return fmt.Errorf("make the segments' folder: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.files, s.current, s.buffer, s.dropped, s.obsolete = map[uint32]*file{}, 0, nil, nil, nil
	for _, m := range list {
		if err := s.openFile(m); err != nil {
			return err
		}
		s.current = max(s.current, m.GetNumber())
	}
	return s.deleteUnlisted()
}

func (s *Store) openFile(m *toucanhingev1.Segment) error {
	handle, err := os.OpenFile(s.path(m.GetNumber()), os.O_RDWR, fileMode)
	if err != nil {
		return fmt.Errorf("open a segment that the checkpoint names: %w", err)
	}
	s.files[m.GetNumber()] = &file{handle: handle, length: int64(m.GetLength()), liveRecords: m.GetLive()}
	info, err := handle.Stat()
	if err != nil {
		return fmt.Errorf("look at %s: %w", s.path(m.GetNumber()), err)
	}
	if info.Size() < int64(m.GetLength()) {
		return fmt.Errorf("%s holds %d bytes, the checkpoint names %d: %w",
			s.path(m.GetNumber()), info.Size(), m.GetLength(), ErrDamaged)
	}
	if err := handle.Truncate(int64(m.GetLength())); err != nil {
		return fmt.Errorf("cut %s to the checkpoint: %w", s.path(m.GetNumber()), err)
	}
	return nil
}

func (s *Store) deleteUnlisted() error {
	paths, err := filepath.Glob(filepath.Join(s.config.Folder, s.config.Name+"-*.seg"))
	if err != nil {
		return fmt.Errorf("list the segments: %w", err)
	}
	for _, path := range paths {
		number := strings.TrimSuffix(strings.TrimPrefix(filepath.Base(path), s.config.Name+"-"), ".seg")
		var n uint32
		if _, err := fmt.Sscanf(number, "%d", &n); err == nil && s.files[n] != nil {
			continue
		}
		if err := os.Remove(path); err != nil {
			return fmt.Errorf("delete a segment that no checkpoint names: %w", err)
		}
	}
	return nil
}

// Close closes the files. Records that were not flushed are lost.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.files {
		_ = f.handle.Close()
	}
	s.files = map[uint32]*file{}
}

// Export writes the files of a manifest to w, one after another, each up to the length
// that the manifest lists.
func (s *Store) Export(list []*toucanhingev1.Segment, w io.Writer) error {
	for _, m := range list {
		handle, err := os.Open(s.path(m.GetNumber()))
		if err != nil {
			return fmt.Errorf("open segment to export: %w", err)
		}
		copied, err := io.Copy(w, io.LimitReader(handle, int64(m.GetLength())))
		_ = handle.Close()
		if err != nil {
			return fmt.Errorf("export %s: %w", s.path(m.GetNumber()), err)
		}
		if copied != int64(m.GetLength()) {
			return fmt.Errorf("export %s: %w", s.path(m.GetNumber()), ErrDamaged)
		}
	}
	return nil
}

// Import reads the files of a manifest as Export wrote them, stores them and syncs them.
// The store's folder must not be in use yet.
func (s *Store) Import(list []*toucanhingev1.Segment, r io.Reader) error {
	if err := os.MkdirAll(s.config.Folder, folderMode); err != nil {
		return fmt.Errorf("make the segments' folder: %w", err)
	}
	for _, m := range list {
		if err := s.receiveFile(m, r); err != nil {
			return err
		}
	}
	return syncFolder(s.config.Folder)
}

func (s *Store) receiveFile(m *toucanhingev1.Segment, r io.Reader) error {
	handle, err := os.Create(s.path(m.GetNumber()))
	if err != nil {
		return fmt.Errorf("make a shipped segment: %w", err)
	}
	defer func() { _ = handle.Close() }()
	if _, err := io.CopyN(handle, r, int64(m.GetLength())); err != nil {
		return fmt.Errorf("receive %s: %w", s.path(m.GetNumber()), err)
	}
	if err := handle.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", s.path(m.GetNumber()), err)
	}
	return nil
}
