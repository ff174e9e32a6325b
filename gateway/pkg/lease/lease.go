// Package lease decides whether a gateway's state about callers' keys is still valid.
//
// When an operator removes a key, no gateway may admit it after a bound of some seconds. This includes
// gateways that are cut off from the core, were frozen or suspended, or receive updates from an earlier
// leader that doesn't know yet that it was replaced. If a change waited for the acknowledgement of all
// gateways, one dead gateway would block every change. Instead, each gateway must renew a lease by a
// query that a leader answers with the confirmation of a majority. The lease runs from the time of the
// query, since the answer contains all state that was acknowledged before. A gateway whose lease has
// expired refuses requests with keys.
package lease

import (
	"sync/atomic"

	"toucanhinge.example/common/pkg/clock"
)

const (
	// durationShare is the part of the bound for which the lease is valid. The rest allows for clocks
	// that run at different rates.
	durationShare = 0.9
	// warnShare is the part of the lease's duration after which a gateway should get no new connections. The
	// balancer needs up to two seconds to send them to another gateway.
	warnShare = 0.4
)

// Lease records when the state about callers' keys was confirmed last. It is safe for concurrent use.
type Lease struct {
	duration clock.Millis
	// confirmedAt is the time from which the lease runs; 0 before the first confirmation.
	confirmedAt atomic.Int64
}

// New returns a lease that isn't valid yet. The bound is the maximum time after the acknowledgement of a
// change for which a gateway may act on the previous state; with 0 the lease is always valid.
func New(bound clock.Millis) *Lease {
	return &Lease{duration: clock.Millis(durationShare * float64(bound))}
}

// Confirm records that all state that was acknowledged before asOf is applied. Answers may arrive in any
// order.
func (l *Lease) Confirm(asOf clock.Millis) {
	for {
		before := l.confirmedAt.Load()
		if before >= int64(asOf) || l.confirmedAt.CompareAndSwap(before, int64(asOf)) {
			return
		}
	}
}

// Bounded reports whether the lease needs confirmations.
func (l *Lease) Bounded() bool { return l.duration > 0 }

// Valid reports whether the lease is valid.
func (l *Lease) Valid(now clock.Millis) bool { return l.confirmedWithin(now, l.duration) }

// ExpiresSoon reports whether the lease has expired or will expire soon.
func (l *Lease) ExpiresSoon(now clock.Millis) bool {
	return !l.confirmedWithin(now, clock.Millis(warnShare*float64(l.duration)))
}

// Age returns the time since the last confirmation, -1 if there was none.
func (l *Lease) Age(now clock.Millis) clock.Millis {
	if l.confirmedAt.Load() == 0 {
		return -1
	}
	return now - clock.Millis(l.confirmedAt.Load())
}

// confirmedWithin reports whether the last confirmation is younger than maxAge.
func (l *Lease) confirmedWithin(now, maxAge clock.Millis) bool {
	if !l.Bounded() {
		return true
	}
	age := l.Age(now)
	return age >= 0 && age < maxAge
}
