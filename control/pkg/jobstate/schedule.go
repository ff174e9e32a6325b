package jobstate

import (
	"cmp"
	"slices"

	"toucanhinge.example/common/pkg/clock"
)

// Constants of job selection. Teams share a service by stride scheduling.
const (
	// passUnit is the amount by which one item advances the pass of a team of weight 1.
	passUnit = 1 << 20
	// urgentSlack is the slack below which a job is urgent: the time between the
	// job's estimated end, at the service's current rate, and its deadline. An
	// urgent job increases its team's share.
	urgentSlack = clock.Millis(60_000)
	// urgentBoost is the factor by which an urgent job multiplies its team's weight.
	// It is bounded, so that a team can't get the whole fleet by setting early
	// deadlines on all its jobs.
	urgentBoost = 4
	// rateWindow is the window in which decided items are counted to measure the rate.
	rateWindow = clock.Millis(10_000)
	// suspectMaxWait is how long a suspect waits for an idle sidecar before a busy
	// sidecar is drained for it.
	suspectMaxWait = clock.Millis(5_000)
	// drainDivisor limits the sidecars that drain at the same time: at most one
	// plus a fourth of the sidecars that hold leases.
	drainDivisor = 4
)

// suspect is an item that has to run alone because it may crash engines.
type suspect struct {
	job   *job
	index uint32
	since clock.Millis
}

// service holds the waiting jobs and suspects of one service.
type service struct {
	name  string
	teams []*teamQueue
	// globalPass is the pass of the team served last. A team that was idle starts
	// from it, so that it gets no extra share for the time when it had no items.
	globalPass uint64
	suspects   []suspect
	// draining lists the sidecars that get no items until they hold none.
	draining []string
	// window is the start of the current rate window, decided the number of items
	// decided in it, and rate the number decided in the previous window.
	window  clock.Millis
	decided uint64
	rate    uint64
}

// teamQueue is one team's jobs with waiting items, earliest deadline first.
type teamQueue struct {
	name   string
	weight uint32
	pass   uint64
	jobs   []*job
}

func (s *State) service(name string) *service {
	v := s.services[name]
	if v == nil {
		v = &service{name: name}
		s.services[name] = v
	}
	return v
}

func (v *service) team(name string) *teamQueue {
	at, found := slices.BinarySearchFunc(v.teams, name, func(q *teamQueue, name string) int { return cmp.Compare(q.name, name) })
	if !found {
		v.teams = slices.Insert(v.teams, at, &teamQueue{name: name, weight: 1})
	}
	return v.teams[at]
}

// compareJobs orders jobs by deadline, jobs without one last, then by acceptance time.
func compareJobs(a, b *job) int {
	return cmp.Or(
		cmp.Compare(uint64(a.header.GetDeadlineMs()-1), uint64(b.header.GetDeadlineMs()-1)),
		cmp.Compare(a.accepted, b.accepted),
		cmp.Compare(a.id, b.id),
	)
}

// enqueueJob adds a running job with waiting items to its team's queue.
func (s *State) enqueueJob(j *job) {
	if j.queued || !j.running() || j.waiting() == 0 {
		return
	}
	v := s.service(j.header.GetService())
	q := v.team(j.header.GetTeam())
	if len(q.jobs) == 0 {
		q.pass = max(q.pass, v.globalPass)
	}
	at, _ := slices.BinarySearchFunc(q.jobs, j, compareJobs)
	q.jobs = slices.Insert(q.jobs, at, j)
	j.queued = true
}

func (s *State) dequeueJob(j *job) {
	if !j.queued {
		return
	}
	q := s.service(j.header.GetService()).team(j.header.GetTeam())
	at, _ := slices.BinarySearchFunc(q.jobs, j, compareJobs)
	q.jobs = slices.Delete(q.jobs, at, at+1)
	j.queued = false
}

// pickJob selects the next job, between teams by weighted shares and within a team
// by deadline. It returns nil if no items wait.
func (v *service) pickJob(excluded []string) (*teamQueue, *job) {
	var best *teamQueue
	for _, q := range v.teams {
		if len(q.jobs) == 0 || slices.Contains(excluded, q.name) {
			continue
		}
		if best == nil || q.pass < best.pass {
			best = q
		}
	}
	if best == nil {
		return nil, nil
	}
	return best, best.jobs[0]
}

// charge advances a team's pass by the cost of the items leased to it.
func (v *service) charge(q *teamQueue, j *job, items int, now clock.Millis) {
	weight := uint64(q.weight)
	if v.urgent(j, now) {
		weight *= urgentBoost
	}
	v.globalPass = max(v.globalPass, q.pass)
	q.pass += uint64(items) * passUnit / weight
}

// urgent reports whether a job's deadline is still ahead, but leaves less than
// urgentSlack at the current rate.
func (v *service) urgent(j *job, now clock.Millis) bool {
	deadline := clock.Millis(j.header.GetDeadlineMs())
	if deadline == 0 || deadline < now || v.rate == 0 {
		return false
	}
	needed := clock.Millis(uint64(j.waiting()) * uint64(rateWindow) / v.rate)
	return deadline-now-needed < urgentSlack
}

// countDecided counts a decided item and updates the rate at the end of a window.
func (v *service) countDecided(now clock.Millis) {
	if now >= v.window+rateWindow {
		v.rate = v.decided
		if now >= v.window+2*rateWindow {
			v.rate = 0
		}
		v.window = now - now%rateWindow
		v.decided = 0
	}
	v.decided++
}

func (v *service) removeSuspects(j *job) {
	v.suspects = slices.DeleteFunc(v.suspects, func(p suspect) bool { return p.job == j })
	if len(v.suspects) == 0 {
		v.draining = nil
	}
}

// grantKind is the kind of lease that a sidecar gets for a request.
type grantKind int

const (
	grantShared grantKind = iota
	grantAlone
	grantNothing
)

// chooseGrant decides whether a sidecar gets items that run side by side, one
// suspect that runs alone, or nothing.
//
// A suspect was lost together with other items, one of which crashes engines. If a
// suspect ran beside other items again, these would be lost and suspected as well, and
// in the end items that cause no crash would fail. So a suspect is leased only to a sidecar
// that holds no lease, and this sidecar gets nothing else until the suspect's lease
// ends: an engine lost during that time was crashed by the suspect.
func (s *State) chooseGrant(v *service, sidecar string, excluded []string) grantKind {
	held := s.sidecars[sidecar]
	if held != nil && held.alone {
		return grantNothing
	}
	next := v.nextSuspect(excluded)
	if next < 0 {
		return grantShared
	}
	if held == nil {
		return grantAlone
	}
	if slices.Contains(v.draining, sidecar) {
		return grantNothing
	}
	waited := s.now - v.suspects[next].since
	if waited < suspectMaxWait || len(v.draining) >= 1+len(s.sidecars)/drainDivisor {
		return grantShared
	}
	v.draining = append(v.draining, sidecar)
	return grantNothing
}

func (v *service) nextSuspect(excluded []string) int {
	return slices.IndexFunc(v.suspects, func(p suspect) bool {
		return !slices.Contains(excluded, p.job.header.GetTeam())
	})
}

func (v *service) stopDraining(sidecar string) {
	v.draining = slices.DeleteFunc(v.draining, func(name string) bool { return name == sidecar })
}
