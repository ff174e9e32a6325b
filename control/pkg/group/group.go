// Package group joins the handlers to the consensus groups: it gathers steps
// that arrive at the same time into one log entry, and turns a group's refusals
// into those of the calls.
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

// Group is one consensus group as seen from here; its functions are seams.
type Group struct {
	Number uint32
	// Propose returns what the machine answered, once it is synced on a majority.
	Propose func(ctx context.Context, command []byte) (any, error)
	// Read returns once this replica is known to lead and to hold all that was
	// acknowledged before the call.
	Read func(ctx context.Context) error
	// Leader tells the leader as far as it is known; the name is empty when this
	// replica has lost contact with it.
	Leader func() (name, address string, self bool)
	Term   func() uint64
}

// FromReplica makes the seams of a replica.
func FromReplica(number uint32, g *replica.Group) Group {
	return Group{Number: number, Propose: g.Propose, Read: g.Read, Leader: g.Leader, Term: g.Term}
}

// Fleet is group 0 with its machine.
type Fleet struct {
	Group
	Machine *fleetstate.Machine
	Steps   *Batcher[*toucanhingev1.FleetStep]
}

// NewFleet joins group 0 to its machine.
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

// NewJobs joins a job group to its machine.
func NewJobs(g Group, machine *jobstate.Machine, c clock.Clock, refused prometheus.Counter) *Jobs {
	encode := func(at clock.Millis, steps []*toucanhingev1.JobStep) ([]byte, error) {
		return proto.Marshal(&toucanhingev1.JobCommand{AtMs: int64(at), Steps: steps})
	}
	steps := NewBatcher(BatcherConfig[*toucanhingev1.JobStep]{Propose: g.Propose, Encode: encode, Clock: c, Refused: refused})
	return &Jobs{Group: g, Machine: machine, Steps: steps}
}

// Do carries out one step and returns its answer of the type that it has.
func Do[A, S any](ctx context.Context, b *Batcher[S], step S, size int) (A, error) {
	answer, err := b.Do(ctx, step, size)
	if err != nil {
		var none A
		return none, err
	}
	typed, fits := answer.(A)
	if !fits {
		return typed, errAnswer
	}
	return typed, nil
}
