package core

import (
	"context"

	"connectrpc.com/connect"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/control/pkg/systemstate"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// jobMemoryRatio is the part of the process's memory that accepted jobs may take, and jobDiskRatio the part of the disk.
	// The rest of the disk is for the results of these jobs and for the log.
	jobMemoryRatio = 0.25
	jobDiskRatio   = 0.5
	// deletionInterval is the time between two deletions of expired jobs while the storage is full.
	deletionInterval clock.Millis = 1_000
)

// errStorageFull means that the core holds as many jobs as it can. The job wasn't accepted.
var errStorageFull = errors.New("the storage for jobs is full")

// requireRoom returns errStorageFull if there is no room for a new job. A core that accepted it would run out of memory or
// disk, on all VMs at the same time.
func (c *Core) requireRoom(ctx context.Context, job *toucanhingev1.SubmitJobRequest) error {
	if c.hasRoom(job) {
		return nil
	}
	if err := c.deleteExpiredJobs(ctx); err != nil {
		return err
	}
	if c.hasRoom(job) {
		return nil
	}
	c.metrics.jobs.WithLabelValues("storage-full").Inc()
	level.Warn(c.config.Logger).Log(logs.KeyEvent, "job-storage-full", logs.KeyJob, job.GetJob(), "memory-bytes", c.jobMemory(), "stored-bytes", c.machine.StoredBytes())
	return connect.NewError(connect.CodeResourceExhausted, errStorageFull)
}

// deleteExpiredJobs deletes expired jobs, at most once in each deletionInterval: each deletion is an entry of the log.
func (c *Core) deleteExpiredJobs(ctx context.Context) error {
	now := int64(c.config.Clock.Now())
	last := c.expiredDeletedAt.Load()
	if last > 0 && now-last < int64(deletionInterval) || !c.expiredDeletedAt.CompareAndSwap(last, now) {
		return nil
	}
	// Jobs are deleted when another one is submitted; this one has no items and no route.
	if _, err := c.propose(ctx, &toucanhingev1.SystemStep{
		Step: &toucanhingev1.SystemStep_AcceptJob{AcceptJob: &toucanhingev1.AcceptJobStep{Job: &toucanhingev1.SubmitJobRequest{}}},
	}); err != nil {
		return c.callError(err)
	}
	return nil
}

// hasRoom reports whether a job is known already or may be stored.
func (c *Core) hasRoom(job *toucanhingev1.SubmitJobRequest) bool {
	known := false
	c.machine.View(func(s *systemstate.State) {
		j, _ := s.Find(job.GetKey(), job.GetJob())
		known = j != nil
	})
	memoryLimit := int64(jobMemoryRatio * float64(c.config.MemoryLimit))
	diskLimit := int64(jobDiskRatio * float64(c.config.DiskLimit))
	return known || (memoryLimit == 0 || c.jobMemory() < memoryLimit) && (diskLimit == 0 || c.machine.StoredBytes() < diskLimit)
}

// jobMemory returns about how much memory the accepted jobs take, in bytes.
func (c *Core) jobMemory() int64 {
	bytes := int64(0)
	c.machine.View(func(s *systemstate.State) { bytes = s.JobMemory() })
	return bytes
}
