package consensus

import "toucanhinge.example/common/pkg/clock"

type progressState int

const (
	// probing sends one append and waits for its response.
	probing progressState = iota
	// replicating sends appends without waiting for responses.
	replicating
	// snapshotting waits until a snapshot is installed or has failed.
	snapshotting
)

// progress is the state of another member as the leader knows it.
type progress struct {
	member Member
	state  progressState
	match  uint64
	next   uint64
	paused bool
	// inflightBytes is the size of the entries that are sent and not acknowledged.
	inflightBytes int
	// heartbeatMatch is the match at the last heartbeat.
	heartbeatMatch uint64
	readRound      uint64
	lastContact    clock.Millis
	// responded is set once the member has responded to this leader.
	responded bool
}
