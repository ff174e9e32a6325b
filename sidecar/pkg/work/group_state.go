package work

import (
	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// assumedDuration is the duration of a lease before control has told it.
const assumedDuration = clock.Millis(10_000)

// groupState is the state of a LeaseManager for one group of control.
type groupState struct {
	leasing      bool
	nextLeaseAt  clock.Millis
	renewing     bool
	reporting    bool
	pending      []*toucanhingev1.Completion
	pendingSince clock.Millis
	// duration is the duration of a lease in control's last answer.
	duration clock.Millis
	// Until listUntil, leases are listed regularly, also if there are none: control may count on a lease that isn't held
	// here, and would take an item that runs alone under it for lost with this process.
	listUntil  clock.Millis
	nextListAt clock.Millis
}

// startListing lists the group's leases to control from now on. Control passes over a lease that it granted less than half of its
// duration ago, so one list isn't enough.
func (g *groupState) startListing(now clock.Millis) {
	g.listUntil = now + 2*g.duration
	g.nextListAt = min(max(g.nextListAt, now), now+g.duration/2)
}

// listDue reports whether the group's leases have to be listed although none needs a renewal.
func (g *groupState) listDue(now clock.Millis) bool {
	return now >= g.nextListAt && now < g.listUntil
}
