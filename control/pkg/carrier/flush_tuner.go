package carrier

import "toucanhinge.example/common/pkg/clock"

const (
	// shortGather and longGather bound how long gateways hold items' events back. What is held
	// back is lost with the gateway's VM, or with the leader's.
	shortGather clock.Millis = 50
	longGather  clock.Millis = 500
	// messageRate is the number of messages a second, of all gateways together, that a leader
	// in time takes: some 50 us of processor time each.
	messageRate = 400.0
	// busier and calmer change what it takes, each time that this process was late or in time.
	busier = 1.4
	calmer = 0.97
	// mostBusy bounds the factor, so that a calm leader is back at once.
	mostBusy = 10.0
	// noticeable is the change of the span that gateways are told without another reason.
	noticeable = 1.3
)

// lateLag is how late this process may be until it counts as busy, a span.
const lateLag clock.Millis = 20

// gathering decides how long gateways hold items' events back. Passed on every 50 ms, the events
// of hundreds of items are more messages than a busy leader can take, and it loses its lead;
// held back for half a second, every loss of a VM costs each of its items as much. So it
// follows the number of gateways and how late this process is. It holds no clock.
type gathering struct{ busy float64 }

// note takes up how late this process was, a span.
func (g *gathering) note(lag clock.Millis) {
	if lag > lateLag {
		g.busy = min(max(g.busy, 1)*busier, mostBusy)
		return
	}
	g.busy = max(g.busy*calmer, 1)
}

// span is how long events are held back with so many gateways at work.
func (g *gathering) span(gateways int) clock.Millis {
	wanted := clock.Millis(1_000 * float64(gateways) / messageRate * max(g.busy, 1))
	return min(max(wanted, shortGather), longGather)
}
