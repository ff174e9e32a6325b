package consensus

import "sort"

// entryLog is the part of the log that is held in memory. Slices of it are shared with
// messages, so existing entries are never modified.
type entryLog struct {
	base    Base
	entries []Entry
}

func (l *entryLog) last() uint64 {
	return l.base.Index + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of an entry, and false if the log doesn't contain it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base.Index {
		return l.base.Term, true
	}
	if index < l.base.Index || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base.Index-1].Term, true
}

// slice returns the entries from one index to another, both included.
func (l *entryLog) slice(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	first := l.base.Index + 1
	return l.entries[from-first : to-first+1 : to-first+1]
}

func (l *entryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate removes the entries from index on. It also cuts the capacity, so that the next
// append doesn't overwrite entries that messages still refer to.
func (l *entryLog) truncate(index uint64) {
	kept := index - l.base.Index - 1
	l.entries = l.entries[:kept:kept]
}

func (l *entryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index == l.base.Index {
		return
	}
	rest := l.slice(index+1, l.last())
	l.entries = append(make([]Entry, 0, len(rest)+len(rest)/2), rest...)
	l.base = Base{Index: index, Term: term}
}

func (l *entryLog) reset(base Base) {
	l.base = base
	l.entries = nil
}

// membership is a Members value and the index of the entry that set it.
type membership struct {
	index   uint64
	members Members
}

// memberHistory lists the memberships that a truncation of the log may revert to.
type memberHistory []membership

func (h memberHistory) current() Members {
	if len(h) == 0 {
		return nil
	}
	return h[len(h)-1].members
}

func (h memberHistory) currentIndex() uint64 {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].index
}

// countBefore returns the number of memberships set before index.
func (h memberHistory) countBefore(index uint64) int {
	return sort.Search(len(h), func(i int) bool { return h[i].index >= index })
}

func (h memberHistory) truncate(index uint64) memberHistory {
	kept := h.countBefore(index)
	return h[:kept:kept]
}

func (h memberHistory) compact(index uint64) memberHistory {
	kept := h.countBefore(index + 1)
	if kept <= 1 {
		return h
	}
	return append(memberHistory(nil), h[kept-1:]...)
}
