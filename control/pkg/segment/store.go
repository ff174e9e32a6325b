// Package segment keeps records in append-only files, so that items' bodies and
// results never stand in memory and a snapshot never rewrites them. Appends are
// not synced one by one: the replicated log is, and its replay rebuilds whatever
// a crash cut off after the last checkpoint.
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

// Sizes of the files.
const (
	// headerBytes stand before each record: its length and its checksum.
	headerBytes = 8
	// DefaultMaxFileBytes is the length at which a new file is begun.
	DefaultMaxFileBytes = 64 << 20
	fileMode    = 0o640
	folderMode  = 0o750
)

// ErrDamaged is a record whose length or checksum does not hold.
var ErrDamaged = errors.New("damaged record")

// ErrGone is a record in a file that retention dropped.
var ErrGone = errors.New("the record was dropped")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Ref is the place of a record: the file's number in the upper half, the offset
// in the lower. It is never 0, since files are numbered from 1.
type Ref uint64

// File is the number of the file that holds the record.
func (r Ref) File() uint32 { return uint32(r >> 32) }

func (r Ref) offset() int64 { return int64(uint32(r)) }

func refOf(file uint32, offset int64) Ref {
	return Ref(file)<<32 | Ref(uint32(offset))
}

// Config describes a store.
type Config struct {
	Folder string
	// Name begins the names of the files.
	Name string
	// MaxFileBytes is the length at which a new file is begun; 0 means DefaultRoll.
	MaxFileBytes int64
}

// file is one segment. Live counts the records that somebody still refers to.
type file struct {
	handle *os.File
	length int64
	live   uint64
	dirty  bool
}

// Store is a set of segment files. Append, Flush, Release, Checkpoint and Load
// belong to one goroutine; Read may be called from any.
type Store struct {
	config  Config
	mu      sync.RWMutex
	files   map[uint32]*file
	current uint32
	buffer  []byte
	// dropped files are named by no record any more; doomed ones are also named
	// by no checkpoint that a restart could load.
	dropped []uint32
	doomed  []uint32
}

// New makes a store without files; call Load before use.
func New(config Config) *Store {
	if config.MaxFileBytes == 0 {
		config.MaxFileBytes = DefaultMaxFileBytes
	}
	return &Store{config: config, files: map[uint32]*file{}}
}

func (s *Store) path(number uint32) string {
	return filepath.Join(s.config.Folder, fmt.Sprintf("%s-%08d.seg", s.config.Name, number))
}

// Append adds a record; Flush makes it readable.
func (s *Store) Append(payload []byte) (Ref, error) {
	needed := int64(headerBytes + len(payload))
	f, err := s.writable(needed)
	if err != nil {
		return 0, err
	}
	ref := refOf(s.current, f.length+int64(len(s.buffer)))
	s.buffer = binary.LittleEndian.AppendUint32(s.buffer, uint32(len(payload)))
	s.buffer = binary.LittleEndian.AppendUint32(s.buffer, crc32.Checksum(payload, castagnoli))
	s.buffer = append(s.buffer, payload...)
	f.live++
	return ref, nil
}

// writable returns the file that the next record goes to, a new one when the
// present one would outgrow its limit.
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
		return nil, fmt.Errorf("begin a segment: %w", err)
	}
	full := s.current
	s.current++
	f = &file{handle: handle}
	s.files[s.current] = f
	if old := s.files[full]; old != nil && old.live == 0 {
		s.dropped = append(s.dropped, full)
	}
	return f, nil
}

// Flush hands what was appended to the operating system, in one write.
func (s *Store) Flush() error {
	if len(s.buffer) == 0 {
		return nil
	}
	f := s.files[s.current]
	if _, err := f.handle.WriteAt(s.buffer, f.length); err != nil {
		return fmt.Errorf("write to %s: %w", s.path(s.current), err)
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
	s.mu.RLock()
	f := s.files[ref.File()]
	s.mu.RUnlock()
	if f == nil {
		return nil, fmt.Errorf("%s at %d: %w", s.path(ref.File()), ref.offset(), ErrGone)
	}
	var header [headerBytes]byte
	if _, err := f.handle.ReadAt(header[:], ref.offset()); err != nil {
		return nil, s.readError(ref, err)
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

func (s *Store) readError(ref Ref, err error) error {
	if errors.Is(err, os.ErrClosed) {
		err = ErrGone
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = ErrDamaged
	}
	return fmt.Errorf("%s at %d: %w", s.path(ref.File()), ref.offset(), err)
}

// Release says that nobody refers to some records of a file any more. A file
// without live records is deleted, but only at the second checkpoint from now: a restart
// loads the last durable checkpoint, which may still name the file, and replays
// the log from there.
func (s *Store) Release(number uint32, count uint64) {
	f := s.files[number]
	if f == nil || f.live == 0 {
		return
	}
	f.live -= min(count, f.live)
	if f.live == 0 && number != s.current {
		s.dropped = append(s.dropped, number)
	}
}

// Bytes is the length of all files.
func (s *Store) Bytes() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	total := int64(0)
	for _, f := range s.files {
		total += f.length
	}
	return total
}

// segments lists the files that a checkpoint names, in order of their numbers.
func (s *Store) segments() []*toucanhingev1.Segment {
	dead := map[uint32]bool{}
	for _, n := range s.dropped {
		dead[n] = true
	}
	for _, n := range s.doomed {
		dead[n] = true
	}
	var list []*toucanhingev1.Segment
	for _, n := range s.numbers() {
		if f := s.files[n]; !dead[n] {
			list = append(list, &toucanhingev1.Segment{Number: n, Length: uint64(f.length), Live: f.live})
		}
	}
	return list
}
