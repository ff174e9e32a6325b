package dispatch

import "toucanhinge.example/common/pkg/clock"

const (
	// rankSpan is how much later an item goes for each rank below the most urgent, a span. It is
	// bounded, so that no team waits for ever behind more urgent ones.
	rankSpan clock.Millis = 2_000
	// manyTimes the mean number of running items of a team, and leastMany, is what a team may
	// have before its further items go later: by manySpan for each such number more. Jobs come
	// in lumps of some ten items, which are no reason.
	manyTimes              = 2
	leastMany              = 10
	manySpan  clock.Millis = 20_000
)

// team is who handed items in. One that hands in many times what others do gets the places that
// these leave: else its items, all due at the same time, would go before those that come a few
// seconds later, and make all of them late.
type team struct {
	name    string
	items   int
	running int
	// shift is how much later the team's items go now, a span.
	shift clock.Millis
}

func (m *Machine) join(name string) *team {
	t := m.teams[name]
	if t == nil {
		t = &team{name: name}
		m.teams[name] = t
	}
	t.items++
	return t
}

func (m *Machine) part(t *team) {
	t.items--
	if t.items == 0 {
		delete(m.teams, t.name)
	}
}

// share works out who has many times what others have.
func (m *Machine) share() {
	if len(m.teams) == 0 {
		return
	}
	running := len(m.items) - len(m.waiting)
	most := manyTimes*float64(running)/float64(len(m.teams)) + leastMany
	for _, t := range m.teams {
		t.shift = clock.Millis(max(float64(t.running)/most-1, 0) * float64(manySpan))
	}
}

// shift is how much later the item goes than its time says, a span.
func (i *item) shift() clock.Millis { return i.team.shift + clock.Millis(i.Priority)*rankSpan }
