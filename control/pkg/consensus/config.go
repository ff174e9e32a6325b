package consensus

import "toucanhinge.example/common/pkg/clock"

// Config configures a Machine.
type Config struct {
	Name     string
	Identity string
	// HeartbeatInterval is the time between two heartbeats of the leader.
	HeartbeatInterval clock.Millis
	// ElectionTimeout is the shortest time without contact to a leader after which a
	// replica starts an election. The random maximum is just under twice as long.
	ElectionTimeout clock.Millis
	// MaxFirstElectionDelay is the longest time after a start at which a replica that was
	// a member before sends its first pre-vote requests. If there is a leader, the other
	// members refuse and nothing changes. If all members lost power, the replica that
	// completes a majority doesn't have to wait for an election timeout.
	MaxFirstElectionDelay clock.Millis
	// Jitter returns a random number in [0, n).
	Jitter func(n clock.Millis) clock.Millis
	// MaxBatchBytes limits the size of the entries in one append message.
	MaxBatchBytes int
	// MaxInflight limits the number of entries sent to a member and not yet acknowledged.
	MaxInflight uint64
	// MaxInflightBytes limits the size of the entries sent to a member and not yet
	// acknowledged.
	MaxInflightBytes int
	// MaxUncommittedBytes limits the size of the uncommitted entries that the leader
	// accepts.
	MaxUncommittedBytes int
}

// Restored is the state that a replica read from its disk at start.
type Restored struct {
	State HardState
	// Base is the entry before the first one of Entries.
	Base    Base
	Entries []Entry
	// Applied is the index of the last entry that the restored state machine covers.
	// AppliedMembers is the membership as of that entry.
	Applied        uint64
	AppliedMembers Members
}

const (
	defaultHeartbeat             = 100
	defaultElection              = 400
	defaultMaxFirstElectionDelay = 60
	defaultBatchBytes            = 1 << 20
	defaultInflight              = 4096
	defaultInflightBytes         = 4 << 20
	defaultMaxUncommittedBytes   = 64 << 20
)

func (c Config) withDefaults() Config {
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = defaultHeartbeat
	}
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = defaultElection
	}
	if c.MaxFirstElectionDelay == 0 {
		c.MaxFirstElectionDelay = defaultMaxFirstElectionDelay
	}
	if c.MaxBatchBytes == 0 {
		c.MaxBatchBytes = defaultBatchBytes
	}
	if c.MaxInflight == 0 {
		c.MaxInflight = defaultInflight
	}
	if c.MaxInflightBytes == 0 {
		c.MaxInflightBytes = defaultInflightBytes
	}
	if c.MaxUncommittedBytes == 0 {
		c.MaxUncommittedBytes = defaultMaxUncommittedBytes
	}
	return c
}
