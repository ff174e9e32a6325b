package core

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// The leader's process is killed right after it acknowledged a table and a job.
// Callers and the operator find the next leader within a second, and what was
// acknowledged is there: it was synced on a majority before the answer.
func TestAKilledLeaderIsReplaced(t *testing.T) {
	s := newSite(t, 3)
	s.startAll()
	s.replace(3)
	outcome, err := submit(context.Background(), client(s.vms[0].known), "job")
	require.NoError(t, err)
	require.Equal(t, toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED, outcome)
	killed := s.leader()
	killed.kill()
	s.requireTable(3)
	s.leader().core.machine.View(func(state *stateOf) { require.NotNil(t, state.Job("job")) })
	killed.start()
	s.replace(4)
	s.voters(s.vms...)
}

// A VM loses its disk and comes back empty under its old address. It must not
// vote as who it was; it is taken in anew. Right after that repair a second VM
// loses its disk, and after that the third: nothing acknowledged is lost, since
// each repair counts only when the newcomer holds everything.
func TestDisksAreLostOneAfterAnother(t *testing.T) {
	s := newSite(t, 3)
	s.startAll()
	for i, v := range s.vms {
		s.replace(uint64(i + 1))
		v.kill()
		v.loseDisk()
		s.requireTable(uint64(i + 1))
		v.start()
		s.voters(s.vms...)
		s.requireTable(uint64(i + 1))
	}
}

// All processes are killed at the same moment and come back with their disks.
func TestAllAreKilledAtOnce(t *testing.T) {
	s := newSite(t, 3)
	s.startAll()
	s.replace(5)
	for _, v := range s.vms {
		v.kill()
	}
	s.startAll()
	s.requireTable(5)
	s.replace(6)
}

// A VM is gone for good, and an empty one comes at another address. It holds a
// copy first, and takes the vote of the lost one after that.
func TestALostVMIsReplacedByANewOne(t *testing.T) {
	s := newSite(t, 4)
	for _, v := range s.vms[:3] {
		v.start()
	}
	s.replace(1)
	lost := s.follower()
	lost.kill()
	s.vms[3].start()
	var left []*vm
	for _, v := range s.vms {
		if v != lost {
			left = append(left, v)
		}
	}
	s.voters(left...)
	s.requireTable(1)
}

// The operator asks for a VM to be emptied. With three VMs it is refused: two
// could not bear a loss. With a fourth one, the VM is empty only after that one
// votes in its place, and the leader hands over if it is asked to go itself.
func TestAVMIsRetired(t *testing.T) {
	s := newSite(t, 4)
	for _, v := range s.vms[:3] {
		v.start()
	}
	ctx := context.Background()
	s.replace(1)
	s.registered(3)
	require.ErrorIs(t, s.leader().core.RetireVM(ctx, "nobody"), ErrUnknownVM)
	require.ErrorIs(t, s.leader().core.RetireVM(ctx, s.vms[0].name), ErrTooFewVMs)
	s.vms[3].start()
	s.standby(s.vms[3])
	s.registered(4)
	retiring := s.leader()
	require.NoError(t, retiring.core.RetireVM(ctx, retiring.name))
	require.NoError(t, s.leader().core.RetireVM(ctx, retiring.name), "a resend is acknowledged again")
	require.Eventually(t, func() bool {
		done, err := s.leader().core.Retired(ctx, retiring.name)
		return err == nil && done
	}, patience, 20*time.Millisecond)
	retiring.kill()
	s.requireTable(1)
	s.replace(2)
}

// A VM that lost its disk knows only VMs that are gone; the platform has written
// others into its settings meanwhile. It announces itself to those.
func TestAVMFindsTheCoreByNewSeeds(t *testing.T) {
	s := newSite(t, 4)
	for _, v := range s.vms[:3] {
		v.start()
	}
	s.replace(1)
	late := s.vms[3]
	seeds := late.known
	late.known = []string{"127.0.0.1:1"}
	late.start()
	time.Sleep(3 * announceEvery)
	late.seeds.Store(&seeds)
	s.registered(4)
	s.standby(late)
}

// registered waits until the core knows so many VMs by name.
func (s *site) registered(count int) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		known := 0
		s.leader().core.machine.View(func(state *stateOf) { known = len(state.VMs()) })
		return known == count
	}, patience, 20*time.Millisecond)
}
