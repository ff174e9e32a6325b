package disk

import (
	"fmt"

	"github.com/pkg/errors"

	"toucanhinge.example/control/pkg/consensus"
)

// Content is the content that Open reads from a log.
type Content struct {
	State   consensus.HardState
	Base    consensus.Base
	Entries []consensus.Entry
}

// LastIndex returns the index of the last entry.
func (c *Content) LastIndex() uint64 {
	return c.Base.Index + uint64(len(c.Entries))
}

func (c *Content) lastTerm() uint64 {
	if len(c.Entries) == 0 {
		return c.Base.Term
	}
	return c.Entries[len(c.Entries)-1].Term
}

var errGap = errors.New("gap between entries")

// applyRecord applies the payload of one record. Records are applied in the order in which
// they were written.
func (c *Content) applyRecord(payload []byte) error {
	if len(payload) == 0 {
		return errMalformedRecord
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
		return c.applyEntry(e)
	default:
		return errMalformedRecord
	}
}

// applyEntry stores an entry at its index and discards all later entries. A file is
// dropped only when a checkpoint covers it, so an entry at or below the base needs no
// storing, whatever its content.
func (c *Content) applyEntry(e consensus.Entry) error {
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

// Term returns the term of an entry, or false if the log doesn't contain it.
func (c *Content) Term(index uint64) (uint64, bool) {
	if index == c.Base.Index {
		return c.Base.Term, true
	}
	if index < c.Base.Index || index > c.LastIndex() {
		return 0, false
	}
	return c.Entries[index-c.Base.Index-1].Term, true
}
