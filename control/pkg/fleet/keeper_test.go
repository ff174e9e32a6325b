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

// bench is a handler and a keeper over one machine without consensus, at a time
// of the test's.
type bench struct {
	t         *testing.T
	now       clock.Millis
	term      uint64
	leads     bool
	proposals int
	machine   *fleetstate.Machine
	keeper    *LeaseTracker
	handler   *Handler
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, now: 1_000_000, term: 1, leads: true}
	b.machine = fleetstate.NewMachine(fleetstate.MachineConfig{Fatal: func(err error) { require.NoError(t, err) }})
	now := clock.FromFunc(func() clock.Millis { return b.now })
	g := group.NewFleet(group.Group{
		Propose: func(_ context.Context, command []byte) (any, error) {
			b.proposals++
			return b.machine.Apply(0, command), nil
		},
		Read: func(context.Context) error {
			if b.leads {
				return nil
			}
			return &replica.NotLeaderError{Address: "10.0.0.2:1"}
		},
		Leader: func() (string, string, bool) { return "c1", "10.0.0.2:1", b.leads },
		Term:   func() uint64 { return b.term },
	}, b.machine, now, nil)
	b.keeper = NewLeaseTracker(LeaseTrackerConfig{
		Fleet: g, Clock: now, Logger: log.NewNopLogger(), Lease: testLease, ForgetAfter: testForget,
		ClaimRetention: 100_000, RequestRetention: 100_000,
	})
	b.handler = New(Config{Fleet: g, Leases: b.keeper, Clock: now, Groups: 2, Lease: testLease})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go g.Steps.Run(ctx)
	return b
}

func member(incarnation uint64) *toucanhingev1.Member {
	return &toucanhingev1.Member{
		Role: toucanhingev1.Role_ROLE_SIDECAR, Incarnation: incarnation, State: toucanhingev1.MemberState_MEMBER_STATE_READY,
	}
}

func (b *bench) beat(incarnation uint64) (*toucanhingev1.BeatResponse, error) {
	answer, err := b.handler.Beat(context.Background(), connect.NewRequest(&toucanhingev1.BeatRequest{Name: "s1", Member: member(incarnation)}))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

// state is what the configuration says of the one member; unspecified when it
// is not listed.
func (b *bench) state() toucanhingev1.MemberState {
	b.keeper.CheckMembers(context.Background())
	state := toucanhingev1.MemberState_MEMBER_STATE_UNSPECIFIED
	b.machine.View(func(s *fleetstate.State) {
		if e, found := s.Entry(toucanhingev1.Kind_KIND_MEMBER, "s1"); found {
			state = e.GetMember().GetState()
		}
	})
	return state
}

// TestMembersLiveByHeartbeats follows one member through silence, death, return
// and a change of the leader.
func TestMembersLiveByHeartbeats(t *testing.T) {
	const ready, dead, gone = toucanhingev1.MemberState_MEMBER_STATE_READY, toucanhingev1.MemberState_MEMBER_STATE_DEAD, toucanhingev1.MemberState_MEMBER_STATE_UNSPECIFIED
	die := func(b *bench) {
		b.now += testLease + 1
		require.Equal(b.t, dead, b.state())
	}
	scenarios := []struct {
		name  string
		act   func(b *bench)
		state toucanhingev1.MemberState
	}{
		{"silent for a lease", func(b *bench) { b.now += testLease }, ready},
		{"silent for longer", func(b *bench) { b.now += testLease + 1 }, dead},
		{"dead for long", func(b *bench) { die(b); b.now += testForget + 1 }, gone},
		{"back from the dead", func(b *bench) {
			die(b)
			answer, err := b.beat(5)
			require.NoError(b.t, err)
			require.True(b.t, answer.GetCurrent())
		}, ready},
		// The former leader heard the heartbeats, this one hasn't had the time.
		{"a new leadership", func(b *bench) { b.term, b.now = 2, b.now+2*testLease }, ready},
		{"a new leadership that hears nothing", func(b *bench) {
			b.term = 2
			b.state()
			b.now += testLease + 1
		}, dead},
		{"not the leader", func(b *bench) { b.leads, b.now = false, b.now+2*testLease }, ready},
	}
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			_, err := b.beat(5)
			require.NoError(t, err)
			require.Equal(t, ready, b.state())
			c.act(b)
			require.Equal(t, c.state, b.state())
		})
	}
}

// TestPlainHeartbeatsAreNotLogged keeps a thousand daemons' renewals out of the
// log, and an old process out of the new one's place.
func TestPlainHeartbeatsAreNotLogged(t *testing.T) {
	b := newBench(t)
	for range 5 {
		_, err := b.beat(5)
		require.NoError(t, err)
	}
	require.Equal(t, 1, b.proposals)
	require.Equal(t, toucanhingev1.MemberState_MEMBER_STATE_READY, b.state())
	answer, err := b.beat(4)
	require.NoError(t, err)
	require.False(t, answer.GetCurrent())
	b.now += testLease + 1
	_, err = b.beat(4)
	require.NoError(t, err)
	require.Equal(t, toucanhingev1.MemberState_MEMBER_STATE_DEAD, b.state(), "an old process must not keep the new one's lease")
}

// TestFollowerRefusesHeartbeats names the leader.
func TestFollowerRefusesHeartbeats(t *testing.T) {
	b := newBench(t)
	b.leads = false
	_, err := b.beat(1)
	address, refused := control.LeaderOf(err)
	require.True(t, refused)
	require.Equal(t, "10.0.0.2:1", address)
	_, err = b.handler.Floor(context.Background(), connect.NewRequest(&toucanhingev1.FloorRequest{}))
	_, refused = control.LeaderOf(err)
	require.True(t, refused)
}
