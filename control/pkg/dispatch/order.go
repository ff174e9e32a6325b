package dispatch

import (
	"cmp"
	"math"

	"toucanhinge.example/common/pkg/clock"
)

const (
	// firstRun is the running time that is expected of an item before any has
	// been measured.
	firstRun clock.Millis = 3_000
	// runWeight is the weight of the newest measured run in the mean: the last
	// ten or so count.
	runWeight = 0.1
	// never is later than any moment.
	never clock.Millis = math.MaxInt64
)

// measured is what the runs of finished items tell of those to come.
type measured struct {
	meanRun clock.Millis
	// perToken is the mean running time for a token in milliseconds, 0 until an item has
	// been measured.
	perToken float64
}

// note takes up the running time of an item, a span.
func (m *measured) note(i *item, whole clock.Millis) {
	m.meanRun += clock.Millis(runWeight * float64(whole-m.meanRun))
	if i.Tokens <= 0 {
		return
	}
	perToken := float64(whole) / float64(i.Tokens)
	if m.perToken == 0 {
		m.perToken = perToken
	}
	m.perToken += runWeight * (perToken - m.perToken)
}

// left is how long an item still has to run, a span.
func (m *measured) left(now clock.Millis, i *item) clock.Millis {
	whole := m.meanRun
	if m.perToken > 0 && i.Tokens > 0 {
		whole = clock.Millis(m.perToken * float64(i.Tokens))
	}
	ran := i.ran
	if i.runner != "" {
		ran += now - i.began
	}
	return max(whole-ran, 0)
}

// order says which item goes first.
type order struct {
	now      clock.Millis
	measured *measured
	// shortest says that those with the least left go first.
	shortest bool
}

func (m *Machine) orderAt(now clock.Millis) order {
	return order{now: now, measured: &m.measured, shortest: m.pressure.pressed}
}

// compare puts the items that can still be in time before the late ones: under overload
// the other way round each place would go to an item that is late already, and all would be.
//
// Among them, while all can be done, the one goes first that must begin first to be in time:
// by when they are due, long items began too late (see TestLongItemsBeginSooner). When not
// all can be done that order loses most, since every item gets a little of each place and
// all end late; then the one with the least left goes first (see TestAFleetWithTooManyItems).
func (o order) compare(a, b *item) int {
	leftA, leftB := o.measured.left(o.now, a), o.measured.left(o.now, b)
	latestA, latestB := a.Due-leftA, b.Due-leftB
	if byLate := compareBool(o.now > latestA, o.now > latestB); byLate != 0 {
		return byLate
	}
	if o.shortest {
		if byLeft := cmp.Compare(leftA, leftB); byLeft != 0 {
			return byLeft
		}
	}
	return cmp.Or(cmp.Compare(latestA, latestB), cmp.Compare(a.order, b.order))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
