package fleet

import (
	"context"
	"testing"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/control/pkg/fleetstate"
	"toucanhinge.example/control/pkg/group"
	"toucanhinge.example/control/pkg/replica"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	testLease  = clock.Millis(10_000)
	testForget = clock.Millis(60_000)
)

// fixture is a handler and a lease tracker over one machine without consensus, with a
// clock that the test sets.
type fixture struct {
	t         *testing.T
	now       clock.Millis
	term      uint64
	leads     bool
	proposals int
	machine   *fleetstate.Machine
	leases    *LeaseTracker
	handler   *Handler
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, now: 1_000_000, term: 1, leads: true}
	f.machine = fleetstate.NewMachine(fleetstate.MachineConfig{Fatal: func(err error) { require.NoError(t, err) }})
	now := clock.FromFunc(func() clock.Millis { return f.now })
	g := group.NewFleet(group.Group{
		Propose: func(_ context.Context, command []byte) (any, error) {
			f.proposals++
			return f.machine.Apply(0, command), nil
		},
		Read: func(context.Context) error {
			if f.leads {
				return nil
			}
			return &replica.NotLeaderError{Address: "10.0.0.2:1"}
		},
		Leader: func() (string, string, bool) { return "c1", "10.0.0.2:1", f.leads },
		Term:   func() uint64 { return f.term },
	}, f.machine, now, nil)
	f.leases = NewLeaseTracker(LeaseTrackerConfig{
		Fleet: g, Clock: now, Logger: log.NewNopLogger(), Lease: testLease, ForgetAfter: testForget,
		ClaimRetention: 100_000, RequestRetention: 100_000,
	})
	f.handler = New(Config{Fleet: g, Leases: f.leases, Clock: now, Groups: 2, Lease: testLease})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go g.Steps.Run(ctx)
	return f
}

func member(incarnation uint64) *toucanhingev1.Member {
	return &toucanhingev1.Member{
		Role: toucanhingev1.Role_ROLE_SIDECAR, Incarnation: incarnation, State: toucanhingev1.MemberState_MEMBER_STATE_READY,
	}
}

func (f *fixture) beat(incarnation uint64) (*toucanhingev1.BeatResponse, error) {
	response, err := f.handler.Beat(context.Background(), connect.NewRequest(&toucanhingev1.BeatRequest{Name: "s1", Member: member(incarnation)}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// state checks the members and returns the member's state in the configuration, or
// unspecified if it is not listed.
func (f *fixture) state() toucanhingev1.MemberState {
	f.leases.CheckMembers(context.Background())
	state := toucanhingev1.MemberState_MEMBER_STATE_UNSPECIFIED
	f.machine.View(func(s *fleetstate.State) {
		if e, found := s.Entry(toucanhingev1.Kind_KIND_MEMBER, "s1"); found {
			state = e.GetMember().GetState()
		}
	})
	return state
}

// TestMemberStateFollowsHeartbeats checks one member's state after missing heartbeats,
// its return, and a change of the leader.
func TestMemberStateFollowsHeartbeats(t *testing.T) {
	const ready, dead, gone = toucanhingev1.MemberState_MEMBER_STATE_READY, toucanhingev1.MemberState_MEMBER_STATE_DEAD, toucanhingev1.MemberState_MEMBER_STATE_UNSPECIFIED
	expire := func(f *fixture) {
		f.now += testLease + 1
		require.Equal(f.t, dead, f.state())
	}
	scenarios := []struct {
		name  string
		act   func(f *fixture)
		state toucanhingev1.MemberState
	}{
		{"no heartbeat for a lease", func(f *fixture) { f.now += testLease }, ready},
		{"no heartbeat for longer than a lease", func(f *fixture) { f.now += testLease + 1 }, dead},
		{"dead until removed", func(f *fixture) { expire(f); f.now += testForget + 1 }, gone},
		{"heartbeat after death", func(f *fixture) {
			expire(f)
			response, err := f.beat(5)
			require.NoError(f.t, err)
			require.True(f.t, response.GetCurrent())
		}, ready},
		// The former leader received the heartbeats; the new one hasn't had time to.
		{"new leader", func(f *fixture) { f.term, f.now = 2, f.now+2*testLease }, ready},
		{"new leader without heartbeats for longer than a lease", func(f *fixture) {
			f.term = 2
			f.state()
			f.now += testLease + 1
		}, dead},
		{"not the leader", func(f *fixture) { f.leads, f.now = false, f.now+2*testLease }, ready},
	}
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			_, err := f.beat(5)
			require.NoError(t, err)
			require.Equal(t, ready, f.state())
			c.act(f)
			require.Equal(t, c.state, f.state())
		})
	}
}

// TestUnchangedHeartbeatsAreNotLogged checks that renewals without a change stay out of
// the log, which a thousand daemons would fill, and that an old process doesn't renew the
// lease of the new one.
func TestUnchangedHeartbeatsAreNotLogged(t *testing.T) {
	f := newFixture(t)
	for range 5 {
		_, err := f.beat(5)
		require.NoError(t, err)
	}
	require.Equal(t, 1, f.proposals)
	require.Equal(t, toucanhingev1.MemberState_MEMBER_STATE_READY, f.state())
	response, err := f.beat(4)
	require.NoError(t, err)
	require.False(t, response.GetCurrent())
	f.now += testLease + 1
	_, err = f.beat(4)
	require.NoError(t, err)
	require.Equal(t, toucanhingev1.MemberState_MEMBER_STATE_DEAD, f.state(), "an old process must not renew the new one's lease")
}

// TestFollowerRefusesHeartbeats checks that a follower refuses calls and names the leader.
func TestFollowerRefusesHeartbeats(t *testing.T) {
	f := newFixture(t)
	f.leads = false
	_, err := f.beat(1)
	address, refused := control.LeaderOf(err)
	require.True(t, refused)
	require.Equal(t, "10.0.0.2:1", address)
	_, err = f.handler.Floor(context.Background(), connect.NewRequest(&toucanhingev1.FloorRequest{}))
	_, refused = control.LeaderOf(err)
	require.True(t, refused)
}
