package contention

import (
	"toucanhinge.example/common/pkg/clock"
)

// origin identifies a gateway, or a data centre whose relay sends the sum of its gateways.
type origin struct {
	name       string
	dataCentre bool
}

// demands is what one origin reports about a service, without its waiting requests.
type demands struct {
	Service
	gateways int
	// madeAt is when the oldest part was made, receivedAt when the report arrived.
	madeAt, receivedAt clock.Millis
}

// tally merges the reports of several origins about one service. The team sums are updated with
// each report, because adding up all teams of hundreds of gateways takes too long; the other
// figures are added up anew.
type tally struct {
	demands map[origin]*demands
	waiting map[origin]*Service
	teams   teamSums

	// merged is the sum within the bounds, without Returning. Its slices are never changed.
	merged   Service
	gateways int
	// madeAt is when the oldest report was made.
	madeAt clock.Millis
	// returning counts returning callers by absolute intervals, starting with firstInterval. It has
	// one interval more than a report, since a report may start within an interval.
	returning     [MaxReturning + 1]int
	firstInterval clock.Millis
}

func newTally(name string, weight WeightFunc) *tally {
	return &tally{
		demands: map[origin]*demands{}, waiting: map[origin]*Service{}, teams: newTeamSums(weight),
		merged: Service{Name: name},
	}
}

func (t *tally) empty() bool { return len(t.demands) == 0 && len(t.waiting) == 0 }

// setDemands replaces the demands of an origin; nil removes them. The caller merges afterwards.
func (t *tally) setDemands(o origin, d *demands) {
	old := t.demands[o]
	if d == nil {
		delete(t.demands, o)
	} else {
		t.demands[o] = d
		t.teams.add(d.Teams)
	}
	if old != nil {
		t.teams.subtract(old.Teams)
	}
}

// mergeDemands adds up everything except the waiting requests.
func (t *tally) mergeDemands(now clock.Millis) {
	t.merged.Refused, t.merged.Contended = 0, false
	t.gateways, t.madeAt = 0, now
	t.returning, t.firstInterval = [MaxReturning + 1]int{}, now/ReturnInterval
	var rest TeamDemand
	for _, d := range t.demands {
		rest.Running += d.Rest.Running
		rest.Demand += d.Rest.Demand
		rest.Teams += d.Rest.Teams
		rest.Weight += d.Rest.Weight
		t.merged.Refused += d.Refused
		t.merged.Contended = t.merged.Contended || d.Contended
		t.gateways += d.gateways
		t.madeAt = min(t.madeAt, d.madeAt)
		t.addReturning(d)
	}
	top := newTopTeams(rest)
	for i := range t.teams.list {
		top.add(&t.teams.list[i])
	}
	t.merged.Teams, t.merged.Rest = top.demands(), top.rest
}

// addReturning adds the returning callers of an origin. Each interval counts for the absolute one
// that contains its middle.
func (t *tally) addReturning(d *demands) {
	first := (d.receivedAt+ReturnInterval/2)/ReturnInterval - t.firstInterval
	for i, count := range d.Returning {
		if k := int(first) + i; k >= 0 && k < len(t.returning) {
			t.returning[k] += count
		}
	}
}

// returningFrom returns the counts of the intervals that start now. The caller's time may be earlier than that of the newest
// report, if its process was frozen after the time was taken.
func (t *tally) returningFrom(now clock.Millis) []int {
	first := max(int((now+ReturnInterval/2)/ReturnInterval-t.firstInterval), 0)
	end := min(first+MaxReturning, len(t.returning))
	for end > first && t.returning[end-1] == 0 {
		end--
	}
	if first >= end {
		return nil
	}
	list := make([]int, end-first)
	copy(list, t.returning[first:end])
	return list
}

// mergeWaiting lists the most urgent waiting requests of all origins.
func (t *tally) mergeWaiting() {
	t.merged.Waiting, t.merged.WaitingCount = nil, 0
	for _, s := range t.waiting {
		t.merged.WaitingCount += s.WaitingCount
		for _, w := range s.Waiting {
			var dropped Waiter
			var full bool
			t.merged.Waiting, dropped, full = insertBounded(t.merged.Waiting, w, MaxWaiting, Waiter.compare)
			if full && dropped == w {
				// The waiting requests of an origin are in order, so the others don't fit either.
				break
			}
		}
	}
}

// service returns the sum as of now.
func (t *tally) service(now clock.Millis) Service {
	s := t.merged
	s.Returning = t.returningFrom(now)
	return s
}
