package disk

import (
	"fmt"

	"github.com/pkg/errors"

	"toucanhinge.example/control/pkg/consensus"
)

// Content is what a log held when it was opened.
type Content struct {
	State   consensus.HardState
	Base    consensus.Base
	Entries []consensus.Entry
}

// LastIndex is the index of the last entry.
func (c *Content) LastIndex() uint64 {
	return c.Base.Index + uint64(len(c.Entries))
}

func (c *Content) lastTerm() uint64 {
	if len(c.Entries) == 0 {
		return c.Base.Term
	}
	return c.Entries[len(c.Entries)-1].Term
}

var errGap = errors.New("an entry doesn't follow the one before it")

// add takes up one record's payload, in the order of writing.
func (c *Content) add(payload []byte) error {
	if len(payload) == 0 {
		return errRecord
	}
	switch recordKind(payload[0]) {
	case recordState:
		state, err := decodeState(payload)
		c.State = state
		return err
	case recordEntry:
		e, err := decodeEntry(payload)
		if err != nil {
			return err
		}
		return c.addEntry(e)
	default:
		return errRecord
	}
}

// addEntry puts an entry in its place; the ones from there on are replaced.
// Files before the first one are dropped only when a checkpoint covers them, so
// entries at or below the base are done with, whatever their content.
func (c *Content) addEntry(e consensus.Entry) error {
	if e.Index <= c.Base.Index {
		c.Entries = nil
		if e.Index == c.Base.Index {
			c.Base.Term = e.Term
		}
		return nil
	}
	if e.Index > c.LastIndex()+1 {
		return fmt.Errorf("entry %d after entry %d: %w", e.Index, c.LastIndex(), errGap)
	}
	c.Entries = append(c.Entries[:e.Index-c.Base.Index-1], e)
	return nil
}

// Term tells the term of an entry, and false when the log doesn't hold it.
func (c *Content) Term(index uint64) (uint64, bool) {
	if index == c.Base.Index {
		return c.Base.Term, true
	}
	if index < c.Base.Index || index > c.LastIndex() {
		return 0, false
	}
	return c.Entries[index-c.Base.Index-1].Term, true
}
