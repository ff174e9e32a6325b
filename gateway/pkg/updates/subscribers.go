package updates

import (
	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// reportInterval is the interval at which a subscriber is reported to the core again. The leader
	// removes a gateway that it hasn't seen for four seconds, and a report may take most of a second
	// on each of two hops.
	reportInterval clock.Millis = 700
	// subscriberExpiry is how long after it was last seen a subscriber expires.
	subscriberExpiry clock.Millis = 2_000
)

// subscribers records the gateways that receive updates from this one. It uses no goroutine, socket or
// clock.
type subscribers struct{ byName map[string]subscriber }

type subscriber struct {
	address  string
	lastSeen clock.Millis
	// reportedAt is when the subscriber was reported last, 0 if it wasn't.
	reportedAt clock.Millis
	// hasFleet is set if the subscriber has a fleet view.
	hasFleet bool
}

// record records when a subscriber was last seen. A changed address or hasFleet is reported at once.
func (s *subscribers) record(name, address string, seen clock.Millis, hasFleet bool) {
	if s.byName == nil {
		s.byName = map[string]subscriber{}
	}
	before := s.byName[name]
	if before.address != address || before.hasFleet != hasFleet {
		before.reportedAt = 0
	}
	s.byName[name] = subscriber{address: address, lastSeen: max(before.lastSeen, seen), reportedAt: before.reportedAt, hasFleet: hasFleet}
}

// report returns the subscribers to report now, or all of them if the receiver may know none.
func (s *subscribers) report(now clock.Millis, all bool) []*toucanhingev1.Attendance {
	var list []*toucanhingev1.Attendance
	for name, g := range s.byName {
		if now-g.lastSeen > subscriberExpiry {
			delete(s.byName, name)
			continue
		}
		if !all && g.reportedAt > 0 && now-g.reportedAt < reportInterval {
			continue
		}
		g.reportedAt = now
		s.byName[name] = g
		list = append(list, &toucanhingev1.Attendance{Name: name, Address: g.address, AgeMs: uint32(max(now-g.lastSeen, 0)), Holds: g.hasFleet})
	}
	return list
}
