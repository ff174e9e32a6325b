// Package lateruns counts the runs of a request, or of requests with one part of their prompts, that crash runners. Once enough
// runners have crashed for every daemon to know, few more runs may begin, over the whole fleet and a day. Each mechanism that lets
// such a request run counts here, so that what they allow doesn't add up.
package lateruns

import (
	"cmp"
	"slices"

	"toucanhinge.example/common/pkg/clock"
)

// Max is the number of late runs that may begin within Window.
const Max = 3

const (
	// Window is the time for which a late run counts.
	Window clock.Millis = 24 * 60 * 60_000
	// NoticePeriod is the time after the deciding crash from which on a run is late.
	NoticePeriod clock.Millis = 3_000
)

// maxRuns limits the stored runs, the late ones among them included.
const maxRuns = 16

// Run is a run that began although the request or part was suspected, or that ended with a crash.
type Run struct {
	// ID identifies the run at all daemons.
	ID uint64
	// At is when it began.
	At clock.Millis
	// CrashedAt is when its runner crashed, 0 if it hasn't as far as is known.
	CrashedAt clock.Millis
	// Returned is set if it reached no runner after all, Excused if it doesn't count for another reason.
	Returned, Excused bool
}

// History holds the runs since the newest complete answer. Histories of different daemons merge to the same one in any order.
type History struct {
	// KnownAt is when the deciding crash happened, 0 before.
	KnownAt clock.Millis
	// Runs are the crashes until then, and the late runs, in order of their beginnings.
	Runs []Run
}

// Add adds a run, or what is new about a known one. crashes is the number of crashes that decide.
func (h *History) Add(r Run, crashes int) {
	h.Runs = slices.Clone(h.Runs)
	h.merge(r)
	h.update(crashes)
}

// Merge adds what another daemon knows.
func (h *History) Merge(other History, crashes int) {
	if other.KnownAt > 0 && (h.KnownAt == 0 || other.KnownAt < h.KnownAt) {
		h.KnownAt = other.KnownAt
	}
	h.Runs = slices.Clone(h.Runs)
	for _, r := range other.Runs {
		h.merge(r)
	}
	h.update(crashes)
}

func (h *History) merge(r Run) {
	at := slices.IndexFunc(h.Runs, func(known Run) bool { return known.ID == r.ID })
	if at < 0 {
		h.Runs = append(h.Runs, r)
		return
	}
	known := &h.Runs[at]
	known.At = min(known.At, r.At)
	known.Returned = known.Returned || r.Returned
	known.Excused = known.Excused || r.Excused
	if r.CrashedAt > 0 && (known.CrashedAt == 0 || r.CrashedAt < known.CrashedAt) {
		known.CrashedAt = r.CrashedAt
	}
}

// update finds the deciding crash and removes the runs that are needed no longer.
func (h *History) update(crashes int) {
	slices.SortFunc(h.Runs, func(a, b Run) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.ID, b.ID)) })
	if times := h.crashTimes(); len(times) >= crashes && (h.KnownAt == 0 || times[crashes-1] < h.KnownAt) {
		h.KnownAt = times[crashes-1]
	}
	for len(h.Runs) > maxRuns {
		at := max(slices.IndexFunc(h.Runs, func(r Run) bool { return !h.isLate(r) && r.At > h.KnownAt }), 0)
		h.Runs = slices.Delete(h.Runs, at, at+1)
	}
}

// crashTimes returns the different times of the crashes in order. Several runs may have ended in one crash.
func (h *History) crashTimes() []clock.Millis {
	var times []clock.Millis
	for _, r := range h.Runs {
		if r.CrashedAt > 0 {
			times = append(times, r.CrashedAt)
		}
	}
	slices.Sort(times)
	return slices.Compact(times)
}

// Forget removes the runs that began up to a time, since an answer from that time on shows that they crashed their runners for
// another reason.
func (h *History) Forget(until clock.Millis, crashes int) {
	h.Runs = slices.DeleteFunc(slices.Clone(h.Runs), func(r Run) bool { return r.At <= until })
	h.KnownAt = 0
	h.update(crashes)
}

func (h *History) isLate(r Run) bool {
	return !r.Returned && !r.Excused && h.KnownAt > 0 && r.At > h.KnownAt+NoticePeriod
}

// IsKnown reports whether a run that begins now is late.
func (h *History) IsKnown(now clock.Millis) bool {
	return h.KnownAt > 0 && now > h.KnownAt+NoticePeriod
}

// Late returns the beginnings of the late runs within Window, in order.
func (h *History) Late(now clock.Millis) []clock.Millis {
	var late []clock.Millis
	for _, r := range h.Runs {
		if h.isLate(r) && now-r.At < Window {
			late = append(late, r.At)
		}
	}
	return late
}

// Next returns the time from which on another run may begin if allowed late ones may, 0 for now.
func (h *History) Next(now clock.Millis, allowed int) clock.Millis {
	late := h.Late(now)
	if len(late) < allowed {
		return 0
	}
	return late[len(late)-allowed] + Window
}

// IsReturned reports whether a run is known to have reached no runner.
func (h *History) IsReturned(id uint64) bool {
	return slices.ContainsFunc(h.Runs, func(r Run) bool { return r.ID == id && r.Returned })
}

// Return records that a run reached no runner.
func (h *History) Return(id uint64) { h.change(id, func(r *Run) { r.Returned = r.CrashedAt == 0 }) }

// Excuse records that a run doesn't count.
func (h *History) Excuse(id uint64) { h.change(id, func(r *Run) { r.Excused = true }) }

// change changes a known run.
func (h *History) change(id uint64, apply func(*Run)) {
	h.Runs = slices.Clone(h.Runs)
	for i := range h.Runs {
		if h.Runs[i].ID == id {
			apply(&h.Runs[i])
		}
	}
}
