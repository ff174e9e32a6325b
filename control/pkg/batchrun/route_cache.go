package batchrun

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/control/pkg/systemstate"
)

const (
	// routeGracePeriod is how long a job's route may be missing before its items fail: an operator's next
	// change may restore it.
	routeGracePeriod clock.Millis = 5_000
	// routeCheckInterval is how often jobs are checked for missing routes.
	routeCheckInterval clock.Millis = 500
)

// routeCache caches the services of each job until the routing table changes. With hundreds of open jobs,
// matching all of them against the table in each decision cost more than the decision itself.
type routeCache struct {
	machine *systemstate.Machine
	version uint64
	byJob   map[string][]string
	// missingSince holds the time since which the route of a job is missing.
	missingSince map[string]clock.Millis
	checkedAt    clock.Millis
}

func newRouteCache(machine *systemstate.Machine) *routeCache {
	return &routeCache{machine: machine, byJob: map[string][]string{}, missingSince: map[string]clock.Millis{}}
}

// refresh clears the cache if the routing table has changed.
func (r *routeCache) refresh() {
	version := uint64(0)
	r.machine.View(func(s *systemstate.State) {
		if t := s.Table(); t != nil {
			version = t.Version
		}
	})
	if version != r.version {
		r.version = version
		clear(r.byJob)
	}
}

// services returns the services that may run the items of a job, or none if its route is missing.
func (r *routeCache) services(job string) []string {
	services, known := r.byJob[job]
	if known {
		return services
	}
	r.machine.View(func(s *systemstate.State) {
		if j := s.Job(job); j != nil {
			if route, found := s.Route(j); found {
				services = route.Services()
			}
		}
	})
	r.byJob[job] = services
	return services
}

// expired returns the jobs whose route has been missing for routeGracePeriod, with their number of items.
func (r *routeCache) expired(now clock.Millis, jobs func() []string) map[string]int {
	if now-r.checkedAt < routeCheckInterval {
		return nil
	}
	r.checkedAt = now
	open := jobs()
	expired := map[string]int{}
	known := make(map[string][]string, len(open))
	for _, job := range open {
		if services, found := r.byJob[job]; found {
			known[job] = services
		}
	}
	// Ended jobs are dropped from the cache.
	r.byJob = known
	r.machine.View(func(s *systemstate.State) {
		for _, job := range open {
			j := s.Job(job)
			if j == nil {
				continue
			}
			if _, found := s.Route(j); found || s.Table() == nil {
				delete(r.missingSince, job)
				continue
			}
			if r.missingSince[job] == 0 {
				r.missingSince[job] = now
			}
			if now-r.missingSince[job] >= routeGracePeriod {
				expired[job] = len(j.Items)
				delete(r.missingSince, job)
			}
		}
	})
	return expired
}
