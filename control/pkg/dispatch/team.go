package dispatch

import "toucanhinge.example/common/pkg/clock"

const (
	// priorityDelay is how much later an item is ordered for each priority level below the most
	// urgent. The delay is finite, so that no team is starved by more urgent ones.
	priorityDelay clock.Millis = 2_000
	// A team may have shareFactor times its part by weight of the running items, plus baseShare,
	// before its further items are delayed by excessDelay for each multiple of that number. Jobs
	// often arrive as some ten items at a time, which must not cause a delay.
	shareFactor              = 2
	baseShare                = 10
	excessDelay clock.Millis = 20_000
	// weightInterval is how often the weights of all teams are read. Operators change them rarely, and
	// up to 200 decisions a second use those of up to 1,900 teams.
	weightInterval clock.Millis = 500
)

// team is a team with items. A team that submits many times the items of others gets only the slots
// that the others leave free. Otherwise its items, all with the same deadline, would run before
// items that arrive a few seconds later and make all of these late.
type team struct {
	name    string
	items   int
	running int
	// weight is the weight at the last reading, and weighed reports whether there was one.
	weight  float64
	weighed bool
	// delay is how much later the team's items are currently ordered.
	delay clock.Millis
}

// joinTeam returns the team with the given name and counts an item of it.
func (m *Machine) joinTeam(name string) *team {
	t := m.teams[name]
	if t == nil {
		t = &team{name: name}
		m.teams[name] = t
	}
	t.items++
	return t
}

// leaveTeam counts an item of the team as removed.
func (m *Machine) leaveTeam(t *team) {
	t.items--
	if t.items == 0 {
		delete(m.teams, t.name)
	}
}

// updateTeamDelays delays the teams that have many times the running items of others.
func (m *Machine) updateTeamDelays(now clock.Millis, env Environment) {
	weights := m.updateWeights(now, env)
	running := float64(len(m.items) - len(m.waiting))
	for _, t := range m.teams {
		fairShare := baseShare + 0.0
		if weights > 0 {
			fairShare += shareFactor * running * t.weight / weights
		}
		t.delay = clock.Millis(max(float64(t.running)/fairShare-1, 0) * float64(excessDelay))
	}
}

// updateWeights reads the weights that are due and returns the sum of all weights.
func (m *Machine) updateWeights(now clock.Millis, env Environment) float64 {
	due := now < m.weightsReadAt || now-m.weightsReadAt >= weightInterval
	if due {
		m.weightsReadAt = now
	}
	sum := 0.0
	for _, t := range m.teams {
		if due || !t.weighed {
			t.weight, t.weighed = env.weightOf(t.name), true
		}
		sum += t.weight
	}
	return sum
}

// delay returns how much later the item is ordered because of its team and priority.
func (i *item) delay() clock.Millis { return i.team.delay + clock.Millis(i.Priority)*priorityDelay }
