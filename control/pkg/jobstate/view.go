package jobstate

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/control/pkg/segment"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// LeaseView is the part of a live lease that the leader needs to track its expiry.
type LeaseView struct {
	Number      uint64
	Sidecar     string
	Incarnation uint64
	Granted     clock.Millis
	// Alone reports that the lease holds an item that runs alone.
	Alone bool
}

// Decided refers to the body and the result of one decided item.
type Decided struct {
	Index  uint64
	Body   segment.Ref
	Result segment.Ref
}

// Job returns the status of a job; an empty team matches any team.
func (s *State) Job(team, id string) (*toucanhingev1.JobStatus, error) {
	j := s.jobs[id]
	if j == nil || (team != "" && team != j.header.GetTeam()) {
		return nil, ErrNoJob
	}
	return j.status(), nil
}

// Jobs returns the status of a team's jobs, ordered by id; an empty team matches any
// team.
func (s *State) Jobs(team string) []*toucanhingev1.JobStatus {
	var list []*toucanhingev1.JobStatus
	for _, id := range sortedKeys(s.jobs) {
		if j := s.jobs[id]; team == "" || team == j.header.GetTeam() {
			list = append(list, j.status())
		}
	}
	return list
}

// Page is one page of a job's decided items.
type Page struct {
	Decided []Decided
	// Next is the index at which the next page starts. At the end of the job it
	// equals the requested index.
	Next uint64
	// Index, if not 0, refers to the record that holds the page instead of Decided.
	Index segment.Ref
}

// Results returns the decided items of a job in the page that contains the index
// from, starting at that index.
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
			page.Decided = append(page.Decided, Decided{Index: n, Body: i.body, Result: segment.Ref(i.leaseOrResult)})
		}
	}
	return page, nil
}

func nextPage(from uint64) uint64 {
	return (from/pageItems + 1) * pageItems
}

// Leases returns all live leases, ordered by number.
func (s *State) Leases() []LeaseView {
	list := make([]LeaseView, 0, len(s.leases))
	for _, number := range s.leaseNumbers() {
		l := s.leases[number]
		list = append(list, LeaseView{Number: number, Sidecar: l.sidecar, Incarnation: l.incarnation, Granted: l.granted, Alone: l.alone})
	}
	return list
}

// Live reports whether a lease is live.
func (s *State) Live(number uint64) bool {
	return s.leases[number] != nil
}

// HasWaitingItems reports whether a service has items to lease. The leader checks it
// first, so that the requests of idle sidecars add no log entries.
func (s *State) HasWaitingItems(name string) bool {
	v := s.services[name]
	if v == nil {
		return false
	}
	if len(v.suspects) > 0 {
		return true
	}
	for _, q := range v.teams {
		if len(q.jobs) > 0 {
			return true
		}
	}
	return false
}

// Totals holds the sizes of the current state.
type Totals struct {
	Jobs, Items, Leases, Uploads int
}

// Totals returns the sizes of the current state.
func (s *State) Totals() Totals {
	t := Totals{Jobs: len(s.jobs), Leases: len(s.leases), Uploads: len(s.uploads)}
	for _, j := range s.jobs {
		t.Items += int(j.count)
	}
	return t
}

// Counts returns the event counters since the process started.
func (s *State) Counts() Counts {
	return s.counts
}

// Now returns the latest time that a command carried.
func (s *State) Now() clock.Millis {
	return s.now
}
