// Package segment stores records in append-only files, so that the bodies and results of
// items don't occupy memory and snapshots don't rewrite them. Appends are not synced one
// by one: after a crash, the replay of the replicated log, which is synced, appends the
// records after the last checkpoint again.
package segment

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"sync"

	"github.com/pkg/errors"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// headerBytes is the size of a record's header: its length and its checksum.
	headerBytes = 8
	// DefaultMaxFileBytes is the default of Config.MaxFileBytes.
	DefaultMaxFileBytes = 64 << 20
	fileMode            = 0o640
	folderMode          = 0o750
)

// ErrDamaged reports a record or a file whose length or checksum is wrong.
var ErrDamaged = errors.New("damaged record")

// ErrGone reports a record in a file that was deleted after its retention time, or in a
// store that is closed.
var ErrGone = errors.New("the record was dropped")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Ref is the location of a record: the file number in the upper 32 bits, the offset in the
// lower 32. It is never 0, since files are numbered from 1.
type Ref uint64

// File returns the number of the file that contains the record.
func (r Ref) File() uint32 { return uint32(r >> 32) }

func (r Ref) offset() int64 { return int64(uint32(r)) }

func newRef(file uint32, offset int64) Ref {
	return Ref(file)<<32 | Ref(uint32(offset))
}

// Config holds the location and the file sizes of a Store.
type Config struct {
	Folder string
	// Name is the prefix of the file names.
	Name string
	// MaxFileBytes is the length that a file doesn't exceed unless its only record is
	// longer; 0 means DefaultMaxFileBytes.
	MaxFileBytes int64
}

// file is one segment. liveRecords counts the records that are still in use.
type file struct {
	handle      *os.File
	length      int64
	liveRecords uint64
	dirty       bool
}

// Store is a set of segment files. Append, Flush, Release, Checkpoint and Load must be
// called from one goroutine; Read may be called from any.
type Store struct {
	config  Config
	mu      sync.RWMutex
	files   map[uint32]*file
	current uint32
	buffer  []byte
	// dropped files have no live records. obsolete files are, in addition, not listed in
	// the latest checkpoint, so the next Checkpoint call deletes them.
	dropped  []uint32
	obsolete []uint32
}

// New returns a store without files; call Load before use.
func New(config Config) *Store {
	if config.MaxFileBytes == 0 {
		config.MaxFileBytes = DefaultMaxFileBytes
	}
	return &Store{config: config, files: map[uint32]*file{}}
}

func (s *Store) path(number uint32) string {
	return filepath.Join(s.config.Folder, fmt.Sprintf("%s-%08d.seg", s.config.Name, number))
}

// Append appends a record, which is readable after the next Flush.
func (s *Store) Append(payload []byte) (Ref, error) {
	needed := int64(headerBytes + len(payload))
	f, err := s.writable(needed)
	if err != nil {
		return 0, err
	}
	ref := newRef(s.current, f.length+int64(len(s.buffer)))
	s.buffer = binary.LittleEndian.AppendUint32(s.buffer, uint32(len(payload)))
	s.buffer = binary.LittleEndian.AppendUint32(s.buffer, crc32.Checksum(payload, castagnoli))
	s.buffer = append(s.buffer, payload...)
	f.liveRecords++
	return ref, nil
}

// writable returns the file for the next record: the current one, or a new one if the
// record would exceed the limit of the current one.
func (s *Store) writable(needed int64) (*file, error) {
	f := s.files[s.current]
	if f != nil && (f.length+int64(len(s.buffer)) == 0 || f.length+int64(len(s.buffer))+needed <= s.config.MaxFileBytes) {
		return f, nil
	}
	if err := s.Flush(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	handle, err := os.OpenFile(s.path(s.current+1), os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return nil, fmt.Errorf("create segment: %w", err)
	}
	previous := s.current
	s.current++
	f = &file{handle: handle}
	s.files[s.current] = f
	if old := s.files[previous]; old != nil && old.liveRecords == 0 {
		s.dropped = append(s.dropped, previous)
	}
	return f, nil
}

// Flush writes the appended records to the current file, in one write without a sync.
func (s *Store) Flush() error {
	if len(s.buffer) == 0 {
		return nil
	}
	f := s.files[s.current]
	if _, err := f.handle.WriteAt(s.buffer, f.length); err != nil {
		return fmt.Errorf("write %s: %w", s.path(s.current), err)
	}
	s.mu.Lock()
	f.length += int64(len(s.buffer))
	f.dirty = true
	s.mu.Unlock()
	s.buffer = s.buffer[:0]
	return nil
}

// Read returns a record's payload.
func (s *Store) Read(ref Ref) ([]byte, error) {
	f, header, err := s.readHeader(ref)
	if err != nil {
		return nil, err
	}
	payload := make([]byte, binary.LittleEndian.Uint32(header[:]))
	if _, err := f.handle.ReadAt(payload, ref.offset()+headerBytes); err != nil {
		return nil, s.readError(ref, err)
	}
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(header[4:]) {
		return nil, fmt.Errorf("%s at %d: %w", s.path(ref.File()), ref.offset(), ErrDamaged)
	}
	return payload, nil
}

// Size returns the size of all files, in bytes. It may be called from any goroutine.
func (s *Store) Size() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	sum := int64(0)
	for _, f := range s.files {
		sum += f.length
	}
	return sum
}

// Length returns the length of a record, in bytes.
func (s *Store) Length(ref Ref) (int64, error) {
	_, header, err := s.readHeader(ref)
	if err != nil {
		return 0, err
	}
	return int64(binary.LittleEndian.Uint32(header[:])), nil
}

// readHeader returns the file and the header of a record.
func (s *Store) readHeader(ref Ref) (f *file, header [headerBytes]byte, err error) {
	s.mu.RLock()
	f = s.files[ref.File()]
	s.mu.RUnlock()
	if f == nil {
		return nil, header, fmt.Errorf("%s at %d: %w", s.path(ref.File()), ref.offset(), ErrGone)
	}
	if _, err := f.handle.ReadAt(header[:], ref.offset()); err != nil {
		return nil, header, s.readError(ref, err)
	}
	return f, header, nil
}

func (s *Store) readError(ref Ref, err error) error {
	if errors.Is(err, os.ErrClosed) {
		err = ErrGone
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = ErrDamaged
	}
	return fmt.Errorf("%s at %d: %w", s.path(ref.File()), ref.offset(), err)
}

// Release reports that count records of a file are no longer in use. A file without live
// records is deleted at the second checkpoint from then on: a restart loads the last
// durable checkpoint, which may still list the file, and replays the log from there.
func (s *Store) Release(number uint32, count uint64) {
	f := s.files[number]
	if f == nil || f.liveRecords == 0 {
		return
	}
	f.liveRecords -= min(count, f.liveRecords)
	if f.liveRecords == 0 && number != s.current {
		s.dropped = append(s.dropped, number)
	}
}

// Bytes returns the total length of all files.
func (s *Store) Bytes() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	total := int64(0)
	for _, f := range s.files {
		total += f.length
	}
	return total
}

// segments returns the files that a checkpoint lists, sorted by number.
func (s *Store) segments() []*toucanhingev1.Segment {
	dead := map[uint32]bool{}
	for _, n := range s.dropped {
		dead[n] = true
	}
	for _, n := range s.obsolete {
		dead[n] = true
	}
	var list []*toucanhingev1.Segment
	for _, n := range s.fileNumbers() {
		if f := s.files[n]; !dead[n] {
			list = append(list, &toucanhingev1.Segment{Number: n, Length: uint64(f.length), Live: f.liveRecords})
		}
	}
	return list
}
