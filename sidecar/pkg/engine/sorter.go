package engine

import "github.com/pkg/errors"

// maxBufferedEvents limits the events that wait for an earlier one. Engines swap adjacent
// events at most, so a longer gap means that an event was lost.
const maxBufferedEvents = 32

// ErrGap reports that an event of the stream is missing.
var ErrGap = errors.New("event of the stream is missing")

// Sorter restores the order of a stream's events by their numbers and drops duplicates. An
// answer assembled in order of arrival would look complete and be wrong. Events without
// numbers are emitted in order of arrival.
type Sorter struct {
	lastID   uint64
	numbered bool
	buffered map[uint64]Event
}

// NewSorter returns a sorter for a stream that continues after the given event number.
func NewSorter(after uint64) *Sorter {
	return &Sorter{lastID: after, numbered: after > 0, buffered: map[uint64]Event{}}
}

// Add adds one event and emits all events that are now in order.
func (s *Sorter) Add(e Event, emit func(Event) error) error {
	if e.ID == 0 {
		if s.numbered && e.Done() && !s.HasGap() {
			return emit(e)
		}
		if s.numbered {
			// Among numbered events, an event without a number is malformed. The number
			// that it replaced shows up as a gap.
			return nil
		}
		s.lastID++
		e.ID = s.lastID
		return emit(e)
	}
	s.numbered = true
	if e.ID <= s.lastID {
		return nil
	}
	if e.ID > s.lastID+1 {
		s.buffered[e.ID] = e
		if len(s.buffered) > maxBufferedEvents {
			return ErrGap
		}
		return nil
	}
	return s.emitInOrder(e, emit)
}

func (s *Sorter) emitInOrder(e Event, emit func(Event) error) error {
	for found := true; found; {
		s.lastID = e.ID
		if err := emit(e); err != nil {
			return err
		}
		e, found = s.buffered[s.lastID+1]
		delete(s.buffered, s.lastID+1)
	}
	return nil
}

// LastID returns the number of the last emitted event.
func (s *Sorter) LastID() uint64 {
	return s.lastID
}

// HasGap reports whether events wait for a missing one.
func (s *Sorter) HasGap() bool {
	return len(s.buffered) > 0
}
