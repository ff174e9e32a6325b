package dispatch

import (
	"cmp"
	"math"
	"slices"
)

// member is a team with items in a group, while the slots of the group are shared among teams.
type member struct {
	weight         float64
	running, items int
	// first holds the team's waiting items that may start within its share.
	first *topItems
}

// sharesSlots reports whether slots are shared by weight: only while the items that wait can't all
// be in time, since otherwise no team's items make others late.
func (m *Machine) sharesSlots(env Environment) bool {
	return env.Weight != nil && m.overload.active && len(m.teams) > 1
}

// weightOf returns the weight of a team, 1 if it isn't a number of at least 0.
func (e Environment) weightOf(team string) float64 {
	if e.Weight == nil {
		return 1
	}
	if weight := e.Weight(team); weight >= 0 && !math.IsInf(weight, 1) {
		return weight
	}
	return 1
}

// joinMembers divides the slots of each group among the teams that have items in it. The slots are
// the free ones and those that items hold.
func (m *Machine) joinMembers(groups []*group) {
	for _, s := range m.submissions {
		g := s.group
		if g.members == nil {
			g.members = map[*team]*member{}
		}
		if s.member = g.members[s.team]; s.member == nil {
			s.member = &member{weight: s.team.weight}
			g.members[s.team] = s.member
		}
		s.member.items += s.items
		s.member.running += s.running
	}
	for _, g := range groups {
		slots := g.free
		for _, member := range g.members {
			slots += member.running
		}
		level := fairLevel(slots, g.members)
		for _, member := range g.members {
			room := min(member.share(level)-member.running, g.free)
			member.first = newTopItems(max(room, 0))
		}
	}
}

// share returns the number of items that a team may run before it is over its share: at least one,
// but none for a team with weight 0, which gets only the slots that no other team asks for.
func (m *member) share(level float64) int {
	if m.weight == 0 {
		return 0
	}
	// Rounding errors of the level must not add a slot.
	return int(math.Ceil(max(m.weight*level, 1) - 1e-9))
}

// fairLevel returns the level at which the sum of min(items, weight x level) over all teams is the
// number of slots, and the highest level at which a team still gains if there are more slots.
func fairLevel(slots int, members map[*team]*member) float64 {
	var list []*member
	weights := 0.0
	for _, member := range members {
		if member.weight > 0 {
			list = append(list, member)
			weights += member.weight
		}
	}
	slices.SortFunc(list, func(a, b *member) int { return cmp.Compare(float64(a.items)/a.weight, float64(b.items)/b.weight) })
	left, level := float64(slots), 0.0
	for _, member := range list {
		level = float64(member.items) / member.weight
		if level*weights >= left {
			return left / weights
		}
		left -= float64(member.items)
		weights -= member.weight
	}
	return level
}
