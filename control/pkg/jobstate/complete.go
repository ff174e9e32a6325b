package jobstate

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	jobname "toucanhinge.example/common/pkg/job"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// CompleteResult holds one verdict per completion, in request order.
type CompleteResult struct {
	Verdicts []toucanhingev1.Verdict
}

func (s *State) complete(request *toucanhingev1.CompleteRequest) any {
	answer := CompleteResult{Verdicts: make([]toucanhingev1.Verdict, 0, len(request.GetCompletions()))}
	for _, c := range request.GetCompletions() {
		verdict := s.completeItem(c)
		s.countVerdict(verdict)
		answer.Verdicts = append(answer.Verdicts, verdict)
	}
	return answer
}

func (s *State) countVerdict(verdict toucanhingev1.Verdict) {
	switch verdict {
	case toucanhingev1.Verdict_VERDICT_STALE:
		s.counts.Stale++
	case toucanhingev1.Verdict_VERDICT_DECIDED:
		s.counts.Decided++
	case toucanhingev1.Verdict_VERDICT_CANCELLED:
		s.counts.Cancelled++
	}
}

// completeItem records an outcome only under the item's current lease. A sidecar
// that was suspended may report an item that has been leased to another sidecar
// since; without the check, the item could get two results.
func (s *State) completeItem(c *toucanhingev1.Completion) toucanhingev1.Verdict {
	j := s.jobs[c.GetJob()]
	if j == nil || c.GetIndex() >= uint64(j.count) {
		return toucanhingev1.Verdict_VERDICT_STALE
	}
	if j.sealed != nil {
		return toucanhingev1.Verdict_VERDICT_DECIDED
	}
	i := &j.items[c.GetIndex()]
	if i.decided() {
		return toucanhingev1.Verdict_VERDICT_DECIDED
	}
	if !j.running() {
		return toucanhingev1.Verdict_VERDICT_CANCELLED
	}
	l := s.leases[c.GetLease()]
	if l == nil || i.state != itemLeased || i.leaseOrResult != l.number {
		return toucanhingev1.Verdict_VERDICT_STALE
	}
	if c.GetOutcome() == toucanhingev1.Outcome_OUTCOME_UNSPECIFIED {
		return toucanhingev1.Verdict_VERDICT_STALE
	}
	s.recordOutcome(l, c)
	return toucanhingev1.Verdict_VERDICT_ACCEPTED
}

// recordOutcome applies an outcome that was reported under the item's live lease.
func (s *State) recordOutcome(l *lease, c *toucanhingev1.Completion) {
	index := uint32(c.GetIndex())
	l.job.leased--
	l.undecided--
	if l.undecided == 0 {
		s.endLease(l)
	}
	i := &l.job.items[index]
	switch c.GetOutcome() {
	case toucanhingev1.Outcome_OUTCOME_DONE, toucanhingev1.Outcome_OUTCOME_FAILED:
		i.attempts++
		s.decide(l.job, index, &toucanhingev1.Result{Outcome: c.GetOutcome(), Body: c.GetBody(), Reason: c.GetReason()})
	case toucanhingev1.Outcome_OUTCOME_RETURNED:
		s.counts.Returned++
		s.requeueItem(l.job, index)
	case toucanhingev1.Outcome_OUTCOME_RETRY:
		s.counts.Retried++
		s.recordRetry(l, index, c.GetReason())
	}
}

// recordRetry records a failed attempt. An item fails for good only on an attempt
// that it ran alone: a sidecar that survives its engine may only see broken
// streams, and can't determine which item broke them.
func (s *State) recordRetry(l *lease, index uint32, reason string) {
	i := &l.job.items[index]
	if reason == jobname.ReasonEngineLost {
		s.recordEngineLoss(l, index, reason)
		return
	}
	last := i.attempts+1 >= l.job.maxAttempts
	if last && !l.alone {
		i.suspect = true
		s.requeueItem(l.job, index)
		return
	}
	i.attempts++
	if last {
		s.fail(l.job, index, fmt.Sprintf("attempt %d of %d: %s", i.attempts, l.job.maxAttempts, reason))
		return
	}
	i.suspect = i.suspect || i.attempts+1 >= l.job.maxAttempts
	s.requeueItem(l.job, index)
}

func (s *State) fail(j *job, index uint32, reason string) {
	s.decide(j, index, &toucanhingev1.Result{Outcome: toucanhingev1.Outcome_OUTCOME_FAILED, Reason: reason})
}

// decide writes the item's only result. It seals the job after the last item.
func (s *State) decide(j *job, index uint32, result *toucanhingev1.Result) {
	i := &j.items[index]
	result.Index = uint64(index)
	result.Attempts = uint32(i.attempts)
	payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(result)
	if err != nil {
		// Marshalling fails only if the reason isn't valid UTF-8. The outcome is
		// recorded without the reason.
		payload, _ = proto.Marshal(&toucanhingev1.Result{Index: result.Index, Outcome: result.Outcome, Body: result.Body, Attempts: result.Attempts})
	}
	i.leaseOrResult = uint64(s.config.AppendResult(payload))
	i.state = itemDone
	s.counts.Done++
	j.done++
	if result.GetOutcome() == toucanhingev1.Outcome_OUTCOME_FAILED {
		i.state = itemFailed
		s.counts.Failed++
		s.counts.Done--
		j.done--
		j.failed++
	}
	s.service(j.header.GetService()).countDecided(s.now)
	if j.done+j.failed == j.count {
		j.state = toucanhingev1.JobState_JOB_STATE_FINISHED
		j.ended = s.now
		s.seal(j)
	}
}
