package endpoint

import "toucanhinge.example/common/pkg/clock"

// minIdleTime is how long a stream must have received no frame to be cancelled when its endpoint is
// unresponsive. A stream that still receives frames shows that the endpoint is alive.
const minIdleTime clock.Millis = 1_000

// trackStream records an open stream; the returned function removes it.
func (d *Directory) trackStream(address string, s *Stream) (untrack func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list, found := d.streams[address]
	if !found {
		list = map[*Stream]struct{}{}
		d.streams[address] = list
	}
	list[s] = struct{}{}
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(list, s)
		if len(list) == 0 && len(d.streams[address]) == 0 {
			delete(d.streams, address)
		}
	}
}

// cancelIdleStreams cancels the idle streams of an endpoint that did not answer its polls. A frozen
// process keeps its connections open. Waiting for the connections' own pings to fail would take twice
// as long, while another endpoint can continue the answers.
func (d *Directory) cancelIdleStreams(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for s := range d.streams[address] {
		if s.idleTime() >= minIdleTime {
			s.unresponsive.Store(true)
			s.cancel()
		}
	}
}
