package jobstate

import (
	"fmt"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/control/pkg/segment"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Leased is one leased item.
type Leased struct {
	Job      string
	Index    uint32
	Lease    uint64
	Attempt  uint32
	Deadline clock.Millis
	Team     string
	Body     segment.Ref
	Alone    bool
}

// LeaseResult holds the items leased to a sidecar.
type LeaseResult struct {
	Items []Leased
	// Waiting reports that items wait, but that this sidecar can't have them now.
	Waiting bool
}

// ExpireResult holds the number of leases that the step ended.
type ExpireResult struct {
	Ended int
}

// lease leases items to a sidecar, with one new lease per job.
func (s *State) lease(step *toucanhingev1.LeaseStep) any {
	request := step.GetRequest()
	v := s.services[request.GetService()]
	if v == nil {
		return LeaseResult{}
	}
	switch s.chooseGrant(v, request.GetSidecar(), step.GetExcluded()) {
	case grantNothing:
		return LeaseResult{Waiting: true}
	case grantAlone:
		return LeaseResult{Items: s.leaseSuspect(v, request, step.GetExcluded())}
	default:
		return LeaseResult{Items: s.leaseShared(v, request, step.GetExcluded())}
	}
}

func (s *State) leaseShared(v *service, request *toucanhingev1.LeaseRequest, excluded []string) []Leased {
	var leased []Leased
	for left := int(request.GetMost()); left > 0; left = int(request.GetMost()) - len(leased) {
		q, j := v.pickJob(excluded)
		if j == nil {
			break
		}
		l := s.grant(j, request, j.dequeueItems(left))
		v.charge(q, j, len(l.items), s.now)
		if j.waiting() == 0 {
			s.dequeueJob(j)
		}
		leased = s.appendLeased(leased, l)
	}
	return leased
}

func (s *State) leaseSuspect(v *service, request *toucanhingev1.LeaseRequest, excluded []string) []Leased {
	at := v.nextSuspect(excluded)
	p := v.suspects[at]
	v.suspects = slices.Delete(v.suspects, at, at+1)
	v.stopDraining(request.GetSidecar())
	if len(v.suspects) == 0 {
		v.draining = nil
	}
	l := s.grant(p.job, request, []uint32{p.index})
	l.alone = true
	s.sidecars[l.sidecar].alone = true
	return s.appendLeased(nil, l)
}

// dequeueItems removes up to limit waiting items, returned items first.
func (j *job) dequeueItems(limit int) []uint32 {
	count := min(limit, j.waiting())
	requeued := min(count, len(j.returned))
	items := slices.Clone(j.returned[:requeued])
	j.returned = slices.Delete(j.returned, 0, requeued)
	for len(items) < count {
		items = append(items, j.cursor)
		j.cursor++
	}
	return items
}

func (s *State) grant(j *job, request *toucanhingev1.LeaseRequest, items []uint32) *lease {
	s.lastLease++
	l := &lease{
		number: s.lastLease, job: j, items: items, undecided: len(items),
		sidecar: request.GetSidecar(), incarnation: request.GetIncarnation(), granted: s.now,
	}
	s.leases[l.number] = l
	s.trackLease(l)
	j.leased += uint32(len(items))
	for _, index := range items {
		j.items[index].state = itemLeased
		j.items[index].leaseOrResult = l.number
	}
	s.counts.Leased += uint64(len(items))
	return l
}

func (s *State) appendLeased(leased []Leased, l *lease) []Leased {
	for _, index := range l.items {
		i := &l.job.items[index]
		leased = append(leased, Leased{
			Job: l.job.id, Index: index, Lease: l.number, Attempt: uint32(i.attempts) + 1,
			Deadline: clock.Millis(l.job.header.GetDeadlineMs()), Team: l.job.header.GetTeam(),
			Body: i.body, Alone: l.alone,
		})
	}
	return leased
}

func (s *State) trackLease(l *lease) {
	h := s.sidecars[l.sidecar]
	if h == nil {
		h = &sidecarLeases{}
		s.sidecars[l.sidecar] = h
	}
	h.count++
	h.alone = l.alone
}

func (s *State) endLease(l *lease) {
	delete(s.leases, l.number)
	h := s.sidecars[l.sidecar]
	h.count--
	if h.count == 0 {
		delete(s.sidecars, l.sidecar)
	}
}

// expire ends leases. The leader tracks the time and logs the expiry, so that
// every replica refuses the same late results.
func (s *State) expire(step *toucanhingev1.ExpireStep) any {
	ended := 0
	for _, number := range step.GetLeases() {
		l := s.leases[number]
		if l == nil {
			continue
		}
		ended++
		s.counts.LeasesLost++
		s.dropLease(l, step.GetCause())
	}
	return ExpireResult{Ended: ended}
}

func (s *State) dropLease(l *lease, cause toucanhingev1.ExpiryCause) {
	v := s.service(l.job.header.GetService())
	s.endLease(l)
	v.stopDraining(l.sidecar)
	for _, index := range l.items {
		i := &l.job.items[index]
		if i.state != itemLeased || i.leaseOrResult != l.number {
			continue
		}
		l.job.leased--
		if cause == toucanhingev1.ExpiryCause_EXPIRY_CAUSE_UNKNOWN_TO_HOLDER {
			s.requeueItem(l.job, index)
			continue
		}
		s.recordEngineLoss(l, index, fmt.Sprintf("lost with sidecar %s", l.sidecar))
	}
}

// recordEngineLoss records the loss of an engine for an item that was running on it.
// An item that ran alone caused the loss and uses up an attempt. An item that ran
// beside others uses up none, but runs alone from then on. So items that shared an
// engine with a poison item keep their attempts, and the poison item still reaches
// its limit.
func (s *State) recordEngineLoss(l *lease, index uint32, reason string) {
	i := &l.job.items[index]
	if !l.alone {
		i.suspect = true
		s.requeueItem(l.job, index)
		return
	}
	i.attempts++
	if i.attempts >= l.job.maxAttempts {
		s.fail(l.job, index, fmt.Sprintf("%s while run alone, attempt %d of %d", reason, i.attempts, l.job.maxAttempts))
		return
	}
	s.requeueItem(l.job, index)
}

// requeueItem puts an item back into the wait queue, or among the suspects.
func (s *State) requeueItem(j *job, index uint32) {
	i := &j.items[index]
	i.state = itemPending
	i.leaseOrResult = 0
	if !i.suspect {
		j.returned = append(j.returned, index)
		s.enqueueJob(j)
		return
	}
	s.counts.Suspects++
	v := s.service(j.header.GetService())
	v.suspects = append(v.suspects, suspect{job: j, index: index, since: s.now})
}
