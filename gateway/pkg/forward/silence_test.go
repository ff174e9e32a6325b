package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/occupancy"
	"toucanhinge.example/common/pkg/runner"
	"toucanhinge.example/gateway/pkg/place"
)

// A runner stands still in the middle of a stream, and its connection stays open.
// A resumable stream goes on elsewhere before the pause is too long for its
// caller; one that isn't is waited for.
func TestASilentRunner(t *testing.T) {
	f := start(t, reply{text: events(1, 2), hangs: true}, reply{text: events(3, 4)})
	began := time.Now()
	status, text, _, err := f.get("/resumable/", 0)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, events(1, 4), text)
	require.Less(t, time.Since(began), 500*time.Millisecond)
	require.Equal(t, uint64(2), f.sent()[1].After)
	require.True(t, f.sent()[1].Resume)

	f = start(t, reply{text: events(1, 2), hangs: true}, reply{text: events(3, 4)})
	_, text, _, err = f.get("/stream/", 0)
	require.Error(t, err, "cut at the route's time limit")
	require.Equal(t, events(1, 2), text)
	require.Len(t, f.sent(), 1)
}

// In a burst a runner is silent because it is busy, and no place is free anywhere
// else. Breaking the call off would only lose its turn there.
func TestABusyRunnerIsWaitedFor(t *testing.T) {
	f := start(t, reply{silent: true})
	f.server.config.Exchange.Add("b", occupancy.Load{Online: 2})
	f.server.config.Exchange.Add("c", occupancy.Load{Online: 2})
	status, _, _, err := f.get("/resumable/", 0)
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, status)
	require.Len(t, f.sent(), 1)
}

// In a burst a request waits in the queue of a full runner, and its gateway has no other
// call there. The runner works; told to be silent, it would get no more work from any
// gateway, and the others would be full in turn.
func TestAFullRunnerIsNotToldToBeSilent(t *testing.T) {
	for _, c := range []struct {
		name   string
		held   int
		silent bool
	}{
		{"full", 2, false},
		{"a place was free", 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := start(t, reply{silent: true})
			for _, id := range []string{"a", "b", "c"} {
				f.server.config.Exchange.Add(id, occupancy.Load{Online: c.held})
			}
			for range 100 {
				f.server.learn(func(m *place.Machine) { m.RecordHold("llm", 100) })
			}
			_, _, _, err := f.get("/stream/", 400)
			require.NoError(t, err)
			met := f.sent()[0].Runner.GetId()
			f.server.config.Exchange.View(func(table *occupancy.Table) {
				require.Equal(t, c.silent, table.Unresponsive(f.server.config.Clock.Now(), met))
			})
		})
	}
}

// A runner breaks off before its first event, in a burst. All others have a queue, too long
// to be in time. The request may have run, so nobody can tell its caller that it wasn't, and
// a late answer is better than a failure.
func TestABrokenCallGoesOnInAQueue(t *testing.T) {
	f := start(t, reply{err: &runner.BrokenError{Runner: "x", Err: errWire}}, reply{text: events(1, 3)})
	for range 100 {
		f.server.learn(func(m *place.Machine) { m.RecordHold("llm", 100) })
	}
	for _, id := range []string{"a", "b", "c"} {
		f.server.config.Exchange.Add(id, occupancy.Load{Online: 2})
	}
	f.server.config.Exchange.Add("a", occupancy.Load{Online: -1})
	f.server.config.Exchange.Add("b", occupancy.Load{Online: 4})
	f.server.config.Exchange.Add("c", occupancy.Load{Online: 4})
	status, text, _, err := f.get("/resumable/", 0)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, events(1, 3), text)
	calls := f.sent()
	require.Len(t, calls, 2)
	require.Equal(t, "a", calls[0].Runner.GetId())
	require.NotEqual(t, "a", calls[1].Runner.GetId())
}

// An older system, or a daemon that vanished, has work at a runner that nobody
// counts. The first answer from there tells, and the next requests go elsewhere
// instead of waiting behind it.
func TestARunnerWithForeignWorkIsAvoided(t *testing.T) {
	f := start(t, reply{text: "one", held: 4}, reply{text: "two"}, reply{text: "three"}, reply{text: "four"})
	for range 4 {
		_, _, _, err := f.get("/idempotent/x", 0)
		require.NoError(t, err)
	}
	calls := f.sent()
	for _, c := range calls[1:] {
		require.NotEqual(t, calls[0].Runner.GetId(), c.Runner.GetId())
	}
}

// A runner goes dark: nothing answers there, not even with a reset. The gateway that
// meets it first tells all, who would else each lose a tenth of a second there.
func TestADarkRunnerIsToldToAll(t *testing.T) {
	for _, c := range []struct {
		name   string
		silent bool
	}{
		{"no answer to the connection", true},
		{"refused: the process is being restarted", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := start(t, reply{err: &runner.NotSentError{Runner: "x", Unresponsive: c.silent, Err: errWire}}, reply{text: "answer"})
			status, _, _, err := f.get("/once/x", 0)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			met := f.sent()[0].Runner.GetId()
			f.server.config.Exchange.View(func(table *occupancy.Table) {
				require.Equal(t, c.silent, table.Unresponsive(f.server.config.Clock.Now(), met))
			})
		})
	}
}
