package consensus

import "toucanhinge.example/common/pkg/clock"

// Config sets up a machine..
type Config struct {
	Name     string
	Identity string
	// HeartbeatInterval is the leader's interval between heartbeats.
	HeartbeatInterval clock.Millis
	// ElectionTimeout is the least silence before an election. The greatest is
	// just under twice as much.
	ElectionTimeout clock.Millis
	// MaxFirstElectionDelay is the greatest time after a start at which a replica that was
	// a member before asks for the first time whether it could win an election. If
	// a leader is at work, the others say no and nothing happens; if all have lost
	// power, the one that completes a majority needn't wait for a timeout.
	MaxFirstElectionDelay clock.Millis
	// Jitter returns a number from 0 to below n.
	Jitter func(n clock.Millis) clock.Millis
	// MaxBatchBytes bounds the entries of one append.
	MaxBatchBytes int
	// MaxInflight bounds the entries sent to a member and not yet answered.
	MaxInflight uint64
	// MaxInflightBytes bounds the same by size.
	MaxInflightBytes int
	// MaxUncommittedBytes bounds what the leader takes before it commits.
	MaxUncommittedBytes int
}

// Restored is what a replica found on its disk.
type Restored struct {
	State HardState
	// Base is the entry before the first of Entries; BaseMembers is the
	// membership as of Applied.
	Base    Base
	Entries []Entry
	// Applied is the last entry that the restored state covers.
	Applied        uint64
	AppliedMembers Members
}

const (
	defaultHeartbeat      = 100
	defaultElection       = 400
	defaultFirstElection  = 60
	defaultBatchBytes     = 1 << 20
	defaultInflight       = 4096
	defaultInflightBytes  = 4 << 20
	defaultUncommittedMax = 64 << 20
)

func (c Config) withDefaults() Config {
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = defaultHeartbeat
	}
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = defaultElection
	}
	if c.MaxFirstElectionDelay == 0 {
		c.MaxFirstElectionDelay = defaultFirstElection
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
		c.MaxUncommittedBytes = defaultUncommittedMax
	}
	return c
}
