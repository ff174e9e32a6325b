// Package lease says whether what a gateway knows of callers' keys may still be believed.
//
// The case that it answers: an operator takes a key away, and within a bound of some seconds
// no gateway may let it in any more, also one that is cut off from the core, was frozen
// or suspended, or hears an earlier leader that doesn't know of its end yet. Waiting for
// the acknowledgement of all gateways would let one dead gateway hold up every change. So
// each gateway has to hear again and again from a leader that a majority confirmed; the
// time counts from when it asked, since all that was acknowledged before is in the answer.
// A gateway that can't hear for as long as the bound would allow turns keyed requests away.
package lease

import (
	"sync/atomic"

	"toucanhinge.example/common/pkg/clock"
)

const (
	// spanPart is the part of the bound for which a gateway believes what it knows. The rest is
	// kept for clocks that run at different rates.
	spanPart = 0.9
	// warnPart is the part of the span after which a gateway asks for no new connections. The
	// balancer needs up to two seconds to look elsewhere.
	warnPart = 0.4
)

// Lease is safe for concurrent use.
type Lease struct {
	span clock.Millis
	// confirmed is the point from which on the span runs; 0 before the first confirmation.
	confirmed atomic.Int64
}

// New makes a lease that doesn't hold yet. The bound is the time after the acknowledgement of a
// change by which no gateway may act on what was before, a span; with 0 the lease always holds.
func New(bound clock.Millis) *Lease {
	return &Lease{span: clock.Millis(spanPart * float64(bound))}
}

// Confirm notes that all that was acknowledged before a point is known here. Answers may come
// in any order.
func (l *Lease) Confirm(asked clock.Millis) {
	for {
		before := l.confirmed.Load()
		if before >= int64(asked) || l.confirmed.CompareAndSwap(before, int64(asked)) {
			return
		}
	}
}

// Bounded says whether what is known must be confirmed at all.
func (l *Lease) Bounded() bool { return l.span > 0 }

// Valid says whether what is known here may be believed.
func (l *Lease) Valid(now clock.Millis) bool { return l.within(now, l.span) }

// ExpiresSoon says that the lease holds no more, or not for much longer.
func (l *Lease) ExpiresSoon(now clock.Millis) bool {
	return !l.within(now, clock.Millis(warnPart*float64(l.span)))
}

// Age is how long ago what is known here was confirmed, a span; -1 if it never was.
func (l *Lease) Age(now clock.Millis) clock.Millis {
	if l.confirmed.Load() == 0 {
		return -1
	}
	return now - clock.Millis(l.confirmed.Load())
}

func (l *Lease) within(now, span clock.Millis) bool {
	if !l.Bounded() {
		return true
	}
	age := l.Age(now)
	return age >= 0 && age < span
}
