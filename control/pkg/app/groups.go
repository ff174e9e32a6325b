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

const handoverTime = 3 * time.Second

// groups holds this process's replicas and the machines that they drive.
type groups struct {
	replicas map[uint32]*replica.Group
	fleet    *group.Fleet
	jobs     map[uint32]*group.Jobs
	logger   log.Logger
	// failed gets the first error that makes a replica useless.
	failed chan error
	// identity of the data folder.
	identity string
}

func newGroups(settings config.Config, now clock.Clock, logger log.Logger, set *metrics.Set) (*groups, error) {
	gs := &groups{
		replicas: map[uint32]*replica.Group{}, jobs: map[uint32]*group.Jobs{}, logger: logger,
		failed: make(chan error, settings.Groups+1),
	}
	identity, err := replica.Identity(settings.DataFolder)
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

type opener func(number uint32, machine replica.Machine) (group.Group, error)

func (gs *groups) openFleet(open opener, now clock.Clock, set *metrics.Set) error {
	m := fleetstate.NewMachine(fleetstate.MachineConfig{Fatal: gs.fatal})
	g, err := open(0, replica.Machine{Apply: m.Apply, Checkpoint: m.Checkpoint, Load: m.Load, Export: m.Export, Import: m.Import})
	if err != nil {
		return err
	}
	gs.fleet = group.NewFleet(g, m, now, ringRefused(set, 0))
	return nil
}

func (gs *groups) openJobs(open opener, settings config.Config, number uint32, now clock.Clock, set *metrics.Set) error {
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
		HeartbeatInterval:    clock.Millis(settings.Consensus.HeartbeatMS),
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

// fatal ends the process at once, as a crash does: a machine can't go on from a
// half-done write, and the next start rebuilds it from the last checkpoint and
// the log. An orderly stop would wait for calls that this machine still holds up.
func (gs *groups) fatal(err error) {
	level.Error(gs.logger).Log(logs.KeyEvent, "machine-failed", logs.KeyError, err)
	os.Exit(1)
}

// watch passes on that a replica failed.
func (gs *groups) watch(ctx context.Context) {
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

// handover gives all leaderships away, as far as somebody takes them.
func (gs *groups) handover(ctx context.Context) (moved int, err error) {
	ctx, cancel := context.WithTimeout(ctx, handoverTime)
	defer cancel()
	for _, g := range gs.replicas {
		if _, _, self := g.Leader(); !self || len(g.Status().GetReplicas()) < 2 {
			continue
		}
		if handErr := g.TransferLeadership(ctx); handErr != nil {
			err = fmt.Errorf("hand over a group: %w", handErr)
			continue
		}
		moved++
	}
	return moved, err
}

// change makes a change of the members in all groups that this replica leads,
// then names the leader of one that it doesn't lead.
func (gs *groups) change(ctx context.Context, request *toucanhingev1.ChangeReplicaRequest) error {
	var elsewhere error
	for number := uint32(0); number < uint32(len(gs.replicas)); number++ {
		g := gs.replicas[number]
		if inForce(g.Status(), request) {
			continue
		}
		err := changeOne(ctx, g, request)
		var notLeader *replica.NotLeaderError
		switch {
		case err == nil:
		case errors.As(err, &notLeader):
			elsewhere = err
		default:
			return fmt.Errorf("group %d: %w", number, err)
		}
	}
	return elsewhere
}

// inForce says whether a change was made already, so that a repeated call goes
// on with the groups that are left.
func inForce(state *toucanhingev1.GroupState, request *toucanhingev1.ChangeReplicaRequest) bool {
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

var errChange = errors.New("want a change: add learner, promote or remove")

func changeOne(ctx context.Context, g *replica.Group, request *toucanhingev1.ChangeReplicaRequest) error {
	switch request.GetChange() {
	case toucanhingev1.ReplicaChange_REPLICA_CHANGE_ADD_LEARNER:
		return g.AddLearner(ctx, replica.Peer{Name: request.GetName(), Address: request.GetAddress(), Identity: request.GetIdentity()})
	case toucanhingev1.ReplicaChange_REPLICA_CHANGE_PROMOTE:
		return g.Promote(ctx, request.GetName())
	case toucanhingev1.ReplicaChange_REPLICA_CHANGE_REMOVE:
		return g.Remove(ctx, request.GetName())
	default:
		return errChange
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
