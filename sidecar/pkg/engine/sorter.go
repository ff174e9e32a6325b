package engine

import "github.com/pkg/errors"

// heldMost bounds events that wait for an earlier one. Engines swap neighbours
// at most; a longer gap is a lost event.
const heldMost = 32

// ErrGap says that an event of the stream is missing.
var ErrGap = errors.New("an event of the stream is missing")

// Sorter puts a stream's events back in order by their numbers and drops
// doubled ones. An answer put together in the order of arrival would look whole
// and be wrong. Without numbers the order of arrival is all there is.
type Sorter struct {
	last     uint64
	numbered bool
	held     map[uint64]Event
}

// NewSorter makes a sorter for a stream that goes on after an event number.
func NewSorter(after uint64) *Sorter {
	return &Sorter{last: after, numbered: after > 0, held: map[uint64]Event{}}
}

// Add takes one event and hands on what is now in order.
func (s *Sorter) Add(e Event, emit func(Event) error) error {
	if e.ID == 0 {
		if s.numbered && e.Done() && !s.HasGap() {
			return emit(e)
		}
		if s.numbered {
			// Amid numbered events this is garbage; the number it took the
			// place of shows up as a gap.
			return nil
		}
		s.last++
		e.ID = s.last
		return emit(e)
	}
	s.numbered = true
	if e.ID <= s.last {
		return nil
	}
	if e.ID > s.last+1 {
		s.held[e.ID] = e
		if len(s.held) > heldMost {
			return ErrGap
		}
		return nil
	}
	return s.release(e, emit)
}

func (s *Sorter) release(e Event, emit func(Event) error) error {
	for found := true; found; {
		s.last = e.ID
		if err := emit(e); err != nil {
			return err
		}
		e, found = s.held[s.last+1]
		delete(s.held, s.last+1)
	}
	return nil
}

// LastID is the number of the last event handed on.
func (s *Sorter) LastID() uint64 {
	return s.last
}

// HasGap says whether events wait for one that did not come.
func (s *Sorter) HasGap() bool {
	return len(s.held) > 0
}
