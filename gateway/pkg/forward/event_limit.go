package forward

import "toucanhinge.example/common/pkg/clock"

// maxShareEvents is the maximum number of log lines about shares per second.
const maxShareEvents = 10

// eventLimit limits the log lines about shares to maxShareEvents per second.
type eventLimit struct {
	startedAt clock.Millis
	count     int
}

// allow reports whether one more line may be logged.
func (l *eventLimit) allow(now clock.Millis) bool {
	if now < l.startedAt || now-l.startedAt >= 1_000 {
		l.startedAt, l.count = now, 0
	}
	l.count++
	return l.count <= maxShareEvents
}
