package app

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"toucanhinge.example/common/pkg/clock"
	jobname "toucanhinge.example/common/pkg/job"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/metrics"
	"toucanhinge.example/control/pkg/config"
	"toucanhinge.example/control/pkg/fleetstate"
	"toucanhinge.example/control/pkg/group"
	"toucanhinge.example/control/pkg/jobstate"
	"toucanhinge.example/control/pkg/replica"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const transferTimeout = 3 * time.Second

// groups holds the replicas of this process and their state machines.
type groups struct {
	replicas map[uint32]*replica.Group
	fleet    *group.Fleet
	jobs     map[uint32]*group.Jobs
	logger   log.Logger
	// failed receives the error with which a replica stopped.
	failed chan error
	// identity is the identity of the data folder.
	identity string
}

func newGroups(settings config.Config, now clock.Clock, logger log.Logger, set *metrics.Set) (*groups, error) {
	gs := &groups{
		replicas: map[uint32]*replica.Group{}, jobs: map[uint32]*group.Jobs{}, logger: logger,
		failed: make(chan error, settings.Groups+1),
	}
	identity, err := replica.Identity(settings.DataFolder, "")
	if err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	gs.identity = identity
	open := func(number uint32, machine replica.Machine) (group.Group, error) {
		g, err := replica.Open(replicaConfig(settings, now, logger, set, identity, number), machine)
		if err != nil {
			gs.close()
			return group.Group{}, fmt.Errorf("replica: %w", err)
		}
		gs.replicas[number] = g
		return group.FromReplica(number, g), nil
	}
	if err := gs.openFleet(open, now, set); err != nil {
		return nil, err
	}
	for number := uint32(jobname.FirstGroup); number < settings.Groups; number++ {
		if err := gs.openJobs(open, settings, number, now, set); err != nil {
			return nil, err
		}
	}
	return gs, nil
}

// openFunc opens the replica of a group with its state machine.
type openFunc func(number uint32, machine replica.Machine) (group.Group, error)

func (gs *groups) openFleet(open openFunc, now clock.Clock, set *metrics.Set) error {
	m := fleetstate.NewMachine(fleetstate.MachineConfig{Fatal: gs.fatal})
	g, err := open(0, replica.Machine{Apply: m.Apply, Checkpoint: m.Checkpoint, Load: m.Load, Export: m.Export, Import: m.Import})
	if err != nil {
		return err
	}
	gs.fleet = group.NewFleet(g, m, now, ringRefused(set, 0))
	return nil
}

func (gs *groups) openJobs(open openFunc, settings config.Config, number uint32, now clock.Clock, set *metrics.Set) error {
	m := jobstate.NewMachine(jobstate.MachineConfig{
		Folder: filepath.Join(groupFolder(settings, number), "segments"), Fatal: gs.fatal,
	})
	g, err := open(number, replica.Machine{Apply: m.Apply, Checkpoint: m.Checkpoint, Load: m.Load, Export: m.Export, Import: m.Import})
	if err != nil {
		return err
	}
	gs.jobs[number] = group.NewJobs(g, m, now, ringRefused(set, number))
	return nil
}

func ringRefused(set *metrics.Set, number uint32) prometheus.Counter {
	return set.Refused.WithLabelValues(fmt.Sprintf("group-%d", number), "ring-full")
}

func groupFolder(settings config.Config, number uint32) string {
	return filepath.Join(settings.DataFolder, fmt.Sprintf("group-%d", number))
}

func replicaConfig(
	settings config.Config, now clock.Clock, logger log.Logger, set *metrics.Set, identity string, number uint32,
) replica.Config {
	c := replica.Config{
		Group: number, Name: settings.Name, Identity: identity, Folder: groupFolder(settings, number),
		Clock: now, Logger: logger, Registerer: set.Registry,
		HeartbeatInterval: clock.Millis(settings.Consensus.HeartbeatMS),
		ElectionTimeout:   clock.Millis(settings.Consensus.ElectionMS),
		CheckpointEntries: settings.Consensus.CheckpointEntries,
	}
	for _, p := range settings.Peers {
		if p.Name == settings.Name {
			c.Address = p.Address
		}
		if !settings.Consensus.Join {
			c.Bootstrap = append(c.Bootstrap, replica.Peer{Name: p.Name, Address: p.Address, Voter: true})
		}
	}
	return c
}

// fatal exits the process at once, like a crash. A machine can't continue after a
// partial write, and the next start rebuilds it from the last checkpoint and the log.
// A graceful stop would wait for calls that are blocked on this machine.
func (gs *groups) fatal(err error) {
	level.Error(gs.logger).Log(logs.KeyEvent, "machine-failed", logs.KeyError, err)
	os.Exit(1)
}

// reportFailures sends the errors of failed replicas to gs.failed.
func (gs *groups) reportFailures(ctx context.Context) {
	for _, g := range gs.replicas {
		go func() {
			select {
			case <-g.Failed():
				gs.failed <- g.Err()
			case <-ctx.Done():
			}
		}()
	}
}

func (gs *groups) status() []*toucanhingev1.GroupState {
	var list []*toucanhingev1.GroupState
	for number := uint32(0); number < uint32(len(gs.replicas)); number++ {
		list = append(list, gs.replicas[number].Status())
	}
	return list
}

// transferLeaderships transfers the leadership of every group that this replica leads
// and that has another replica. It returns the number of transfers and the last error.
func (gs *groups) transferLeaderships(ctx context.Context) (moved int, err error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	for _, g := range gs.replicas {
		if _, _, self := g.Leader(); !self || len(g.Status().GetReplicas()) < 2 {
			continue
		}
		if transferErr := g.TransferLeadership(ctx); transferErr != nil {
			err = fmt.Errorf("hand over a group: %w", transferErr)
			continue
		}
		moved++
	}
	return moved, err
}

// changeMember applies a membership change to all groups that this replica leads. If
// another replica leads some group, it then returns a NotLeaderError of that group.
func (gs *groups) changeMember(ctx context.Context, request *toucanhingev1.ChangeReplicaRequest) error {
	var notLeaderErr error
	for number := uint32(0); number < uint32(len(gs.replicas)); number++ {
		g := gs.replicas[number]
		if alreadyApplied(g.Status(), request) {
			continue
		}
		err := changeGroupMember(ctx, g, request)
		var notLeader *replica.NotLeaderError
		switch {
		case err == nil:
		case errors.As(err, &notLeader):
			notLeaderErr = err
		default:
			return fmt.Errorf("group %d: %w", number, err)
		}
	}
	return notLeaderErr
}

// alreadyApplied reports whether a change is applied already, so that a repeated call
// continues with the remaining groups.
func alreadyApplied(state *toucanhingev1.GroupState, request *toucanhingev1.ChangeReplicaRequest) bool {
	for _, r := range state.GetReplicas() {
		if r.GetName() != request.GetName() {
			continue
		}
		return (request.GetChange() == toucanhingev1.ReplicaChange_REPLICA_CHANGE_ADD_LEARNER &&
			r.GetIdentity() == request.GetIdentity()) ||
			(request.GetChange() == toucanhingev1.ReplicaChange_REPLICA_CHANGE_PROMOTE && r.GetVoter())
	}
	return request.GetChange() == toucanhingev1.ReplicaChange_REPLICA_CHANGE_REMOVE
}

var errUnknownChange = errors.New("want a change: add learner, promote or remove")

func changeGroupMember(ctx context.Context, g *replica.Group, request *toucanhingev1.ChangeReplicaRequest) error {
	switch request.GetChange() {
	case toucanhingev1.ReplicaChange_REPLICA_CHANGE_ADD_LEARNER:
		return g.AddLearner(ctx, replica.Peer{Name: request.GetName(), Address: request.GetAddress(), Identity: request.GetIdentity()})
	case toucanhingev1.ReplicaChange_REPLICA_CHANGE_PROMOTE:
		return g.Promote(ctx, request.GetName())
	case toucanhingev1.ReplicaChange_REPLICA_CHANGE_REMOVE:
		return g.Remove(ctx, request.GetName())
	default:
		return errUnknownChange
	}
}

func (gs *groups) close() {
	for _, g := range gs.replicas {
		if err := g.Close(); err != nil {
			level.Error(gs.logger).Log(logs.KeyEvent, "close-failed", logs.KeyError, err)
		}
	}
	for _, j := range gs.jobs {
		j.Machine.Close()
	}
}
