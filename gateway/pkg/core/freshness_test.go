package core

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/web"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// confirmations collects the confirmed freshness points, with the table version applied by then.
type confirmations struct {
	mu        sync.Mutex
	freshness []clock.Millis
	tables    []uint64
}

func (c *confirmations) last() (asOf clock.Millis, table uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.freshness) == 0 {
		return 0, 0
	}
	return c.freshness[len(c.freshness)-1], c.tables[len(c.tables)-1]
}

func startConfirming(t *testing.T, core *fakeCore, now clock.Clock) *confirmations {
	t.Helper()
	c := &confirmations{}
	applied := &tables{}
	s := New(Config{
		Publisher: newPublisher(), Name: "g", Core: control.New(control.Config{Addresses: []string{core.address}, NewHTTP: web.NewClient, AttemptTimeout: time.Second, FindLeader: control.QueryLeader}),
		Logger: log.NewNopLogger(), OnTable: applied.apply, OnFleet: func(*toucanhingev1.FleetView) {}, Seeds: func() []string { return nil },
		OnUsage: func([]*toucanhingev1.TeamUse, clock.Millis) {},
		Boot:    now, Confirm: true, OnFreshness: func(asOf clock.Millis) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.freshness, c.tables = append(c.freshness, asOf), append(c.tables, applied.last())
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return c
}

// The leader doesn't answer for a while and then does. Its answer must confirm the state as of the time
// at which the gateway sent its last query, not at which the answer arrived, and the routing table of the
// answer must be applied first.
func TestAnswerConfirmsStateAsOfQuery(t *testing.T) {
	core := start(t, 1)[0]
	core.set(core.address, false, 1)
	now := clock.System()
	c := startConfirming(t, core, now)
	require.Eventually(t, func() bool { _, table := c.last(); return table == 1 }, 5*time.Second, time.Millisecond)
	asOf, _ := c.last()
	require.LessOrEqual(t, asOf, now.Now())

	core.set(core.address, true, 1)
	unresponsiveSince := now.Now()
	time.Sleep(600 * time.Millisecond)
	asOf, _ = c.last()
	require.LessOrEqual(t, asOf, unresponsiveSince+50, "nothing must be confirmed without an answer")
	core.set(core.address, false, 2)
	require.Eventually(t, func() bool { _, table := c.last(); return table == 2 }, 5*time.Second, time.Millisecond)
	asOf, _ = c.last()
	require.Greater(t, asOf, unresponsiveSince)
}

func TestAnswersWithoutConfirmation(t *testing.T) {
	for _, c := range []struct {
		name     string
		setFault func(*fakeCore)
	}{
		{"a leader of an earlier version", func(f *fakeCore) { f.unconfirmed = true }},
		{"a table that can't be read", func(f *fakeCore) { f.unreadable = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			core := start(t, 1)[0]
			c.setFault(core)
			core.set(core.address, false, 1)
			confirmed := startConfirming(t, core, clock.System())
			time.Sleep(200 * time.Millisecond)
			asOf, _ := confirmed.last()
			require.Zero(t, asOf)
		})
	}
}
