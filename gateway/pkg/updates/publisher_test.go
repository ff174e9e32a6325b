package updates

import (
	"context"
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/routing"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

func newPublisher(t *testing.T, confirm bool) *Publisher {
	t.Helper()
	return New(Config{
		Boot: clock.System(), Confirm: confirm, Registerer: prometheus.NewRegistry(),
		Usage: func() ([]*toucanhingev1.TeamUse, clock.Millis) { return []*toucanhingev1.TeamUse{{Team: 7}}, 5 },
	})
}

// newFilledPublisher returns a publisher with a routing table and a fleet view.
func newFilledPublisher(t *testing.T, confirm bool) *Publisher {
	t.Helper()
	p := newPublisher(t, confirm)
	p.SetTable(newTable(t, 3))
	p.SetFleet(newFleet(10, "a", "b"))
	p.SetFreshness(clock.System().Now())
	return p
}

func newTable(t *testing.T, version uint64) *routing.Table {
	t.Helper()
	table, err := routing.New(&toucanhingev1.RoutingTable{Version: version})
	require.NoError(t, err)
	return table
}

func newFleet(revision uint64, runners ...string) *toucanhingev1.FleetView {
	v := &toucanhingev1.FleetView{Revision: revision}
	for _, id := range runners {
		v.Runners = append(v.Runners, &toucanhingev1.Runner{Id: id})
	}
	return v
}

func attend(p *Publisher, m *toucanhingev1.AttendRequest) (*toucanhingev1.AttendResponse, error) {
	if m.GetName() == "" {
		m.Name, m.DigestAddress = "g", "10.0.0.1:1"
	}
	answer, err := p.Attend(context.Background(), connect.NewRequest(m))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

func TestAttendReturnsMissingStateAtOnce(t *testing.T) {
	p := newFilledPublisher(t, false)
	first, err := attend(p, &toucanhingev1.AttendRequest{})
	require.NoError(t, err)
	require.Equal(t, uint64(3), first.GetTable().GetVersion())
	require.Len(t, first.GetFleet().GetRunners(), 2)
	require.Len(t, first.GetUses(), 1, "a gateway that starts must get the quota usage")

	p.SetFleet(newFleet(11, "a", "b", "c"))
	next, err := attend(p, &toucanhingev1.AttendRequest{HaveVersion: 3, HaveFleet: 10})
	require.NoError(t, err)
	require.Nil(t, next.GetTable())
	require.Equal(t, uint64(10), next.GetFleet().GetSince())
	require.Len(t, next.GetFleet().GetRunners(), 1, "only the differences must be sent")
	require.Empty(t, next.GetUses())
}

// No operator has set a routing table yet. The fleet view must be published nevertheless: otherwise all
// gateways of a fleet that starts would query the leader.
func TestAttendReturnsFleetWithoutTable(t *testing.T) {
	p := newPublisher(t, false)
	p.SetFleet(newFleet(10, "a"))
	p.SetFreshness(clock.System().Now())
	answer, err := attend(p, &toucanhingev1.AttendRequest{})
	require.NoError(t, err)
	require.Nil(t, answer.GetTable())
	require.Len(t, answer.GetFleet().GetRunners(), 1)
}

// A subscriber has received a fleet view of the next leader before this gateway did. With the older view
// it would send requests to runners that are gone.
func TestAttendReturnsNothingOlder(t *testing.T) {
	p := newFilledPublisher(t, false)
	answer, err := attend(p, &toucanhingev1.AttendRequest{HaveVersion: 4, HaveFleet: 1 << 40, WaitMs: 1})
	require.NoError(t, err)
	require.Nil(t, answer.GetTable())
	require.Nil(t, answer.GetFleet())
}

// A new freshness point without updates must end the waiting calls at once: if each level of the tree
// waited for its own timeout, the state at the last level would be seconds old.
func TestAttendReturnsWhenFreshnessAdvances(t *testing.T) {
	p := newFilledPublisher(t, false)
	done := make(chan *toucanhingev1.AttendResponse, 1)
	calledAt := clock.System().Now()
	go func() {
		answer, _ := attend(p, &toucanhingev1.AttendRequest{HaveVersion: 3, HaveFleet: 10, WaitMs: 2_000})
		done <- answer
	}()
	require.Never(t, func() bool { return len(done) > 0 }, 50*time.Millisecond, 5*time.Millisecond)
	p.SetFreshness(clock.System().Now())
	select {
	case answer := <-done:
		require.Zero(t, answer.GetBehindMs(), "the freshness point must be later than the call")
		require.Nil(t, answer.GetFleet())
		require.Less(t, clock.System().Now()-calledAt, clock.Millis(1_500))
	case <-time.After(time.Second):
		require.Fail(t, "the call didn't end")
	}
}

// A gateway that has received no update for a while must report its lag.
func TestAttendReportsLag(t *testing.T) {
	p := newFilledPublisher(t, false)
	time.Sleep(120 * time.Millisecond)
	answer, err := attend(p, &toucanhingev1.AttendRequest{HaveVersion: 3, HaveFleet: 10, WaitMs: 10})
	require.NoError(t, err)
	require.InDelta(t, 120, float64(answer.GetBehindMs()), 60)
}

// A key was removed. Only a gateway that receives confirmed freshness points may return one as confirmed.
func TestAttendConfirmsOnlyConfirmedState(t *testing.T) {
	for _, confirm := range []bool{false, true} {
		for _, request := range []bool{false, true} {
			answer, err := attend(newFilledPublisher(t, confirm), &toucanhingev1.AttendRequest{Confirm: request})
			require.NoError(t, err)
			require.Equal(t, confirm && request, answer.GetConfirmed(), "%v %v", confirm, request)
		}
	}
}

func TestAttendFailsWithoutStateOrWhileDraining(t *testing.T) {
	for _, c := range []struct {
		name      string
		publisher func() *Publisher
		maxTime   time.Duration
	}{
		{"no state yet", func() *Publisher { return newPublisher(t, false) }, 200 * time.Millisecond},
		{"draining", func() *Publisher {
			p := newFilledPublisher(t, false)
			p.Drain()
			return p
		}, 10 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			startedAt := time.Now()
			_, err := attend(c.publisher(), &toucanhingev1.AttendRequest{WaitMs: 50})
			require.Equal(t, connect.CodeUnavailable, connect.CodeOf(err))
			require.Less(t, time.Since(startedAt), c.maxTime)
		})
	}
}

// Calls that wait already must end as well when the gateway is stopped.
func TestDrainEndsWaitingCalls(t *testing.T) {
	p := newFilledPublisher(t, false)
	done := make(chan error, 1)
	go func() {
		_, err := attend(p, &toucanhingev1.AttendRequest{HaveVersion: 3, HaveFleet: 10, WaitMs: 2_000})
		done <- err
	}()
	time.Sleep(30 * time.Millisecond)
	p.Drain()
	select {
	case err := <-done:
		require.Equal(t, connect.CodeUnavailable, connect.CodeOf(err))
	case <-time.After(time.Second):
		require.Fail(t, "the call didn't end")
	}
}

// More gateways call than one can serve. Each further call must be refused at once.
func TestAttendLimitsCalls(t *testing.T) {
	p := newFilledPublisher(t, false)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for n := range maxCalls {
		go func() {
			_, _ = p.Attend(ctx, connect.NewRequest(&toucanhingev1.AttendRequest{Name: fmt.Sprint(n), HaveVersion: 3, HaveFleet: 10, WaitMs: 5_000}))
		}()
	}
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.activeCalls == maxCalls
	}, 5*time.Second, time.Millisecond)
	_, err := attend(p, &toucanhingev1.AttendRequest{})
	require.Equal(t, connect.CodeResourceExhausted, connect.CodeOf(err))
}
