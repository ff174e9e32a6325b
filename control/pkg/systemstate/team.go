package systemstate

import (
	"net/url"
	"strings"

	"toucanhinge.example/common/pkg/routing"
)

// EndOutcome is the outcome of a request to end a job.
type EndOutcome struct {
	Found bool
	// Denied reports whether the caller's key belongs to no team.
	Denied bool
}

// JobName returns the unique name in the core of a team's job. Each team has its own namespace: a
// team that submits a job under an ID that another team uses gets its own job, and can't find out
// that the other job exists.
func JobName(team, id string) string {
	if team == "" && !strings.Contains(id, "/") {
		return id
	}
	return url.PathEscape(team) + "/" + id
}

// Find returns a caller's job, nil if the job doesn't exist or belongs to another team. admitted is
// false if the caller's key belongs to no team. A job without a team is accessible to all callers,
// and so are all jobs while the active table has no teams.
func (s *State) Find(key []byte, id string) (j *Job, admitted bool) {
	if s.table == nil || !s.table.Keyed() {
		return s.findByID(id), true
	}
	team, admitted := s.table.Admits(key)
	if !admitted {
		return nil, false
	}
	if j := s.jobs[JobName(team.GetName(), id)]; j != nil {
		return j, true
	}
	return s.jobs[JobName("", id)], true
}

// findByID returns the job with an ID regardless of its team: a job without a team if there is one,
// else the oldest job.
func (s *State) findByID(id string) *Job {
	if j := s.jobs[JobName("", id)]; j != nil {
		return j
	}
	var found *Job
	for _, j := range s.jobs {
		if j.ID == id && (found == nil || j.Accepted < found.Accepted || j.Accepted == found.Accepted && j.Name < found.Name) {
			found = j
		}
	}
	return found
}

// authorizeJob returns the team of the key with which a job is submitted on a route, and reports
// whether the job is allowed.
func (s *State) authorizeJob(route routing.Route, found bool, key []byte) (team string, allowed bool) {
	if s.table == nil || !s.table.Keyed() {
		return "", true
	}
	owner, known := s.table.TeamOf(key)
	return owner.GetName(), known || found && route.GetOpen()
}

// Priority returns the priority of a job's items, 0 for the most urgent. It is the priority of the
// job's team on the route or, without a team, that of the route.
func (s *State) Priority(j *Job, route routing.Route) uint32 {
	for _, t := range s.table.Teams() {
		if t.GetName() == j.Team {
			return routing.Team{Team: t}.PriorityOn(route)
		}
	}
	return route.GetPriority()
}

// TeamBacklog returns the number of a team's open jobs and the tokens of their unfinished items.
func (s *State) TeamBacklog(team string) (jobs int, tokens int64) {
	for _, j := range s.jobs {
		if !j.Open() || j.Team != team {
			continue
		}
		jobs++
		for i := range j.Items {
			if !j.Items[i].Done {
				tokens += j.Items[i].Tokens
			}
		}
	}
	return jobs, tokens
}
