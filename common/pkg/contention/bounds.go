package contention

import (
	"cmp"
	"slices"

	"toucanhinge.example/common/pkg/quota"
)

// Bounds of a report, so that a digest stays small and fits into a datagram.
const (
	// MaxServices is the number of services in a report.
	MaxServices = 8
	// MaxTeams is the number of teams that a service lists, excluding the rest.
	MaxTeams = 32
	// MaxWaiting is the number of waiting requests that a service lists.
	MaxWaiting = 16
	// MaxReturning is the number of intervals in which returning callers are counted.
	MaxReturning = 8
)

// WeightFunc returns the weight of a team.
type WeightFunc func(quota.ID) float64

// equalWeight is the WeightFunc for teams without weights.
func equalWeight(quota.ID) float64 { return 1 }

// Bounded returns the report within the bounds. It doesn't change the given report. Services beyond
// the bound are dropped, and so are callers that return after the last interval, since later reports
// count them again.
func (r Report) Bounded(weight WeightFunc) Report {
	var services []Service
	for _, s := range r.Services {
		services = append(services, s.bounded(weight))
	}
	r.Services = mostContended(services)
	return r
}

func (s Service) bounded(weight WeightFunc) Service {
	if len(s.Teams) > MaxTeams {
		sums, top := newTeamSums(weight), newTopTeams(s.Rest)
		sums.add(s.Teams)
		for i := range sums.list {
			top.add(&sums.list[i])
		}
		s.Teams, s.Rest = top.demands(), top.rest
	}
	if !slices.IsSortedFunc(s.Waiting, Waiter.compare) {
		s.Waiting = slices.SortedFunc(slices.Values(s.Waiting), Waiter.compare)
	}
	s.WaitingCount = max(s.WaitingCount, len(s.Waiting))
	s.Waiting = s.Waiting[:min(len(s.Waiting), MaxWaiting)]
	s.Returning = s.Returning[:min(len(s.Returning), MaxReturning)]
	return s
}

// mostContended returns the services within the bound: contended ones first, then those with the
// most demand.
func mostContended(services []Service) []Service {
	if len(services) <= MaxServices {
		return services
	}
	slices.SortFunc(services, func(a, b Service) int {
		if a.Contended != b.Contended {
			if a.Contended {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.demand(), a.demand()), cmp.Compare(a.Name, b.Name))
	})
	return services[:MaxServices]
}

// demand returns the demand of all teams.
func (s Service) demand() int {
	sum := s.Rest.Demand
	for _, d := range s.Teams {
		sum += d.Demand
	}
	return sum
}

func (w Waiter) compare(other Waiter) int {
	switch {
	case w.Before(other):
		return -1
	case other.Before(w):
		return 1
	default:
		return 0
	}
}

// insertBounded inserts an item into a sorted list with at most bound items. If the list is full, it
// drops and returns the last item, which may be the new one.
func insertBounded[T any](list []T, item T, bound int, compare func(a, b T) int) (inserted []T, dropped T, full bool) {
	full = len(list) == bound
	if full && compare(item, list[bound-1]) >= 0 {
		return list, item, true
	}
	if full {
		dropped, list = list[bound-1], list[:bound-1]
	}
	position, _ := slices.BinarySearchFunc(list, item, compare)
	return slices.Insert(list, position, item), dropped, full
}
