package routing

import (
	"fmt"
	"math"

	"toucanhinge.example/common/pkg/apikey"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Team is a customer whose callers identify themselves with one of its keys.
type Team struct {
	*toucanhingev1.Team
}

// Limited reports whether the team has a request limit.
func (t Team) Limited() bool { return t.GetRate() > 0 }

// PriorityOn returns the priority of the team's requests on a route, 0 for the most urgent. A team
// without a priority of its own has that of the route.
func (t Team) PriorityOn(r Route) uint32 {
	if t.Team != nil && t.Priority != nil {
		return t.GetPriority()
	}
	return r.GetPriority()
}

// Keyed reports whether requests need a key of a team, except on open routes.
func (t *Table) Keyed() bool { return t.wire.GetKeyed() }

// TeamOf returns the team that a key belongs to.
func (t *Table) TeamOf(key []byte) (Team, bool) {
	hash, ok := apikey.Parse(key)
	if !ok {
		return Team{}, false
	}
	team, found := t.byKey[hash]
	return team, found
}

// Weight returns the weight of a team in the division of slots, at least 0. An unknown or empty name, as of callers
// without a team, has the mean weight.
func (t *Table) Weight(team string) float64 { return t.weights.of(team) }

// Weighted reports whether any team has a weight of its own or a request limit to derive one from.
func (t *Table) Weighted() bool { return len(t.weights.byTeam) > 0 }

// Teams returns all teams in the operator's order.
func (t *Table) Teams() []*toucanhingev1.Team { return t.wire.GetTeams() }

// Admits reports whether a caller with the given key, or without one, may send requests, and returns
// its team. The team is empty on a table without teams, and for a caller without a key, which may
// still submit jobs on open routes.
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

// addTeams builds the index of keys, computes the weights and records whether there are open routes for jobs.
func (t *Table) addTeams() {
	for _, wire := range t.wire.GetTeams() {
		for _, key := range wire.GetKeys() {
			if hash, ok := apikey.Parse(key); ok {
				t.byKey[hash] = Team{wire}
			}
		}
	}
	t.weights = newTeamWeights(t.wire.GetTeams())
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
		if !isValidLimit(team.GetRate()) || !isValidLimit(team.GetBurst()) {
			return fmt.Errorf("%w: the rate or the burst of team %q is negative or endless", ErrInvalid, team.GetName())
		}
		if !isValidLimit(team.GetWeight()) {
			return fmt.Errorf("%w: the weight of team %q is negative or not finite", ErrInvalid, team.GetName())
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

func isValidLimit(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }
