package admission

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/seed"
)

func TestMain(m *testing.M) { seed.Main(m, 31) }

func TestDecide(t *testing.T) {
	ask := func(change func(*Ask)) Ask {
		a := Ask{Arrived: 1_000, Ends: 6_000, Objective: 300, Hold: 800}
		change(&a)
		return a
	}
	for _, c := range []struct {
		name string
		now  clock.Millis
		ask  Ask
		want Verdict
	}{
		{"a place is free", 1_000, ask(func(*Ask) {}), Go},
		{"a place is free, too late for the objective", 4_000, ask(func(*Ask) {}), Go},
		{"in time", 1_000, ask(func(a *Ask) { a.Expected = 220 }), Go},
		{"not in time", 1_000, ask(func(a *Ask) { a.Expected = 221 }), Refuse},
		{"in time no longer", 1_100, ask(func(a *Ask) { a.Expected = 200 }), Refuse},
		{"came back", 1_000, ask(func(a *Ask) { a.Expected, a.Returned = 400, true }), Wait},
		{"came back, its caller would leave", 2_700, ask(func(a *Ask) { a.Expected, a.Returned = 400, true }), Refuse},
		{"came back, its caller would stay", 2_700, ask(func(a *Ask) { a.Expected, a.Returned, a.Gap = 400, true, 300 }), Wait},
		{"came back, too many wait", 1_000, ask(func(a *Ask) { a.Expected, a.Returned, a.Crowded = 400, true, true }), Refuse},
		{"came back, half of its time is left", 3_499, ask(func(a *Ask) { a.Expected, a.Returned, a.Gap = 400, true, 900 }), Wait},
		{"came back, waited long enough", 3_500, ask(func(a *Ask) { a.Expected, a.Returned, a.Gap = 400, true, 900 }), Refuse},
		{"came back, could just be served", 1_000, ask(func(a *Ask) { a.Expected, a.Returned, a.Hold = 400, true, 4_850 }), Wait},
		{"came back, can't be served any more", 1_000, ask(func(a *Ask) { a.Expected, a.Returned, a.Hold = 400, true, 4_851 }), Refuse},
		{"no objective", 1_000, ask(func(a *Ask) { a.Expected, a.Objective = 4_200, 0 }), Go},
		{"no objective, can't end in time", 1_000, ask(func(a *Ask) { a.Expected, a.Objective = 4_201, 0 }), Refuse},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, Decide(c.now, c.ask))
		})
	}
}

// TestRapidNoRequestThatCanBeInTimeIsRefused, and none waits or goes on that can't
// end before its caller leaves, unless a place is free for it.
func TestRapidNoRequestThatCanBeInTimeIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := rapid.Int64Range(0, 6_000)
		a := Ask{
			Ends: clock.Millis(span.Draw(t, "ends")), Objective: clock.Millis(span.Draw(t, "objective")),
			Expected: clock.Millis(span.Draw(t, "expected")), Hold: clock.Millis(span.Draw(t, "hold")),
			Returned: rapid.Bool().Draw(t, "returned"),
		}
		now := clock.Millis(span.Draw(t, "now"))
		switch Decide(now, a) {
		case Refuse:
			require.Positive(t, a.Expected)
			require.Greater(t, now+a.Expected+headroom, a.Objective)
			require.False(t, a.Returned && now+a.Hold+finishSlack <= a.Ends && now < a.longestWait())
		case Wait:
			require.True(t, a.Returned)
			require.LessOrEqual(t, now+a.Hold, a.Ends)
		case Go:
		}
	})
}

func TestRapidCallersComeBackSpreadAndInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Ask{Ends: clock.Millis(rapid.Int64Range(900, 9_000).Draw(t, "ends")), Expected: clock.Millis(rapid.Int64Range(0, 250).Draw(t, "expected"))}
		first, last := RetryAfter(0, a, 0), RetryAfter(0, a, 0.999)
		require.GreaterOrEqual(t, first, max(a.Expected, leastRetry))
		require.GreaterOrEqual(t, last-first, retrySpread-2)
		if a.Ends/retryPart >= first+retrySpread {
			require.LessOrEqual(t, last, a.Ends/retryPart)
		}
	})
}

func TestRequestsThatCameBackAreKnownByTheirPatience(t *testing.T) {
	p := NewPatience()
	require.False(t, p.Returned("a", 5_000))
	require.False(t, p.Returned("a", 4_990))
	require.True(t, p.Returned("a", 4_700))
	require.False(t, p.Returned("a", 0), "it doesn't say")
	require.False(t, p.Returned("b", 4_700), "another route")
	require.False(t, p.Returned("a", 8_000))
	require.True(t, p.Returned("a", 5_000))
}

func TestTheRoomIsOrderedByTime(t *testing.T) {
	r := &Room{}
	late, early, same := r.Enter(900), r.Enter(500), r.Enter(500)
	require.True(t, r.First(early))
	r.Leave(early)
	require.True(t, r.First(same))
	r.Leave(same)
	require.True(t, r.First(late))
	r.Leave(late)
	require.Zero(t, r.Len())
	require.False(t, r.Full(96, 8))
	for range 6 {
		r.Enter(1)
	}
	require.True(t, r.Full(96, 8))
	require.False(t, r.Full(96, 6))
	for r.Len() > 0 {
		r.Leave(r.waiters[0].ID)
	}
	require.False(t, r.First(late))
}

func TestStartWait(t *testing.T) {
	for _, c := range []struct {
		name     string
		patience clock.Millis
		returned bool
		want     clock.Millis
	}{
		{"new: until it may still be early elsewhere", 5_000, false, 60},
		{"new, and doesn't tell its patience", 0, false, 60},
		{"came back: half of its time", 2_000, true, 1_000},
		{"came back with much time: as long as an election takes", 60_000, true, 1_500},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, StartWait(c.patience, c.returned))
		})
	}
}
