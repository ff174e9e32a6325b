package routing

import (
	"fmt"
	"math"

	"toucanhinge.example/common/pkg/apikey"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Team is a customer whose callers prove with a key that they belong to it.
type Team struct {
	*toucanhingev1.Team
}

// Limited says whether the team's requests are limited at all.
func (t Team) Limited() bool { return t.GetRate() > 0 }

// PriorityOn is the rank of the team's requests on a route, 0 for the most urgent.
func (t Team) PriorityOn(r Route) uint32 {
	if t.Team != nil && t.Priority != nil {
		return t.GetPriority()
	}
	return r.GetPriority()
}

// Keyed says whether requests need a key of a team, but for those on open routes.
func (t *Table) Keyed() bool { return t.wire.GetKeyed() }

// TeamOf finds the team that holds a key.
func (t *Table) TeamOf(key []byte) (Team, bool) {
	hash, ok := apikey.Parse(key)
	if !ok {
		return Team{}, false
	}
	team, found := t.byKey[hash]
	return team, found
}

// Teams are all teams, in the operator's order.
func (t *Table) Teams() []*toucanhingev1.Team { return t.wire.GetTeams() }

// Admits says whether a caller with that key, or with none, may call at all, and for which
// team: none on a table without teams, nor for a caller without a key, who may still hand in
// jobs on open routes.
func (t *Table) Admits(key []byte) (Team, bool) {
	team, found := t.TeamOf(key)
	switch {
	case !t.Keyed() || found:
		return team, true
	case len(key) == 0:
		return Team{}, t.openJobs
	default:
		return Team{}, false
	}
}

// addTeams makes the teams ready for look-ups.
func (t *Table) addTeams() {
	for _, wire := range t.wire.GetTeams() {
		for _, key := range wire.GetKeys() {
			if hash, ok := apikey.Parse(key); ok {
				t.byKey[hash] = Team{wire}
			}
		}
	}
	for _, r := range t.wire.GetRoutes() {
		if (Route{r}).Batch() && r.GetOpen() {
			t.openJobs = true
		}
	}
}

func validateTeams(wire *toucanhingev1.RoutingTable) error {
	names := map[string]bool{}
	owners := map[apikey.Hash]string{}
	for _, team := range wire.GetTeams() {
		if team.GetName() == "" || names[team.GetName()] {
			return fmt.Errorf("%w: team %q has no name or stands twice", ErrInvalid, team.GetName())
		}
		names[team.GetName()] = true
		if !isLimit(team.GetRate()) || !isLimit(team.GetBurst()) {
			return fmt.Errorf("%w: the rate or the burst of team %q is negative or endless", ErrInvalid, team.GetName())
		}
		for i, key := range team.GetKeys() {
			hash, ok := apikey.Parse(key)
			if !ok {
				return fmt.Errorf("%w: key %d of team %q is empty", ErrInvalid, i, team.GetName())
			}
			if owner, taken := owners[hash]; taken && owner != team.GetName() {
				return fmt.Errorf("%w: teams %q and %q share a key", ErrInvalid, owner, team.GetName())
			}
			owners[hash] = team.GetName()
		}
	}
	if len(wire.GetTeams()) > 0 && !wire.GetKeyed() {
		return fmt.Errorf("%w: there are teams, but no keys are asked for", ErrInvalid)
	}
	return nil
}

func isLimit(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }
