package systemstate

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/control/pkg/segment"
)

// jobOverhead and itemOverhead are about the bytes that a job and an item take beside their texts: in the state, in
// checkpoints while they are written, and where the leader schedules them.
const (
	jobOverhead  = 1000
	itemOverhead = 700
)

// Job is an accepted batch job.
type Job struct {
	// Name is the job's unique name in the core, see JobName. ID is the caller's name of the job.
	Name string
	ID   string
	// Team is the team that submitted the job; empty if none did.
	Team     string
	Host     string
	Target   string
	Accepted clock.Millis
	Ended    bool
	Items    []Item
	// Listed holds the indexes of the finished items in the order of their results.
	Listed []uint32
}

// Item is one request of a job.
type Item struct {
	ID     string
	Tokens int64
	// Failures counts the failed attempts.
	Failures uint32
	// Done reports whether the item has a result. Completed reports whether that is a complete
	// text and not a failure.
	Done      bool
	Completed bool
	// Request refers to the record of the JobItem.
	Request segment.Ref
	// Parts refers to the records of the text so far, in order. LastEvent is the number of the
	// last event in them, and Version the software version that wrote them.
	Parts     []segment.Ref
	LastEvent uint64
	Version   string
}

// Open reports whether items of the job may still be run.
func (j *Job) Open() bool { return !j.Ended && len(j.Listed) < len(j.Items) }

// memory returns about how much memory a job takes, in bytes. It is the same throughout the job's life.
func (j *Job) memory() int64 {
	bytes := jobOverhead + len(j.Name) + len(j.ID) + len(j.Team) + len(j.Host) + len(j.Target)
	for i := range j.Items {
		bytes += itemOverhead + len(j.Items[i].ID)
	}
	return int64(bytes)
}
