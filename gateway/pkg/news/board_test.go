package news

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

func boardAt(t *testing.T, confirm bool) *Publisher {
	t.Helper()
	return New(Config{
		Boot: clock.System(), Confirm: confirm, Registerer: prometheus.NewRegistry(),
		Usage: func() ([]*toucanhingev1.TeamUse, clock.Millis) { return []*toucanhingev1.TeamUse{{Team: 7}}, 5 },
	})
}

// filled holds a table and a fleet.
func filled(t *testing.T, confirm bool) *Publisher {
	t.Helper()
	b := boardAt(t, confirm)
	b.SetTable(tableOf(t, 3))
	b.SetFleet(fleetOf(10, "a", "b"))
	b.SetFreshness(clock.System().Now())
	return b
}

func tableOf(t *testing.T, version uint64) *routing.Table {
	t.Helper()
	table, err := routing.New(&toucanhingev1.RoutingTable{Version: version})
	require.NoError(t, err)
	return table
}

func fleetOf(revision uint64, runners ...string) *toucanhingev1.FleetView {
	v := &toucanhingev1.FleetView{Revision: revision}
	for _, id := range runners {
		v.Runners = append(v.Runners, &toucanhingev1.Runner{Id: id})
	}
	return v
}

func ask(b *Publisher, m *toucanhingev1.AttendRequest) (*toucanhingev1.AttendResponse, error) {
	if m.GetName() == "" {
		m.Name, m.DigestAddress = "g", "10.0.0.1:1"
	}
	answer, err := b.Attend(context.Background(), connect.NewRequest(m))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

func TestWhatAGatewayLacksIsPassedOnAtOnce(t *testing.T) {
	b := filled(t, false)
	first, err := ask(b, &toucanhingev1.AttendRequest{})
	require.NoError(t, err)
	require.Equal(t, uint64(3), first.GetTable().GetVersion())
	require.Len(t, first.GetFleet().GetRunners(), 2)
	require.Len(t, first.GetUses(), 1, "one that starts learns what the teams have used")

	b.SetFleet(fleetOf(11, "a", "b", "c"))
	next, err := ask(b, &toucanhingev1.AttendRequest{HaveVersion: 3, HaveFleet: 10})
	require.NoError(t, err)
	require.Nil(t, next.GetTable())
	require.Equal(t, uint64(10), next.GetFleet().GetSince())
	require.Len(t, next.GetFleet().GetRunners(), 1, "only what changed")
	require.Empty(t, next.GetUses())
}

// No operator has sent a routing table yet. The fleet is passed on all the same: with nothing to
// hear from one another, all gateways of a fleet that starts asked the leader.
func TestTheFleetIsPassedOnBeforeThereIsATable(t *testing.T) {
	b := boardAt(t, false)
	b.SetFleet(fleetOf(10, "a"))
	b.SetFreshness(clock.System().Now())
	answer, err := ask(b, &toucanhingev1.AttendRequest{})
	require.NoError(t, err)
	require.Nil(t, answer.GetTable())
	require.Len(t, answer.GetFleet().GetRunners(), 1)
}

// A gateway has heard of the next leader before the one that it asks; taking that one's older
// fleet it would send requests to runners that are gone.
func TestNothingOlderIsPassedOn(t *testing.T) {
	b := filled(t, false)
	answer, err := ask(b, &toucanhingev1.AttendRequest{HaveVersion: 4, HaveFleet: 1 << 40, WaitMs: 1})
	require.NoError(t, err)
	require.Nil(t, answer.GetTable())
	require.Nil(t, answer.GetFleet())
}

// All gateways of a data centre hear at the same moment that there is nothing new: if each
// level waited by itself, what the last one knows would be seconds old.
func TestTheWordThatThereIsNothingNewIsPassedOnAtOnce(t *testing.T) {
	b := filled(t, false)
	done := make(chan *toucanhingev1.AttendResponse, 1)
	asked := clock.System().Now()
	go func() {
		answer, _ := ask(b, &toucanhingev1.AttendRequest{HaveVersion: 3, HaveFleet: 10, WaitMs: 2_000})
		done <- answer
	}()
	require.Never(t, func() bool { return len(done) > 0 }, 50*time.Millisecond, 5*time.Millisecond)
	b.SetFreshness(clock.System().Now())
	select {
	case answer := <-done:
		require.Zero(t, answer.GetBehindMs(), "it was asked for after the call came in")
		require.Nil(t, answer.GetFleet())
		require.Less(t, clock.System().Now()-asked, clock.Millis(1_500))
	case <-time.After(time.Second):
		require.Fail(t, "not told")
	}
}

// The gateway has heard nothing for a while: it says so.
func TestHowFarBehindItIsIsTold(t *testing.T) {
	b := filled(t, false)
	time.Sleep(120 * time.Millisecond)
	answer, err := ask(b, &toucanhingev1.AttendRequest{HaveVersion: 3, HaveFleet: 10, WaitMs: 10})
	require.NoError(t, err)
	require.InDelta(t, 120, float64(answer.GetBehindMs()), 60)
}

// A key was taken away. Only a gateway that hears of confirmed points itself may pass one on.
func TestOnlyConfirmedPointsAreToldAsSuch(t *testing.T) {
	for _, confirm := range []bool{false, true} {
		for _, asks := range []bool{false, true} {
			answer, err := ask(filled(t, confirm), &toucanhingev1.AttendRequest{Confirm: asks})
			require.NoError(t, err)
			require.Equal(t, confirm && asks, answer.GetConfirmed(), "%v %v", confirm, asks)
		}
	}
}

func TestWhoHasNothingOrLeavesSendsOthersElsewhere(t *testing.T) {
	for _, c := range []struct {
		name  string
		board func() *Publisher
		most  time.Duration
	}{
		{"nothing heard yet", func() *Publisher { return boardAt(t, false) }, 200 * time.Millisecond},
		{"leaving", func() *Publisher {
			b := filled(t, false)
			b.Drain()
			return b
		}, 10 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			began := time.Now()
			_, err := ask(c.board(), &toucanhingev1.AttendRequest{WaitMs: 50})
			require.Equal(t, connect.CodeUnavailable, connect.CodeOf(err))
			require.Less(t, time.Since(began), c.most)
		})
	}
}

// Who waits already is told as well when the gateway is stopped.
func TestALeavingGatewayTellsThoseWhoWait(t *testing.T) {
	b := filled(t, false)
	done := make(chan error, 1)
	go func() {
		_, err := ask(b, &toucanhingev1.AttendRequest{HaveVersion: 3, HaveFleet: 10, WaitMs: 2_000})
		done <- err
	}()
	time.Sleep(30 * time.Millisecond)
	b.Drain()
	select {
	case err := <-done:
		require.Equal(t, connect.CodeUnavailable, connect.CodeOf(err))
	case <-time.After(time.Second):
		require.Fail(t, "not told")
	}
}

// More gateways come than one can serve: each costs it one short answer.
func TestNoMoreGatewaysThanOneCanServe(t *testing.T) {
	b := filled(t, false)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for n := range mostWaiting {
		go func() {
			_, _ = b.Attend(ctx, connect.NewRequest(&toucanhingev1.AttendRequest{Name: fmt.Sprint(n), HaveVersion: 3, HaveFleet: 10, WaitMs: 5_000}))
		}()
	}
	require.Eventually(t, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.waiting == mostWaiting
	}, 5*time.Second, time.Millisecond)
	_, err := ask(b, &toucanhingev1.AttendRequest{})
	require.Equal(t, connect.CodeResourceExhausted, connect.CodeOf(err))
}
