package core

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// The leader's process is killed right after it acknowledged a table and a job. Callers and
// operators must find the next leader, and the table and the job must exist there, because both
// were synced on a majority before the acknowledgement.
func TestKilledLeaderIsReplaced(t *testing.T) {
	cl := newCluster(t, 3)
	cl.startAll()
	cl.replaceTable(3)
	outcome, err := submit(context.Background(), client(cl.vms[0].known), "job")
	require.NoError(t, err)
	require.Equal(t, toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED, outcome)
	killed := cl.leader()
	killed.kill()
	cl.requireTable(3)
	cl.leader().core.machine.View(func(state *systemState) { require.NotNil(t, state.Job("job")) })
	killed.start()
	cl.replaceTable(4)
	cl.waitForVoters(cl.vms...)
}

// A VM loses its disk and returns empty under its old address. It must not vote under its old
// identity and joins as a new member. Right after that repair a second VM loses its disk, and
// then the third. No acknowledged write may be lost: a repair ends only when the new member
// has the whole log.
func TestSuccessiveDiskLosses(t *testing.T) {
	cl := newCluster(t, 3)
	cl.startAll()
	for i, v := range cl.vms {
		cl.replaceTable(uint64(i + 1))
		v.kill()
		v.loseDisk()
		cl.requireTable(uint64(i + 1))
		v.start()
		cl.waitForVoters(cl.vms...)
		cl.requireTable(uint64(i + 1))
	}
}

// All processes are killed at the same time and restart with their disks.
func TestAllVMsAreKilledAtOnce(t *testing.T) {
	cl := newCluster(t, 3)
	cl.startAll()
	cl.replaceTable(5)
	for _, v := range cl.vms {
		v.kill()
	}
	cl.startAll()
	cl.requireTable(5)
	cl.replaceTable(6)
}

// A VM is lost permanently, and an empty one starts at another address. The new VM has to
// receive a copy first and only then replaces the lost one as a voter.
func TestNewVMReplacesLostVM(t *testing.T) {
	cl := newCluster(t, 4)
	for _, v := range cl.vms[:3] {
		v.start()
	}
	cl.replaceTable(1)
	lost := cl.follower()
	lost.kill()
	cl.vms[3].start()
	var remaining []*vm
	for _, v := range cl.vms {
		if v != lost {
			remaining = append(remaining, v)
		}
	}
	cl.waitForVoters(remaining...)
	cl.requireTable(1)
}

// An operator retires a VM. With three VMs the request is refused, because two VMs could not
// tolerate a loss. With a fourth VM, the retirement ends only after that VM has become a voter. A
// leader that is retired transfers its leadership first.
func TestRetireVM(t *testing.T) {
	cl := newCluster(t, 4)
	for _, v := range cl.vms[:3] {
		v.start()
	}
	ctx := context.Background()
	cl.replaceTable(1)
	cl.waitForRegistered(3)
	require.ErrorIs(t, cl.leader().core.RetireVM(ctx, "nobody"), ErrUnknownVM)
	require.ErrorIs(t, cl.leader().core.RetireVM(ctx, cl.vms[0].name), ErrTooFewVMs)
	cl.vms[3].start()
	cl.waitForStandby(cl.vms[3])
	cl.waitForRegistered(4)
	retiring := cl.leader()
	require.NoError(t, retiring.core.RetireVM(ctx, retiring.name))
	require.NoError(t, cl.leader().core.RetireVM(ctx, retiring.name), "a repeated request must be acknowledged again")
	cl.eventually(func(leader *vm) bool {
		done, err := leader.core.Retired(ctx, retiring.name)
		return err == nil && done
	}, "VM not retired")
	retiring.kill()
	cl.requireTable(1)
	cl.replaceTable(2)
}

// A VM without known members has seeds that no longer exist, and the platform writes others into
// its settings. The VM has to announce itself to the new seeds.
func TestVMFindsCoreThroughNewSeeds(t *testing.T) {
	cl := newCluster(t, 4)
	for _, v := range cl.vms[:3] {
		v.start()
	}
	cl.replaceTable(1)
	late := cl.vms[3]
	seeds := late.known
	late.known = []string{"127.0.0.1:1"}
	late.start()
	time.Sleep(3 * announceInterval)
	late.seeds.Store(&seeds)
	cl.waitForRegistered(4)
	cl.waitForStandby(late)
}

// waitForRegistered waits until the core has registered the given number of VMs.
func (cl *cluster) waitForRegistered(count int) {
	cl.t.Helper()
	cl.eventually(func(leader *vm) bool {
		known := 0
		leader.core.machine.View(func(state *systemState) { known = len(state.VMs()) })
		return known == count
	}, "VMs not registered")
}
