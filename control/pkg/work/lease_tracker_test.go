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

// trackerTest runs a lease tracker on one machine without consensus, with a test clock.
type trackerTest struct {
	t        *testing.T
	now      clock.Millis
	term     uint64
	isLeader bool
	reads    int
	machine  *jobstate.Machine
	jobs     *group.Jobs
	tracker  *LeaseTracker
	cancel   context.CancelFunc
}

func newTrackerTest(t *testing.T) *trackerTest {
	tt := &trackerTest{t: t, now: 1_000_000, term: 1, isLeader: true}
	tt.machine = jobstate.NewMachine(jobstate.MachineConfig{Folder: t.TempDir(), Fatal: func(err error) { require.NoError(t, err) }})
	require.NoError(t, tt.machine.Load(nil))
	now := clock.FromFunc(func() clock.Millis { return tt.now })
	tt.jobs = group.NewJobs(group.Group{
		Number:  1,
		Propose: func(_ context.Context, command []byte) (any, error) { return tt.machine.Apply(0, command), nil },
		Read:    func(context.Context) error { tt.reads++; return nil },
		Leader:  func() (string, string, bool) { return "c1", "", tt.isLeader },
		Term:    func() uint64 { return tt.term },
	}, tt.machine, now, nil)
	tt.tracker = NewLeaseTracker(LeaseTrackerConfig{
		Groups: map[uint32]*group.Jobs{1: tt.jobs}, Clock: now, Logger: log.NewNopLogger(),
		Lease: testLease, UploadRetention: 600_000, JobRetention: 600_000,
	})
	ctx, cancel := context.WithCancel(context.Background())
	tt.cancel = cancel
	go tt.jobs.Steps.Run(ctx)
	t.Cleanup(cancel)
	t.Cleanup(tt.machine.Close)
	return tt
}

func (tt *trackerTest) do(step *toucanhingev1.JobStep) any {
	result, err := tt.jobs.Steps.Do(context.Background(), step, 1)
	require.NoError(tt.t, err)
	return result
}

// leaseItems uploads a job and leases all its items to one sidecar.
func (tt *trackerTest) leaseItems(items int) []uint64 {
	stage := &toucanhingev1.StageStep{Upload: "u"}
	for range items {
		payload, err := proto.Marshal(&toucanhingev1.Item{CustomId: "x"})
		require.NoError(tt.t, err)
		stage.Items = append(stage.Items, payload)
	}
	tt.do(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Stage{Stage: stage}})
	tt.do(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Accept{Accept: &toucanhingev1.AcceptStep{
		Upload: "u", Id: "j1-a", Count: uint64(items), Header: &toucanhingev1.UploadHeader{Team: "agence", Service: "svc"},
	}}})
	var leases []uint64
	for range items {
		leases = append(leases, tt.lease().Lease)
	}
	return leases
}

// lease leases one item to the sidecar.
func (tt *trackerTest) lease() jobstate.Leased {
	result := tt.do(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Lease{Lease: &toucanhingev1.LeaseStep{
		Request: &toucanhingev1.LeaseRequest{Sidecar: "s1", Incarnation: 5, Service: "svc", Most: 1},
	}}}).(jobstate.LeaseResult)
	require.Len(tt.t, result.Items, 1)
	tt.tracker.Granted(1, result.Items[0].Lease)
	return result.Items[0]
}

func (tt *trackerTest) renew(incarnation uint64, leases ...uint64) {
	tt.tracker.Renewed(1, &toucanhingev1.RenewRequest{Sidecar: "s1", Incarnation: incarnation, Group: 1, Leases: leases})
}

// checkLive checks the leases once and reports for each whether it is live.
func (tt *trackerTest) checkLive(leases []uint64) []bool {
	tt.tracker.CheckLeases(context.Background(), tt.jobs)
	var live []bool
	tt.machine.View(func(s *jobstate.State) {
		for _, lease := range leases {
			live = append(live, s.Live(lease))
		}
	})
	return live
}

// TestLeaseExpiry checks which of a sidecar's two leases end after renewals, lost
// messages, restarts and leader changes.
func TestLeaseExpiry(t *testing.T) {
	scenarios := []struct {
		name string
		act  func(tt *trackerTest, leases []uint64)
		live []bool
	}{
		{"just granted", func(tt *trackerTest, _ []uint64) { tt.now += testLease }, []bool{true, true}},
		{"never renewed", func(tt *trackerTest, _ []uint64) { tt.now += testLease + 1 }, []bool{false, false}},
		{"renewed", func(tt *trackerTest, leases []uint64) {
			tt.now += testLease - 1
			tt.renew(5, leases...)
			tt.now += testLease
		}, []bool{true, true}},
		// The response that granted the second lease was lost.
		{"one lease unknown to its sidecar", func(tt *trackerTest, leases []uint64) {
			tt.now += testLease/2 + 1
			tt.renew(5, leases[0])
		}, []bool{true, false}},
		// The sidecar sent the renewal before the response with the grant arrived.
		{"one lease not listed yet", func(tt *trackerTest, leases []uint64) {
			tt.now++
			tt.renew(5, leases[0])
		}, []bool{true, true}},
		{"sidecar restarted", func(tt *trackerTest, _ []uint64) { tt.now++; tt.renew(6) }, []bool{false, false}},
		// A suspended old process resumes and renews leases that the start of the new
		// process had ended.
		{"renewal by an old process", func(tt *trackerTest, leases []uint64) {
			tt.now++
			tt.renew(6)
			tt.renew(5, leases...)
		}, []bool{false, false}},
		// Another leader renewed the leases meanwhile, and this replica does not know the times.
		{"new term", func(tt *trackerTest, _ []uint64) {
			tt.term, tt.now = 2, tt.now+2*testLease
			tt.checkLive(nil)
			tt.now += testLease
		}, []bool{true, true}},
		{"new term without renewals", func(tt *trackerTest, _ []uint64) {
			tt.term, tt.now = 2, tt.now+2*testLease
			tt.checkLive(nil)
			tt.now += testLease + 1
		}, []bool{false, false}},
		{"not the leader", func(tt *trackerTest, _ []uint64) { tt.isLeader, tt.now = false, tt.now+2*testLease }, []bool{true, true}},
	}
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			tt := newTrackerTest(t)
			leases := tt.leaseItems(2)
			require.Equal(t, []bool{true, true}, tt.checkLive(leases))
			c.act(tt, leases)
			require.Equal(t, c.live, tt.checkLive(leases))
		})
	}
}

// Guards against a sound item that fails because its sidecar answers late: a lease that ends in silence must count as an
// attempt of an item that ran alone only if the sidecar doesn't return.
func TestSilenceCountsOnlyIfSidecarStaysAway(t *testing.T) {
	scenarios := []struct {
		name    string
		act     func(tt *trackerTest)
		attempt uint32
	}{
		{"returns after one lease", func(tt *trackerTest) { tt.renew(5) }, 1},
		{"returns after two leases", func(tt *trackerTest) { tt.now += testLease; tt.renew(5) }, 1},
		{"restarted", func(tt *trackerTest) { tt.renew(6) }, 2},
		{"stays away for three leases", func(tt *trackerTest) { tt.now += 2 * testLease }, 2},
	}
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			tt := newTrackerTest(t)
			tt.leaseItems(1)
			tt.now += testLease + 1
			tt.checkLive(nil)
			alone := tt.lease()
			require.True(t, alone.Alone)
			tt.now += testLease + 1
			require.Equal(t, []bool{true}, tt.checkLive([]uint64{alone.Lease}), "the sidecar may only be late")
			c.act(tt)
			require.Equal(t, []bool{false}, tt.checkLive([]uint64{alone.Lease}))
			require.Equal(t, c.attempt, tt.lease().Attempt)
		})
	}
}

// TestConfirmReadsOncePerLeadership checks that the first renewal of each term waits
// for a confirmed read. A new leader may not have applied its predecessor's grants
// yet, and would report live leases as revoked.
func TestConfirmReadsOncePerLeadership(t *testing.T) {
	tt := newTrackerTest(t)
	for range 3 {
		require.NoError(t, tt.tracker.Confirm(context.Background(), tt.jobs))
	}
	require.Equal(t, 1, tt.reads)
	tt.term = 2
	require.NoError(t, tt.tracker.Confirm(context.Background(), tt.jobs))
	require.Equal(t, 2, tt.reads)
}
