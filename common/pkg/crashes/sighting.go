package crashes

import "toucanhinge.example/common/pkg/clock"

// Sign is what a run that ended with its runner's crash says of the request.
type Sign int

// Signs.
const (
	// Late runs had given events for too long to be the cause.
	Late Sign = iota
	// Young ones had given events for less than youngSpan.
	Young
	// Silent ones had given none. Requests that crash their runner do so 30 to 105 ms after
	// they begin, before their first event (eleven runs whose begin and end are known).
	Silent
)

// youngSpan is the time after which a request doesn't crash the runner that began to run
// it: five times the longest delay that was seen.
const youngSpan clock.Millis = 500

// Crash names one crash: a runner and when it had started, 0 if that isn't known. Each
// start of a runner has an id or a time of its own, so it crashes once.
type Crash struct {
	Runner string
	Born   int64
}

// Sighting is a run that ended with its runner's crash.
type Sighting struct {
	Crash   Crash
	Content Content
	Sign    Sign
	// At is when the runner crashed.
	At clock.Millis
}

// SignOf is the sign of a run that ended with a crash. Heard is how long events had come,
// negative for none; asked how long ago the request was sent there; streams whether it
// gives events at all.
func SignOf(heard, asked clock.Millis, streams bool) Sign {
	switch {
	case heard >= youngSpan:
		return Late
	case heard >= 0, !streams && asked >= youngSpan:
		return Young
	default:
		return Silent
	}
}
