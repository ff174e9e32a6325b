package segment

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"slices"
)

const (
	// maxGapBytes is the maximum distance between the starts of two neighbouring records
	// that are read together, and maxRunBytes that between the first and the last one.
	maxGapBytes = 2 << 10
	maxRunBytes = 1 << 20
	// readAheadBytes is the number of bytes read from the start of a run's last record.
	readAheadBytes = 1 << 10
)

// ReadMany returns the payloads of records, in the order of refs. Records of one job are
// stored close together, so reading them in runs, with the data in between, takes far
// fewer system calls than reading them one by one.
func (s *Store) ReadMany(refs []Ref) ([][]byte, error) {
	order := make([]int, len(refs))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if refs[a] < refs[b] {
			return -1
		}
		return 1
	})
	payloads := make([][]byte, len(refs))
	for len(order) > 0 {
		count := runLength(refs, order)
		if err := s.readRun(refs, order[:count], payloads); err != nil {
			return nil, err
		}
		order = order[count:]
	}
	return payloads, nil
}

func runLength(refs []Ref, order []int) int {
	first := refs[order[0]]
	for n := 1; n < len(order); n++ {
		ref, previous := refs[order[n]], refs[order[n-1]]
		if ref.File() != first.File() ||
			ref.offset()-previous.offset() > maxGapBytes || ref.offset()-first.offset() > maxRunBytes {
			return n
		}
	}
	return len(order)
}

func (s *Store) readRun(refs []Ref, run []int, payloads [][]byte) error {
	first, last := refs[run[0]], refs[run[len(run)-1]]
	s.mu.RLock()
	f := s.files[first.File()]
	var length int64
	if f != nil {
		length = f.length
	}
	s.mu.RUnlock()
	if f == nil || last.offset() >= length {
		return fmt.Errorf("%s at %d: %w", s.path(first.File()), last.offset(), ErrGone)
	}
	piece := make([]byte, min(last.offset()+readAheadBytes, length)-first.offset())
	if _, err := f.handle.ReadAt(piece, first.offset()); err != nil {
		return s.readError(first, err)
	}
	for _, n := range run {
		payload, err := s.extractPayload(refs[n], piece[refs[n].offset()-first.offset():])
		if err != nil {
			return err
		}
		payloads[n] = payload
	}
	return nil
}

// extractPayload returns the payload of the record at the start of a piece. It reads the
// record separately if the piece doesn't contain all of it.
func (s *Store) extractPayload(ref Ref, piece []byte) ([]byte, error) {
	if len(piece) < headerBytes {
		return s.Read(ref)
	}
	length := int64(binary.LittleEndian.Uint32(piece))
	if int64(len(piece)) < headerBytes+length {
		return s.Read(ref)
	}
	payload := piece[headerBytes : headerBytes+length : headerBytes+length]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(piece[4:]) {
		return nil, fmt.Errorf("%s at %d: %w", s.path(ref.File()), ref.offset(), ErrDamaged)
	}
	return payload, nil
}
