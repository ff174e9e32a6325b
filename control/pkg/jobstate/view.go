package jobstate

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/control/pkg/segment"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// LeaseView is one live lease as the leader watches it.
type LeaseView struct {
	Number      uint64
	Sidecar     string
	Incarnation uint64
	Granted     clock.Millis
}

// Decided is one decided item: where its body and its result stand.
type Decided struct {
	Index  uint64
	Body   segment.Ref
	Result segment.Ref
}

// Job returns a job's status; an empty team means any.
func (s *State) Job(team, id string) (*toucanhingev1.JobStatus, error) {
	j := s.jobs[id]
	if j == nil || (team != "" && team != j.header.GetTeam()) {
		return nil, ErrNoJob
	}
	return j.status(), nil
}

// Jobs returns the status of all jobs of a team, or of all teams, by id.
func (s *State) Jobs(team string) []*toucanhingev1.JobStatus {
	var list []*toucanhingev1.JobStatus
	for _, id := range sortedKeys(s.jobs) {
		if j := s.jobs[id]; team == "" || team == j.header.GetTeam() {
			list = append(list, j.status())
		}
	}
	return list
}

// Page is a part of a job's decided items.
type Page struct {
	Decided []Decided
	// Next is the index to go on from; it equals the asked one at the end.
	Next uint64
	// Index, if not 0, is the record that holds the places instead of Decided.
	Index segment.Ref
}

// Results returns the decided items among the next few of a job from an index on.
func (s *State) Results(team, id string, from uint64) (Page, error) {
	j := s.jobs[id]
	if j == nil || (team != "" && team != j.header.GetTeam()) {
		return Page{}, ErrNoJob
	}
	page := Page{Next: max(from, min(nextPage(from), uint64(j.count)))}
	if from >= uint64(j.count) {
		return page, nil
	}
	if j.sealed != nil {
		page.Index = j.sealed.index[from/pageItems]
		return page, nil
	}
	for n := from; n < page.Next; n++ {
		if i := &j.items[n]; i.decided() {
			page.Decided = append(page.Decided, Decided{Index: n, Body: i.body, Result: segment.Ref(i.holder)})
		}
	}
	return page, nil
}

func nextPage(from uint64) uint64 {
	return (from/pageItems + 1) * pageItems
}

// Leases returns all live leases, in order of their numbers.
func (s *State) Leases() []LeaseView {
	list := make([]LeaseView, 0, len(s.leases))
	for _, number := range s.leaseNumbers() {
		l := s.leases[number]
		list = append(list, LeaseView{Number: number, Sidecar: l.sidecar, Incarnation: l.incarnation, Granted: l.granted})
	}
	return list
}

// Live says whether a lease still holds.
func (s *State) Live(number uint64) bool {
	return s.leases[number] != nil
}

// HasWaitingItems says whether a service has anything to lease, so that an idle
// sidecar's question costs no entry in the log.
func (s *State) HasWaitingItems(name string) bool {
	v := s.services[name]
	if v == nil {
		return false
	}
	if len(v.suspects) > 0 {
		return true
	}
	for _, d := range v.teams {
		if len(d.jobs) > 0 {
			return true
		}
	}
	return false
}

// Totals is how much the state holds now.
type Totals struct {
	Jobs, Items, Leases, Uploads int
}

// Totals counts what is held.
func (s *State) Totals() Totals {
	t := Totals{Jobs: len(s.jobs), Leases: len(s.leases), Uploads: len(s.uploads)}
	for _, j := range s.jobs {
		t.Items += int(j.count)
	}
	return t
}

// Counts returns what happened since the process started.
func (s *State) Counts() Counts {
	return s.counts
}

// Now is the newest time that a command carried.
func (s *State) Now() clock.Millis {
	return s.now
}
