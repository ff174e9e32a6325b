package jobstate

import (
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/control/pkg/segment"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// SweepResult holds the numbers of dropped uploads and jobs.
type SweepResult struct {
	Uploads, Jobs int
}

// sweep drops abandoned uploads and jobs that ended before the retention time.
func (s *State) sweep(step *toucanhingev1.JobSweepStep) any {
	var answer SweepResult
	for _, id := range sortedKeys(s.uploads) {
		if s.uploads[id].lastChunk < clock.Millis(step.GetUploadsBeforeMs()) {
			s.dropUpload(id)
			answer.Uploads++
		}
	}
	for _, id := range sortedKeys(s.jobs) {
		j := s.jobs[id]
		if !j.running() && j.ended < clock.Millis(step.GetJobsBeforeMs()) {
			s.dropJob(j)
			answer.Jobs++
		}
	}
	s.counts.UploadsDropped += uint64(answer.Uploads)
	s.counts.JobsDropped += uint64(answer.Jobs)
	return answer
}

func (s *State) dropJob(j *job) {
	if j.sealed != nil {
		s.releaseSeal(j.sealed)
	}
	for n := range j.items {
		i := &j.items[n]
		s.config.ReleaseItems(i.body.File(), 1)
		if i.decided() {
			s.config.ReleaseResults(segment.Ref(i.leaseOrResult).File(), 1)
		}
	}
	delete(s.jobs, j.id)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
