package batchrun

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/control/pkg/systemstate"
)

const (
	// routeGrace is how long a job's route may be missing before its items are
	// given up: an operator's next change may bring it back.
	routeGrace clock.Millis = 5_000
	// routesEvery is how often it is looked for jobs whose route is gone.
	routesEvery clock.Millis = 500
)

// routes remembers where the items of each job may run, until the routing table changes:
// with hundreds of open jobs, matching all of them in each decision cost more than the
// decision.
type routes struct {
	machine *systemstate.Machine
	version uint64
	byJob   map[string][]string
	// lost is since when the route of a job is missing.
	lost     map[string]clock.Millis
	lookedAt clock.Millis
}

func newRoutes(machine *systemstate.Machine) *routes {
	return &routes{machine: machine, byJob: map[string][]string{}, lost: map[string]clock.Millis{}}
}

// refresh forgets what an earlier table said.
func (r *routes) refresh() {
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

// services lists where the items of a job may run; none if its route is gone.
func (r *routes) services(job string) []string {
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

// gone lists the jobs whose route has been missing for too long, with the number of their
// items.
func (r *routes) gone(now clock.Millis, jobs func() []string) map[string]int {
	if now-r.lookedAt < routesEvery {
		return nil
	}
	r.lookedAt = now
	open := jobs()
	gone := map[string]int{}
	known := make(map[string][]string, len(open))
	for _, job := range open {
		if services, found := r.byJob[job]; found {
			known[job] = services
		}
	}
	// Jobs that have ended are forgotten.
	r.byJob = known
	r.machine.View(func(s *systemstate.State) {
		for _, job := range open {
			j := s.Job(job)
			if j == nil {
				continue
			}
			if _, found := s.Route(j); found || s.Table() == nil {
				delete(r.lost, job)
				continue
			}
			if r.lost[job] == 0 {
				r.lost[job] = now
			}
			if now-r.lost[job] >= routeGrace {
				gone[job] = len(j.Items)
				delete(r.lost, job)
			}
		}
	})
	return gone
}
