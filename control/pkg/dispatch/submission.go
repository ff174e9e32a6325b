package dispatch

// submissionKey identifies the items of a job that a team submitted.
type submissionKey struct {
	job, team string
}

// submission counts the items of a job that a team submitted. All of them may run on the same
// services.
type submission struct {
	key            submissionKey
	team           *team
	items, running int
	// group is the group of the submission in the present decision, and member its team's part of that
	// group's slots; nil unless they are shared.
	group  *group
	member *member
}

// joinSubmission returns the submission of an item and counts the item.
func (m *Machine) joinSubmission(i Item) *submission {
	key := submissionKey{i.Key.Job, i.Team}
	s := m.submissions[key]
	if s == nil {
		s = &submission{key: key, team: m.joinTeam(i.Team)}
		m.submissions[key] = s
	} else {
		s.team.items++
	}
	s.items++
	return s
}

// leaveSubmission counts an item of the submission as removed.
func (m *Machine) leaveSubmission(s *submission) {
	m.leaveTeam(s.team)
	s.items--
	if s.items == 0 {
		delete(m.submissions, s.key)
	}
}
