package callproxy

import "toucanhinge.example/common/pkg/clock"

const (
	// minFlushInterval and maxFlushInterval limit how long gateways buffer the events of items. Buffered
	// events are lost if the gateway's or the leader's VM fails.
	minFlushInterval clock.Millis = 50
	maxFlushInterval clock.Millis = 500
	// maxMessageRate is the number of messages per second, from all gateways together, that a leader without
	// lag handles. Each takes some 50 us of CPU time.
	maxMessageRate = 400.0
	// loadIncrease and loadDecrease multiply the load factor whenever this process was late or in time.
	loadIncrease = 1.4
	loadDecrease = 0.97
	// maxLoadFactor limits the load factor, so that it falls quickly once the leader is in time again.
	maxLoadFactor = 10.0
	// minFlushChange is the factor by which the flush interval must change before gateways are informed.
	minFlushChange = 1.3
)

// lagThreshold is the lag above which this process counts as overloaded.
const lagThreshold clock.Millis = 20

// flushTuner decides how long gateways buffer the events of items. Flushed every 50 ms, the events of hundreds of
// items are more messages than a busy leader can handle, and it loses its leadership. Buffered for half a
// second, each loss of a VM costs half a second of work of each of its items. So the interval follows the
// number of gateways and the lag of this process. It doesn't read the clock.
type flushTuner struct{ loadFactor float64 }

// recordLag adjusts the load factor to the lag of this process.
func (t *flushTuner) recordLag(lag clock.Millis) {
	if lag > lagThreshold {
		t.loadFactor = min(max(t.loadFactor, 1)*loadIncrease, maxLoadFactor)
		return
	}
	t.loadFactor = max(t.loadFactor*loadDecrease, 1)
}

// interval returns how long each of the active gateways should buffer events.
func (t *flushTuner) interval(gateways int) clock.Millis {
	interval := clock.Millis(1_000 * float64(gateways) / maxMessageRate * max(t.loadFactor, 1))
	return min(max(interval, minFlushInterval), maxFlushInterval)
}
