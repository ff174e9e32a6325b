package systemstate

import (
	"net/url"
	"strings"

	"toucanhinge.example/common/pkg/routing"
)

// EndOutcome is what became of the end of a job.
type EndOutcome struct {
	Found bool
	// Denied says that the caller's key isn't any team's.
	Denied bool
}

// JobName is a job's name in the core. Each team has its own names: a team that sends a job
// under the name of another team's gets its own job, and can't learn that the other exists.
func JobName(team, id string) string {
	if team == "" && !strings.Contains(id, "/") {
		return id
	}
	return url.PathEscape(team) + "/" + id
}

// Find looks a caller's job up. A job of another team isn't found, as if there were none;
// admitted is false if the caller's key isn't any team's. A job that no team handed in is
// everybody's, and so are all while the table in force knows no teams.
func (s *State) Find(key []byte, id string) (j *Job, admitted bool) {
	if s.table == nil || !s.table.Keyed() {
		return s.findAny(id), true
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

// findAny looks a job up whoever handed it in, the oldest one of that name.
func (s *State) findAny(id string) *Job {
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

// teamOn names the team for which a job is handed in on a route, and says whether the key
// allows it.
func (s *State) teamOn(route routing.Route, found bool, key []byte) (team string, allowed bool) {
	if s.table == nil || !s.table.Keyed() {
		return "", true
	}
	holder, known := s.table.TeamOf(key)
	return holder.GetName(), known || found && route.GetOpen()
}

// Priority is the priority of a job's items, 0 for the most urgent: its team's, or its route's.
func (s *State) Priority(j *Job, route routing.Route) uint32 {
	for _, t := range s.table.Teams() {
		if t.GetName() == j.Team {
			return routing.Team{Team: t}.PriorityOn(route)
		}
	}
	return route.GetPriority()
}

// TeamBacklog counts a team's open jobs, and the tokens of their unfinished items.
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
