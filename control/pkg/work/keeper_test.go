package work

import (
	"context"
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/control/pkg/group"
	"toucanhinge.example/control/pkg/jobstate"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const testLease = clock.Millis(10_000)

// bench is a keeper over one machine without consensus, at a time of the test's.
type bench struct {
	t       *testing.T
	now     clock.Millis
	term    uint64
	leads   bool
	reads   int
	machine *jobstate.Machine
	jobs    *group.Jobs
	keeper  *LeaseTracker
	cancel  context.CancelFunc
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, now: 1_000_000, term: 1, leads: true}
	b.machine = jobstate.NewMachine(jobstate.MachineConfig{Folder: t.TempDir(), Fatal: func(err error) { require.NoError(t, err) }})
	require.NoError(t, b.machine.Load(nil))
	now := clock.FromFunc(func() clock.Millis { return b.now })
	b.jobs = group.NewJobs(group.Group{
		Number:  1,
		Propose: func(_ context.Context, command []byte) (any, error) { return b.machine.Apply(0, command), nil },
		Read:    func(context.Context) error { b.reads++; return nil },
		Leader:  func() (string, string, bool) { return "c1", "", b.leads },
		Term:    func() uint64 { return b.term },
	}, b.machine, now, nil)
	b.keeper = NewLeaseTracker(LeaseTrackerConfig{
		Groups: map[uint32]*group.Jobs{1: b.jobs}, Clock: now, Logger: log.NewNopLogger(),
		Lease: testLease, UploadRetention: 600_000, JobRetention: 600_000,
	})
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	go b.jobs.Steps.Run(ctx)
	t.Cleanup(cancel)
	t.Cleanup(b.machine.Close)
	return b
}

func (b *bench) do(step *toucanhingev1.JobStep) any {
	answer, err := b.jobs.Steps.Do(context.Background(), step, 1)
	require.NoError(b.t, err)
	return answer
}

// leased is a job of some items, all of them out with one sidecar.
func (b *bench) leased(items int) []uint64 {
	stage := &toucanhingev1.StageStep{Upload: "u"}
	for range items {
		payload, err := proto.Marshal(&toucanhingev1.Item{CustomId: "x"})
		require.NoError(b.t, err)
		stage.Items = append(stage.Items, payload)
	}
	b.do(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Stage{Stage: stage}})
	b.do(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Accept{Accept: &toucanhingev1.AcceptStep{
		Upload: "u", Id: "j1-a", Count: uint64(items), Header: &toucanhingev1.UploadHeader{Team: "agence", Service: "svc"},
	}}})
	var leases []uint64
	for range items {
		answer := b.do(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Lease{Lease: &toucanhingev1.LeaseStep{
			Request: &toucanhingev1.LeaseRequest{Sidecar: "s1", Incarnation: 5, Service: "svc", Most: 1},
		}}}).(jobstate.LeaseAnswer)
		leases = append(leases, answer.Items[0].Lease)
		b.keeper.Granted(1, answer.Items[0].Lease)
	}
	return leases
}

func (b *bench) renew(incarnation uint64, leases ...uint64) {
	b.keeper.Renewed(1, &toucanhingev1.RenewRequest{Sidecar: "s1", Incarnation: incarnation, Group: 1, Leases: leases})
}

// live judges once and returns which of the leases still hold.
func (b *bench) live(leases []uint64) []bool {
	b.keeper.CheckLeases(context.Background(), b.jobs)
	var live []bool
	b.machine.View(func(s *jobstate.State) {
		for _, lease := range leases {
			live = append(live, s.Live(lease))
		}
	})
	return live
}

// TestLeasesEnd follows two leases of one sidecar through what can happen to it.
func TestLeasesEnd(t *testing.T) {
	scenarios := []struct {
		name string
		act  func(b *bench, leases []uint64)
		live []bool
	}{
		{"just granted", func(b *bench, _ []uint64) { b.now += testLease }, []bool{true, true}},
		{"never renewed", func(b *bench, _ []uint64) { b.now += testLease + 1 }, []bool{false, false}},
		{"renewed", func(b *bench, leases []uint64) {
			b.now += testLease - 1
			b.renew(5, leases...)
			b.now += testLease
		}, []bool{true, true}},
		// The answer that granted the second lease was lost on its way.
		{"one unknown to its holder", func(b *bench, leases []uint64) {
			b.now += testLease/2 + 1
			b.renew(5, leases[0])
		}, []bool{true, false}},
		// The renewal left before the grant's answer arrived.
		{"one not listed yet", func(b *bench, leases []uint64) {
			b.now++
			b.renew(5, leases[0])
		}, []bool{true, true}},
		{"the sidecar restarted", func(b *bench, _ []uint64) { b.now++; b.renew(6) }, []bool{false, false}},
		// An old process thaws and renews what the new one's start had ended.
		{"an old process speaks again", func(b *bench, leases []uint64) {
			b.now++
			b.renew(6)
			b.renew(5, leases...)
		}, []bool{false, false}},
		// Another leader renewed the leases meanwhile, and we know nothing of it.
		{"a new leadership", func(b *bench, _ []uint64) {
			b.term, b.now = 2, b.now+2*testLease
			b.live(nil)
			b.now += testLease
		}, []bool{true, true}},
		{"a new leadership that hears nothing", func(b *bench, _ []uint64) {
			b.term, b.now = 2, b.now+2*testLease
			b.live(nil)
			b.now += testLease + 1
		}, []bool{false, false}},
		{"not the leader", func(b *bench, _ []uint64) { b.leads, b.now = false, b.now+2*testLease }, []bool{true, true}},
	}
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			leases := b.leased(2)
			require.Equal(t, []bool{true, true}, b.live(leases))
			c.act(b, leases)
			require.Equal(t, c.live, b.live(leases))
		})
	}
}

// TestRenewalsAreConfirmedOnceInALeadership: a new leader may not have applied
// its predecessor's grants yet, and would call live leases revoked.
func TestRenewalsAreConfirmedOnceInALeadership(t *testing.T) {
	b := newBench(t)
	for range 3 {
		require.NoError(t, b.keeper.Confirm(context.Background(), b.jobs))
	}
	require.Equal(t, 1, b.reads)
	b.term = 2
	require.NoError(t, b.keeper.Confirm(context.Background(), b.jobs))
	require.Equal(t, 2, b.reads)
}
