package consensus

import "toucanhinge.example/common/pkg/clock"

const (
	// gapFactor is how many of the longest pauses between a leader's signs must pass before
	// its silence means anything.
	gapFactor = 3
	// mostPatience bounds the silence that is borne, in election timeouts.
	mostPatience = 4
	// gapDecay is what is left of the longest pause with each further sign: a fourth after
	// five seconds of heartbeats every 75 ms.
	gapDecay = 0.98
)

// patience learns how long a leader's silence means nothing. A leader that is short of
// processor time sends its heartbeats late; deposed for it, it hands all of its work to
// another VM, which is as short of time at once, and deposed in turn: on a fleet of 278 VMs
// the leader changed every few seconds while a burst lasted. A leader whose heartbeats were
// in time is given the election timeout, and not more.
type patience struct {
	timeout clock.Millis
	gap     clock.Millis
}

// note takes up the pause before a sign that the leader is there, or, on a leader, before its
// own tick.
func (p *patience) note(gap clock.Millis) {
	p.gap = min(max(gap, clock.Millis(float64(p.gap)*gapDecay)), mostPatience*p.timeout/gapFactor)
}

// span is the silence after which a leader counts as gone.
func (p *patience) span() clock.Millis { return max(p.timeout, gapFactor*p.gap) }
