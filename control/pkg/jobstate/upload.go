package jobstate

import (
	"bytes"
	"slices"

	"github.com/pkg/errors"

	"toucanhinge.example/control/pkg/segment"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Reasons why an upload or a request for a job is refused.
var (
	// ErrConflict is returned if the upload's key already names a job with other items.
	ErrConflict = errors.New("the key already names a job with different items")
	// ErrIncomplete is returned if some items of the accepted upload are missing.
	ErrIncomplete = errors.New("the upload is incomplete or was dropped")
	// ErrNoJob is returned if a job does not exist, belongs to another team, or was
	// dropped by retention.
	ErrNoJob = errors.New("no such job")
)

// StageResult confirms that a chunk is stored.
type StageResult struct{}

// AcceptResult holds a job's state after its accept step.
type AcceptResult struct {
	Status *toucanhingev1.JobStatus
	Resend bool
	Err    error
}

// CancelResult holds a job's state after its cancellation.
type CancelResult struct {
	Status *toucanhingev1.JobStatus
	Err    error
}

// stage stores a chunk, which stays invisible until its upload is accepted. A chunk
// that arrives twice, because the outcome of its proposal was unknown, counts once.
func (s *State) stage(step *toucanhingev1.StageStep) any {
	u := s.uploads[step.GetUpload()]
	if u == nil {
		u = &upload{chunks: map[uint64][]segment.Ref{}}
		s.uploads[step.GetUpload()] = u
	}
	u.lastChunk = s.now
	if _, known := u.chunks[step.GetFirst()]; known {
		return StageResult{}
	}
	refs := make([]segment.Ref, 0, len(step.GetItems()))
	for _, payload := range step.GetItems() {
		refs = append(refs, s.config.AppendItem(payload))
	}
	u.chunks[step.GetFirst()] = refs
	return StageResult{}
}

// accept creates a job from an upload. A key names one job for as long as the job
// is retained: a client that did not get the answer uploads the job again, and must
// get the state of the first job instead of a second job.
func (s *State) accept(step *toucanhingev1.AcceptStep) any {
	if j := s.jobs[step.GetId()]; j != nil {
		s.dropUpload(step.GetUpload())
		if !bytes.Equal(j.digest, step.GetDigest()) {
			s.counts.Conflicting++
			return AcceptResult{Status: j.status(), Err: ErrConflict}
		}
		s.counts.Resent++
		return AcceptResult{Status: j.status(), Resend: true}
	}
	u := s.uploads[step.GetUpload()]
	if u == nil {
		return AcceptResult{Err: ErrIncomplete}
	}
	items, complete := u.assemble(step.GetCount())
	if !complete {
		return AcceptResult{Err: ErrIncomplete}
	}
	delete(s.uploads, step.GetUpload())
	j := &job{
		id: step.GetId(), header: step.GetHeader(), digest: step.GetDigest(),
		state: toucanhingev1.JobState_JOB_STATE_ACCEPTED, accepted: s.now,
		maxAttempts: attemptLimit(step.GetAttempts()), items: items, count: uint32(len(items)),
	}
	s.jobs[j.id] = j
	s.counts.Accepted++
	s.service(j.header.GetService()).team(j.header.GetTeam()).weight = max(step.GetWeight(), 1)
	s.enqueueJob(j)
	return AcceptResult{Status: j.status()}
}

func attemptLimit(requested uint32) uint8 {
	if requested == 0 {
		return DefaultAttempts
	}
	return uint8(min(requested, 255))
}

func (u *upload) assemble(count uint64) ([]item, bool) {
	items := make([]item, 0, count)
	for uint64(len(items)) < count {
		chunk, found := u.chunks[uint64(len(items))]
		if !found || len(chunk) == 0 {
			return nil, false
		}
		for _, body := range chunk {
			items = append(items, item{body: body})
		}
	}
	return items, count > 0 && uint64(len(items)) == count
}

func (s *State) dropUpload(id string) {
	u := s.uploads[id]
	if u == nil {
		return
	}
	for _, first := range u.chunkStarts() {
		for _, ref := range u.chunks[first] {
			s.config.ReleaseItems(ref.File(), 1)
		}
	}
	delete(s.uploads, id)
}

func (u *upload) chunkStarts() []uint64 {
	firsts := make([]uint64, 0, len(u.chunks))
	for first := range u.chunks {
		firsts = append(firsts, first)
	}
	slices.Sort(firsts)
	return firsts
}

// cancel ends a job: its items are not leased again, and results that arrive later
// are refused. Results decided before stay readable.
func (s *State) cancel(request *toucanhingev1.CancelJobRequest) any {
	j := s.jobs[request.GetId()]
	if j == nil || (request.GetTeam() != "" && request.GetTeam() != j.header.GetTeam()) {
		return CancelResult{Err: ErrNoJob}
	}
	if !j.running() {
		return CancelResult{Status: j.status()}
	}
	j.state = toucanhingev1.JobState_JOB_STATE_CANCELLED
	j.ended = s.now
	j.leased = 0
	s.dequeueJob(j)
	for _, number := range s.leaseNumbers() {
		if l := s.leases[number]; l.job == j {
			s.endLease(l)
		}
	}
	s.service(j.header.GetService()).removeSuspects(j)
	return CancelResult{Status: j.status()}
}

func (s *State) leaseNumbers() []uint64 {
	numbers := make([]uint64, 0, len(s.leases))
	for number := range s.leases {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}
