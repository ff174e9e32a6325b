package occupancy

import "toucanhinge.example/common/pkg/clock"

// UnresponsiveAfter is the silence of a runner, over all calls of a daemon, after which it
// tells the others: they send no more work there if another runner takes it. Events
// come every 20 to 40 ms, 80 from a slow runner. A request that may run once can't be
// taken back from a runner that went dark: in one recorded day two such runners
// swallowed 12 of them, for two to five seconds each, since every gateway found out by
// itself.
const UnresponsiveAfter clock.Millis = 150

// QueueCheckInterval is how often a call that may be in its runner's queue is looked at. The
// silence counts from the last look that found a queue, so a short period finds a dark
// runner soon after the queue is gone.
const QueueCheckInterval = UnresponsiveAfter / 3

// Detector judges whether a runner's silence under one call proves anything. Nothing
// comes for a call that waits in the runner's queue, and in a large fleet a gateway
// seldom has a second call at the same runner that would prove it alive. So a call
// without a first event tells nothing while more is under way there than the runner has
// places. Without this, in bursts on a sound fleet of 54 runners behind 27 gateways, 300
// false alarms in two seconds kept all work off runners that were only full, which made
// the others full in turn.
type Detector struct {
	// Started says that the call's first event has come.
	Started bool
	// queuedAt is when the call was last found in a queue.
	queuedAt clock.Millis
}

// Unresponsive says whether the runner is to be taken for silent. HeardAt is when anything
// came from it last, over all calls of this daemon; queued says that more is under way
// there than it has places.
func (s *Detector) Unresponsive(now, heardAt clock.Millis, queued bool) bool {
	if queued && !s.Started {
		s.queuedAt = now
		return false
	}
	return now-max(heardAt, s.queuedAt) >= UnresponsiveAfter
}

// Queued says whether more is under way at a runner than it has places, by the counts
// of all daemons.
func (t *Table) Queued(now clock.Millis, runner string, places int) bool {
	l := t.total[runner]
	return l.Online+l.Batch+t.Foreign(now, runner) > places
}
