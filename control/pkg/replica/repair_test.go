package replica

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/control/pkg/consensus"
	"toucanhinge.example/control/pkg/disk"
)

// often takes checkpoints often, and keeps little of the log behind them.
func often(c *Config) {
	c.CheckpointEntries = 20
	c.RetainEntries = 5
	c.RetainBytes = 30
	c.LogFileBytes = 1000
}

func (f *fleet) proposeAll(commands []string) {
	leader := f.leader()
	for _, command := range commands {
		_, err := leader.group.Propose(context.Background(), []byte(command))
		require.NoError(f.t, err)
	}
}

// A replica is down while so much happens that its next entries are no longer in
// the leader's log. It gets the state as a snapshot, and then the rest, and
// keeps both over a restart.
func TestLaggingReplicaGetsASnapshot(t *testing.T) {
	f := newFleet(t, 3, often)
	leader := f.leader()
	lagging := f.nodes[0]
	if lagging == leader {
		lagging = f.nodes[1]
	}
	f.stop(lagging)
	commands := numbered("x", 200)
	f.proposeAll(commands)
	require.Eventually(t, func() bool { return leader.group.Status().GetFirst() > 100 }, patience, glance)
	f.start(lagging)
	f.holds(lagging, commands)
	f.proposeAll([]string{"more"})
	commands = append(commands, "more")
	f.holds(lagging, commands)
	f.stop(lagging)
	f.start(lagging)
	f.holds(lagging, commands)
}

// All processes are killed at once and come back. The state is the checkpoint's
// and the log's after it.
func TestAllRestart(t *testing.T) {
	f := newFleet(t, 3, often)
	commands := numbered("x", 90)
	f.proposeAll(commands)
	for _, n := range f.nodes {
		f.stop(n)
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	f.proposeAll([]string{"after"})
	for _, n := range f.nodes {
		f.holds(n, append(commands[:90:90], "after"))
	}
}

// A VM loses its disk and comes back empty under its old name. It takes no part:
// the other two go on, and no acknowledged command is lost. An operator removes
// the old member, adds the new one as a learner and promotes it. Right after the
// promotion returned another VM is lost for good; nothing is missing.
func TestLostDiskIsReplaced(t *testing.T) {
	f := newFleet(t, 3, often)
	leader := f.leader()
	var lost, other *node
	for _, n := range f.nodes {
		switch {
		case n == leader:
		case lost == nil:
			lost = n
		default:
			other = n
		}
	}
	commands := numbered("x", 60)
	f.proposeAll(commands)
	f.stop(lost)
	f.wipe(lost)
	f.start(lost)
	f.proposeAll([]string{"alone"})
	commands = append(commands, "alone")
	group := lost.group
	require.Never(t, func() bool { return group.Status().GetLast() > 0 }, 500*time.Millisecond, glance)

	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	identity, err := Identity(lost.folder)
	require.NoError(t, err)
	newcomer := Peer{Name: lost.name, Address: lost.address, Identity: identity}
	var refused *RefusedError
	require.ErrorAs(t, leader.group.AddLearner(ctx, newcomer), &refused)
	require.Equal(t, consensus.ReasonMemberExists, refused.Reason)
	require.NoError(t, leader.group.Remove(ctx, lost.name))
	require.NoError(t, leader.group.AddLearner(ctx, newcomer))
	require.NoError(t, leader.group.Promote(ctx, lost.name))
	f.stop(other)
	f.proposeAll([]string{"after"})
	commands = append(commands, "after")
	f.holds(leader, commands)
	f.holds(lost, commands)
	f.stop(leader)
	f.stop(lost)
	f.start(leader)
	f.start(lost)
	f.holds(f.leader(), commands)
}

// The data folder of the only other replica that holds an acknowledged command
// is lost, and the third replica lacks that command. If the lost one voted as
// who it was, the two would elect a leader without it.
func TestLostDiskHasNoVote(t *testing.T) {
	f := newFleet(t, 3, nil)
	leader := f.leader()
	var lost, lagging *node
	for _, n := range f.nodes {
		switch {
		case n == leader:
		case lost == nil:
			lost = n
		default:
			lagging = n
		}
	}
	f.stop(lagging)
	f.proposeAll([]string{"held by two"})
	f.stop(leader)
	f.stop(lost)
	f.wipe(lost)
	f.start(lost)
	f.start(lagging)
	first, second := lost.group, lagging.group
	require.Never(t, func() bool {
		_, _, one := first.Leader()
		_, _, two := second.Leader()
		return one || two
	}, 3*time.Second, glance)
	f.start(leader)
	f.holds(f.leader(), []string{"held by two"})
	f.holds(lagging, []string{"held by two"})
}

// A sync fails under the leader. It stops at once and acknowledges nothing more,
// the other two go on with all that was acknowledged.
func TestFailedSyncStopsTheReplica(t *testing.T) {
	failing := make(chan struct{})
	f := newFleet(t, 3, func(c *Config) {
		if c.Name != "c1" {
			return
		}
		c.Disk.Sync = func(file *os.File) error {
			select {
			case <-failing:
				return errors.New("input/output error")
			default:
				return file.Sync()
			}
		}
	})
	first := f.nodes[0]
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for f.leader() != first {
		_ = f.leader().group.TransferLeadership(ctx)
	}
	f.proposeAll([]string{"before"})
	close(failing)
	_, err := first.group.Propose(ctx, []byte("during"))
	require.Error(t, err)
	<-first.group.Failed()
	var failed *disk.FailedError
	require.ErrorAs(t, first.group.Err(), &failed)
	_, err = first.group.Propose(ctx, []byte("later"))
	require.ErrorIs(t, err, ErrStopped)
	require.Equal(t, roleStopped, first.group.Status().GetRole())
	f.stop(first)
	f.propose("after")
	all := f.leader().journal.all()
	require.Equal(t, "before", all[0])
	require.Equal(t, "after", all[len(all)-1])
}

// A replica is stopped as planned: it hands over first, and no proposal of the
// callers that go on meanwhile is lost or doubled.
func TestHandoverLosesNothing(t *testing.T) {
	f := newFleet(t, 3, nil)
	old := f.leader()
	acknowledged := make(chan string, 1000)
	go func() {
		defer close(acknowledged)
		for _, command := range numbered("x", 200) {
			_, err := old.group.Propose(context.Background(), []byte(command))
			var notLeader *NotLeaderError
			if errors.As(err, &notLeader) {
				return
			}
			if err == nil {
				acknowledged <- command
			}
		}
	}()
	require.Eventually(t, func() bool { return len(acknowledged) > 5 }, patience, glance)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	require.NoError(t, old.group.TransferLeadership(ctx))
	_, _, self := old.group.Leader()
	require.False(t, self)
	leader := f.leader()
	require.NotEqual(t, old, leader)
	var commands []string
	for command := range acknowledged {
		commands = append(commands, command)
	}
	f.holds(leader, commands)
}

// Someone deleted the log but left the checkpoint. Votes and entries are gone,
// so the replica must not start as if it had them.
func TestCheckpointWithoutLogIsDamage(t *testing.T) {
	f := newFleet(t, 1, often)
	f.proposeAll(numbered("x", 50))
	n := f.nodes[0]
	require.Eventually(t, func() bool { return n.group.Status().GetFirst() > 1 }, patience, glance)
	f.stop(n)
	folder := filepath.Join(n.folder, "group-1")
	require.NoError(t, os.RemoveAll(filepath.Join(folder, "log")))
	config := Config{Group: 1, Name: n.name, Identity: "any", Folder: folder, Bootstrap: f.peers}
	_, err := Open(config, (&journal{}).machine())
	var damage *disk.DamageError
	require.ErrorAs(t, err, &damage)
}

func TestStoppedReplicaRefuses(t *testing.T) {
	f := newFleet(t, 1, nil)
	n := f.leader()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := n.group.Propose(ctx, []byte("x"))
	require.ErrorIs(t, err, context.Canceled)
	group := n.group
	f.stop(n)
	_, err = group.Propose(context.Background(), []byte("x"))
	require.ErrorIs(t, err, ErrStopped)
	require.ErrorIs(t, group.Read(context.Background()), ErrStopped)
}

// A snapshot was taken over and the process died before the log was begun anew:
// the checkpoint is ahead of the log, or the log holds other entries. The state
// is the snapshot's, and the log goes on after it.
func TestCrashAfterSnapshot(t *testing.T) {
	scenarios := []struct {
		name    string
		entries uint64
	}{
		{name: "log ends before it", entries: 3},
		{name: "log differs from it", entries: 60},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			folder := t.TempDir()
			l, _, err := disk.Open(disk.Config{Folder: filepath.Join(folder, "log")})
			require.NoError(t, err)
			p := consensus.Persist{State: consensus.HardState{Term: 2}}
			for i := uint64(1); i <= sc.entries; i++ {
				p.Entries = append(p.Entries, consensus.Entry{Index: i, Term: 1, Kind: consensus.EntryEmpty})
			}
			require.NoError(t, l.Append(p))
			require.NoError(t, l.Close())
			point := checkpoint{
				Index: 50, Term: 2, Manifest: []byte(`["from the snapshot"]`),
				Members: consensus.Members{{Name: "c1", Identity: "one", Voter: true}},
			}
			require.NoError(t, point.write(folder))
			for range 2 {
				j := &journal{}
				g, err := Open(Config{Group: 1, Name: "c1", Identity: "one", Folder: folder, Clock: clock.System()}, j.machine())
				require.NoError(t, err)
				require.Eventually(t, func() bool { return g.Read(context.Background()) == nil }, patience, glance)
				require.Eventually(t, func() bool { return g.Status().GetCommit() > 50 }, patience, glance)
				require.Equal(t, []string{"from the snapshot"}, j.all())
				require.NoError(t, g.Close())
			}
		})
	}
}
