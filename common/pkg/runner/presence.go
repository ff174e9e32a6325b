package runner

import (
	"context"
	"time"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// recheckDelays are the pauses before a runner that showed nothing is probed again, recheckTimeout how long it then has.
var recheckDelays = []time.Duration{60 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond}

const recheckTimeout = 500 * time.Millisecond

// Presence is whether an instance of a runner still runs.
type Presence string

// Presences of an instance, as in logs and metrics.
const (
	// Present instances run.
	Present Presence = "present"
	// Gone instances have ended: they crashed or left.
	Gone Presence = "gone"
	// Silent instances accept connections and answer nothing in time: they are busy, or something accepts for them.
	Silent Presence = "silent"
	// Unknown means that not even a connection could be opened in time.
	Unknown Presence = "unknown"
)

// IsKnown reports whether the presence tells if the instance runs.
func (p Presence) IsKnown() bool { return p == Present || p == Gone }

// ProbeAgain probes a runner that showed nothing at first until it shows whether it runs, for two seconds at most. On a busy
// VM an answer may take longer than a retry of the request can wait, and a crash that isn't seen lets the request crash
// the next runner.
func (c Client) ProbeAgain(r *toucanhingev1.Runner) (presence Presence) {
	for _, delay := range recheckDelays {
		time.Sleep(delay)
		ctx, cancel := context.WithTimeout(context.Background(), recheckTimeout)
		presence = c.Probe(ctx, r)
		cancel()
		if presence.IsKnown() {
			break
		}
	}
	return presence
}
