package occupancy

import "toucanhinge.example/common/pkg/clock"

// UnresponsiveAfter is the time without an event from a runner, over all calls of a daemon, after
// which the daemon reports the runner as unresponsive. Other daemons then prefer other runners.
// Events arrive every 20 to 40 ms, from a slow runner every 80 ms. A request that may run only
// once can't be retried on another runner: when every gateway detected the failure on its own,
// two unresponsive runners delayed 12 such requests in one recorded day by two to five seconds.
const UnresponsiveAfter clock.Millis = 150

// QueueCheckInterval is the interval at which a call that may wait in its runner's queue is
// checked. The time without events counts from the last check that found a queue, so a short
// interval detects an unresponsive runner soon after its queue has emptied.
const QueueCheckInterval = UnresponsiveAfter / 3

// Detector decides whether missing events of one call show that its runner is unresponsive. A call
// that waits in the runner's queue receives no events, and in a large fleet a gateway rarely has a
// second call at the same runner that would prove it alive. A call without a first event is
// therefore ignored while the runner has more requests than slots. Without this rule, bursts on a
// healthy fleet of 54 runners and 27 gateways caused 300 false alarms in two seconds. These kept
// all work off runners that were only full, so the other runners filled up as well.
type Detector struct {
	// Started is set when the first event of the call has arrived.
	Started bool
	// Factor extends the time at a slow runner; 0 means 1.
	Factor float64
	// queuedAt is the last time at which the call was in the runner's queue.
	queuedAt clock.Millis
}

// Unresponsive reports whether the runner is unresponsive. seenAt is the time of its last event over
// all calls of this daemon; queued is set if the runner has more requests than slots.
func (d *Detector) Unresponsive(now, seenAt clock.Millis, queued bool) bool {
	if queued && !d.Started {
		d.queuedAt = now
		return false
	}
	return now-max(seenAt, d.queuedAt) >= clock.Millis(max(d.Factor, 1)*float64(UnresponsiveAfter))
}

// Queued reports whether a runner has more requests than slots, by the counts of all daemons.
func (t *Table) Queued(now clock.Millis, runner string, slots int) bool {
	l := t.total[runner]
	return l.Online+l.Batch+t.Foreign(now, runner) > slots
}
