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

// confirmations collects the points that were confirmed, with the tables taken by then.
type confirmations struct {
	mu     sync.Mutex
	points []clock.Millis
	tables []uint64
}

func (c *confirmations) last() (point clock.Millis, table uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.points) == 0 {
		return 0, 0
	}
	return c.points[len(c.points)-1], c.tables[len(c.tables)-1]
}

func confirm(t *testing.T, core *fakeCore, now clock.Clock) *confirmations {
	t.Helper()
	c := &confirmations{}
	taken := &tables{}
	f := New(Config{
		Publisher: board(), Name: "g", Core: control.New(control.Config{Addresses: []string{core.address}, NewHTTP: web.NewClient, AttemptTimeout: time.Second, FindLeader: control.QueryLeader}),
		Logger: log.NewNopLogger(), OnTable: taken.take, OnFleet: func(*toucanhingev1.FleetView) {}, Seeds: func() []string { return nil },
		OnUsage: func([]*toucanhingev1.TeamUse, clock.Millis) {},
		Boot: now, Confirm: true, OnFreshness: func(asked clock.Millis) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.points, c.tables = append(c.points, asked), append(c.tables, taken.last())
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return c
}

// The leader is silent for a while and then answers. Its answer confirms what was known when
// the gateway's last question went out, not when the answer came; and the table that came
// with it is in force before.
func TestAnAnswerConfirmsFromItsQuestionOn(t *testing.T) {
	core := start(t, 1)[0]
	core.set(core.address, false, 1)
	now := clock.System()
	c := confirm(t, core, now)
	require.Eventually(t, func() bool { _, table := c.last(); return table == 1 }, 5*time.Second, time.Millisecond)
	point, _ := c.last()
	require.LessOrEqual(t, point, now.Now())

	core.set(core.address, true, 1)
	silentFrom := now.Now()
	time.Sleep(600 * time.Millisecond)
	point, _ = c.last()
	require.LessOrEqual(t, point, silentFrom+50, "without an answer nothing is confirmed")
	core.set(core.address, false, 2)
	require.Eventually(t, func() bool { _, table := c.last(); return table == 2 }, 5*time.Second, time.Millisecond)
	point, _ = c.last()
	require.Greater(t, point, silentFrom)
}

func TestWhatConfirmsNothing(t *testing.T) {
	for _, c := range []struct {
		name  string
		spoil func(*fakeCore)
	}{
		{"a leader of an earlier program", func(f *fakeCore) { f.unconfirmed = true }},
		{"a table that can't be read", func(f *fakeCore) { f.unreadable = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			core := start(t, 1)[0]
			c.spoil(core)
			core.set(core.address, false, 1)
			got := confirm(t, core, clock.System())
			time.Sleep(200 * time.Millisecond)
			point, _ := got.last()
			require.Zero(t, point)
		})
	}
}
