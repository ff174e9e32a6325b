// Package group connects the handlers to the consensus groups: it batches concurrent
// steps into log entries and converts the errors of a group to connect errors.
package group

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/control/pkg/fleetstate"
	"toucanhinge.example/control/pkg/jobstate"
	"toucanhinge.example/control/pkg/replica"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Group holds the functions of one consensus group, so that tests can replace them.
type Group struct {
	Number uint32
	// Propose returns the machine's result once the command is synced on a majority.
	Propose func(ctx context.Context, command []byte) (any, error)
	// Read returns once this replica is confirmed as the leader and has applied every
	// entry that was acknowledged before the call.
	Read func(ctx context.Context) error
	// Leader returns the known leader. The name is empty if this replica has lost
	// contact with the leader.
	Leader func() (name, address string, self bool)
	Term   func() uint64
}

// FromReplica returns the Group of a replica.
func FromReplica(number uint32, g *replica.Group) Group {
	return Group{Number: number, Propose: g.Propose, Read: g.Read, Leader: g.Leader, Term: g.Term}
}

// Fleet is group 0, which stores the fleet configuration, with its machine.
type Fleet struct {
	Group
	Machine *fleetstate.Machine
	Steps   *Batcher[*toucanhingev1.FleetStep]
}

// NewFleet returns group 0 with its machine and batcher.
func NewFleet(g Group, machine *fleetstate.Machine, c clock.Clock, refused prometheus.Counter) *Fleet {
	encode := func(at clock.Millis, steps []*toucanhingev1.FleetStep) ([]byte, error) {
		return proto.Marshal(&toucanhingev1.FleetCommand{AtMs: int64(at), Steps: steps})
	}
	steps := NewBatcher(BatcherConfig[*toucanhingev1.FleetStep]{Propose: g.Propose, Encode: encode, Clock: c, Refused: refused})
	return &Fleet{Group: g, Machine: machine, Steps: steps}
}

// Jobs is one job group with its machine.
type Jobs struct {
	Group
	Machine *jobstate.Machine
	Steps   *Batcher[*toucanhingev1.JobStep]
}

// NewJobs returns a job group with its machine and batcher.
func NewJobs(g Group, machine *jobstate.Machine, c clock.Clock, refused prometheus.Counter) *Jobs {
	encode := func(at clock.Millis, steps []*toucanhingev1.JobStep) ([]byte, error) {
		return proto.Marshal(&toucanhingev1.JobCommand{AtMs: int64(at), Steps: steps})
	}
	steps := NewBatcher(BatcherConfig[*toucanhingev1.JobStep]{Propose: g.Propose, Encode: encode, Clock: c, Refused: refused})
	return &Jobs{Group: g, Machine: machine, Steps: steps}
}

// Do proposes one step and returns its result as a value of type R.
func Do[R, S any](ctx context.Context, b *Batcher[S], step S, size int) (R, error) {
	result, err := b.Do(ctx, step, size)
	if err != nil {
		var none R
		return none, err
	}
	typed, fits := result.(R)
	if !fits {
		return typed, errUnexpectedResult
	}
	return typed, nil
}
