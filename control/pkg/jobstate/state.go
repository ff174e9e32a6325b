// Package jobstate holds the state of the batch jobs of one consensus group:
// uploads, leases of items to sidecars, and results. It is a deterministic state
// machine to which every replica applies the same commands. Its only clock is the
// time that the commands carry.
package jobstate

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/control/pkg/segment"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// DefaultAttempts is the attempt limit of an item if its service sets none.
const DefaultAttempts = 3

// itemState is the state of an item.
type itemState uint8

const (
	itemPending itemState = iota
	itemLeased
	itemDone
	itemFailed
)

// item holds one item in 24 bytes. Its body and its result are stored in segments.
type item struct {
	body segment.Ref
	// leaseOrResult is the lease number while the item is leased, and the reference
	// to the result once it is decided.
	leaseOrResult uint64
	state         itemState
	// attempts counts the used attempts: failed ones and the one that decided the item.
	attempts uint8
	// suspect is set if the item may have crashed an engine. It runs alone from then on.
	suspect bool
}

func (i *item) decided() bool {
	return i.state == itemDone || i.state == itemFailed
}

// job is one accepted job.
type job struct {
	id       string
	header   *toucanhingev1.UploadHeader
	digest   []byte
	count    uint32
	state    toucanhingev1.JobState
	accepted clock.Millis
	ended    clock.Millis
	// maxAttempts is the attempt limit of each item.
	maxAttempts uint8
	items       []item
	// sealed replaces items once the job has finished.
	sealed *seal
	// cursor is the first item that was never leased. returned lists items that
	// were leased before and wait again.
	cursor   uint32
	returned []uint32
	leased   uint32
	done     uint32
	failed   uint32
	queued   bool
}

func (j *job) running() bool {
	return j.state == toucanhingev1.JobState_JOB_STATE_ACCEPTED
}

// waiting returns the number of waiting items, suspects excluded.
func (j *job) waiting() int {
	return int(j.count) - int(j.cursor) + len(j.returned)
}

func (j *job) status() *toucanhingev1.JobStatus {
	return &toucanhingev1.JobStatus{
		Id: j.id, Team: j.header.GetTeam(), Key: j.header.GetKey(), Service: j.header.GetService(),
		State: j.state, DeadlineMs: j.header.GetDeadlineMs(),
		AcceptedMs: int64(j.accepted), EndedMs: int64(j.ended),
		Items: uint64(j.count), Leased: uint64(j.leased), Done: uint64(j.done), Failed: uint64(j.failed),
	}
}

// lease is a group of items of one job that are leased to one sidecar.
type lease struct {
	number uint64
	job    *job
	items  []uint32
	// undecided is the number of items without an outcome.
	undecided   int
	sidecar     string
	incarnation uint64
	granted     clock.Millis
	alone       bool
}

// sidecarLeases counts the live leases of one sidecar.
type sidecarLeases struct {
	count int
	// alone is set while the sidecar's only lease is that of a suspect.
	alone bool
}

// upload holds the chunks of a job that is not accepted yet.
type upload struct {
	lastChunk clock.Millis
	chunks    map[uint64][]segment.Ref
}

// Config holds the functions that append and release segment records. They must be
// deterministic: every replica must get the same references.
type Config struct {
	AppendItem     func(payload []byte) segment.Ref
	AppendResult   func(payload []byte) segment.Ref
	AppendIndex    func(payload []byte) segment.Ref
	ReleaseItems   func(file uint32, count uint64)
	ReleaseResults func(file uint32, count uint64)
}

// State holds all jobs of one group.
type State struct {
	config    Config
	now       clock.Millis
	lastLease uint64
	jobs      map[string]*job
	uploads   map[string]*upload
	leases    map[uint64]*lease
	sidecars  map[string]*sidecarLeases
	services  map[string]*service
	counts    Counts
}

// Counts holds event counters since the process started, for metrics. They are not
// part of the replicated state.
type Counts struct {
	Accepted, Resent, Conflicting uint64
	Leased                        uint64
	Done, Failed                  uint64
	Stale, Decided, Cancelled     uint64
	Retried, Returned             uint64
	LeasesLost, Suspects          uint64
	UploadsDropped, JobsDropped   uint64
}

// New returns an empty state.
func New(config Config) *State {
	return &State{
		config:   config,
		jobs:     map[string]*job{},
		uploads:  map[string]*upload{},
		leases:   map[uint64]*lease{},
		sidecars: map[string]*sidecarLeases{},
		services: map[string]*service{},
	}
}

// Step applies one step of a command and returns its typed result.
func (s *State) Step(at clock.Millis, step *toucanhingev1.JobStep) any {
	s.now = max(s.now, at)
	switch t := step.GetStep().(type) {
	case *toucanhingev1.JobStep_Stage:
		return s.stage(t.Stage)
	case *toucanhingev1.JobStep_Accept:
		return s.accept(t.Accept)
	case *toucanhingev1.JobStep_Cancel:
		return s.cancel(t.Cancel)
	case *toucanhingev1.JobStep_Lease:
		return s.lease(t.Lease)
	case *toucanhingev1.JobStep_Complete:
		return s.complete(t.Complete)
	case *toucanhingev1.JobStep_Expire:
		return s.expire(t.Expire)
	case *toucanhingev1.JobStep_Sweep:
		return s.sweep(t.Sweep)
	default:
		return nil
	}
}
