package admission

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/seed"
)

func TestMain(m *testing.M) { seed.Main(m, 31) }

func TestDecide(t *testing.T) {
	ask := func(change func(*Request)) Request {
		a := Request{Arrived: 1_000, Deadline: 6_000, Objective: 300, Hold: 800, Slots: 8}
		change(&a)
		return a
	}
	for _, c := range []struct {
		name string
		now  clock.Millis
		ask  Request
		want Verdict
	}{
		{"a place is free", 1_000, ask(func(*Request) {}), Admit},
		{"a place is free, too late for the objective", 4_000, ask(func(*Request) {}), Admit},
		{"next in the queue: in time, most likely", 1_000, ask(func(a *Request) { a.QueuePosition, a.ExpectedWait = 1, 100 }), Admit},
		{"the one after: late too often", 1_000, ask(func(a *Request) { a.QueuePosition, a.ExpectedWait = 2, 200 }), Refuse},
		{"the one after: in time before shorter requests", 1_000, ask(func(a *Request) { a.QueuePosition, a.ExpectedWait, a.Hold = 2, 150, 600 }), Admit},
		{"next in the queue, in time no longer", 1_150, ask(func(a *Request) { a.QueuePosition, a.ExpectedWait = 1, 100 }), Refuse},
		{"all before it end in time", 1_000, ask(func(a *Request) { a.QueuePosition, a.ExpectedWait, a.Hold = 8, 200, 200 }), Admit},
		{"those before it must end twice", 1_000, ask(func(a *Request) { a.QueuePosition, a.ExpectedWait, a.Hold = 16, 400, 200 }), Refuse},
		{"came back", 1_000, ask(func(a *Request) { a.QueuePosition, a.ExpectedWait, a.Retry = 4, 400, true }), Wait},
		{"came back, its caller would leave", 2_700, ask(func(a *Request) { a.QueuePosition, a.ExpectedWait, a.Retry = 4, 400, true }), Refuse},
		{"came back, its caller would stay", 2_700, ask(func(a *Request) { a.QueuePosition, a.ExpectedWait, a.Retry, a.Gap = 4, 400, true, 300 }), Wait},
		{"came back, too many wait", 1_000, ask(func(a *Request) { a.QueuePosition, a.ExpectedWait, a.Retry, a.QueueFull = 4, 400, true, true }), Refuse},
		{"came back, half of its time is left", 3_499, ask(func(a *Request) { a.QueuePosition, a.ExpectedWait, a.Retry, a.Gap = 4, 400, true, 900 }), Wait},
		{"came back, waited long enough", 3_500, ask(func(a *Request) { a.QueuePosition, a.ExpectedWait, a.Retry, a.Gap = 4, 400, true, 900 }), Refuse},
		{"came back, could just be served", 1_000, ask(func(a *Request) { a.QueuePosition, a.ExpectedWait, a.Retry, a.Hold = 4, 400, true, 4_850 }), Wait},
		{"came back, can't be served any more", 1_000, ask(func(a *Request) { a.QueuePosition, a.ExpectedWait, a.Retry, a.Hold = 4, 400, true, 4_851 }), Refuse},
		{"may have run, can be served late", 1_000, ask(func(a *Request) { a.QueuePosition, a.ExpectedWait, a.MayHaveRun = 40, 4_000, true }), Admit},
		{"may have run, can't be served", 1_000, ask(func(a *Request) { a.QueuePosition, a.ExpectedWait, a.MayHaveRun = 41, 4_100, true }), Refuse},
		{"no objective", 1_000, ask(func(a *Request) { a.QueuePosition, a.ExpectedWait, a.Objective = 42, 4_200, 0 }), Admit},
		{"no objective, can't end in time", 1_000, ask(func(a *Request) { a.QueuePosition, a.ExpectedWait, a.Objective = 42, 4_201, 0 }), Refuse},
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
		a := Request{
			Deadline: clock.Millis(span.Draw(t, "ends")), Objective: clock.Millis(span.Draw(t, "objective")),
			ExpectedWait: clock.Millis(span.Draw(t, "expected")), Hold: clock.Millis(span.Draw(t, "hold")),
			Retry: rapid.Bool().Draw(t, "returned"),
			QueuePosition:     rapid.IntRange(0, 20).Draw(t, "turn"), Slots: rapid.IntRange(1, 9).Draw(t, "places"),
		}
		now := clock.Millis(span.Draw(t, "now"))
		switch Decide(now, a) {
		case Refuse:
			require.Positive(t, a.QueuePosition)
			require.Less(t, a.chance(a.Objective-now-firstEvent), leastChance)
			require.False(t, a.Retry && now+a.Hold+finishSlack <= a.Deadline && now < a.longestWait())
		case Wait:
			require.True(t, a.Retry)
			require.LessOrEqual(t, now+a.Hold, a.Deadline)
		case Admit:
		}
	})
}

// TestRapidTheChanceIsThatOfAQueue compares the chance to be in time with queues that
// are played out.
func TestRapidTheChanceIsThatOfAQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const plays = 4_000
		a := Request{
			Hold: 1_000, Slots: rapid.IntRange(1, 9).Draw(t, "places"), QueuePosition: rapid.IntRange(1, 20).Draw(t, "turn"),
		}
		span := clock.Millis(rapid.Int64Range(-100, 3_500).Draw(t, "span"))
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		inTime := 0
		for range plays {
			ended := 0
			for range a.Slots {
				for end := clock.Millis(random.Int64N(int64(a.Hold))); end < span; end += a.Hold {
					ended++
				}
			}
			if ended >= a.QueuePosition {
				inTime++
			}
		}
		require.InDelta(t, float64(inTime)/plays, a.chance(span), 0.04)
	})
}

func TestRapidCallersComeBackSpreadAndInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Request{Deadline: clock.Millis(rapid.Int64Range(900, 9_000).Draw(t, "ends")), ExpectedWait: clock.Millis(rapid.Int64Range(0, 250).Draw(t, "expected"))}
		spells := spellsOf(clock.Millis(rapid.Int64Range(0, 5_000).Draw(t, "spell")))
		first, last := RetryAfter(0, a, spells, 0), RetryAfter(0, a, spells, 0.999)
		require.GreaterOrEqual(t, first, max(a.ExpectedWait, leastRetry))
		require.GreaterOrEqual(t, last-first, retrySpread-2)
		if a.Deadline/retryPart >= first+retrySpread {
			require.LessOrEqual(t, last, a.Deadline/retryPart)
		}
	})
}

func TestRequestsThatCameBackAreKnownByTheirPatience(t *testing.T) {
	p := NewRetryDetector()
	require.False(t, p.IsRetry("a", 5_000))
	require.False(t, p.IsRetry("a", 4_990))
	require.True(t, p.IsRetry("a", 4_700))
	require.False(t, p.IsRetry("a", 0), "it doesn't say")
	require.False(t, p.IsRetry("b", 4_700), "another route")
	require.False(t, p.IsRetry("a", 8_000))
	require.True(t, p.IsRetry("a", 5_000))
}

func TestTheRoomIsOrderedByTime(t *testing.T) {
	r := &WaitQueue{}
	late, early, same := r.Enqueue(Waiter{Deadline: 900}), r.Enqueue(Waiter{Deadline: 500}), r.Enqueue(Waiter{Deadline: 500})
	require.True(t, r.IsFirst(early))
	r.Remove(early)
	require.True(t, r.IsFirst(same))
	r.Remove(same)
	require.True(t, r.IsFirst(late))
	r.Remove(late)
	require.Zero(t, r.Len())
	require.False(t, r.Full(96, 8, ""))
	for range 6 {
		r.Enqueue(Waiter{Deadline: 1})
	}
	require.True(t, r.Full(96, 8, ""))
	require.False(t, r.Full(96, 6, ""))
	for r.Len() > 0 {
		r.Remove(r.waiters[0].ID)
	}
	require.False(t, r.IsFirst(late))
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
			require.Equal(t, c.want, StartupWait(c.patience, c.returned))
		})
	}
}

// A team of a high rank never pauses. One of a low rank is overtaken by what came a moment
// later, and not by more.
func TestUrgentTeamsGoFirstAndStarveNobody(t *testing.T) {
	r := &WaitQueue{}
	low := r.Enqueue(Waiter{Deadline: 1_000, Priority: 1, Team: "low"})
	high := r.Enqueue(Waiter{Deadline: 1_399, Team: "high"})
	require.True(t, r.IsFirst(high))
	r.Remove(high)
	for ends := clock.Millis(1_401); ends < 2_000; ends += 100 {
		r.Enqueue(Waiter{Deadline: ends, Team: "high"})
	}
	require.True(t, r.IsFirst(low))
}

// One team's callers come back by the dozen; others' still find room.
func TestATeamTakesHalfOfTheRoom(t *testing.T) {
	r := &WaitQueue{}
	taken := 0
	for !r.Full(96, 8, "many") {
		r.Enqueue(Waiter{Deadline: 1, Team: "many"})
		taken++
	}
	require.Equal(t, 3, taken)
	require.False(t, r.Full(96, 8, "other"))
	r.Enqueue(Waiter{Deadline: 1, Team: "other"})
	require.False(t, r.Full(96, 8, "third"))
	r.Enqueue(Waiter{Deadline: 1, Team: "third"})
	r.Enqueue(Waiter{Deadline: 1, Team: "fourth"})
	require.True(t, r.Full(96, 8, "fifth"))
}
