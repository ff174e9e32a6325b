package crashes

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
)

const (
	minute clock.Millis = 60_000
	start  clock.Millis = 1_000_000
)

// crashing is a machine with a request that has crashed so many runners, a second apart.
func crashing(crashes int) (m *Machine, bad Fingerprint, now clock.Millis) {
	m, bad, now = New(), simContent(1), start
	m.SetRunnerCount(12)
	for n := range crashes {
		m.AddReport(now, Report{Crash: Crash{Runner: fmt.Sprint(n)}, Fingerprint: bad, Phase: BeforeFirstEvent, At: now})
		now += 1_000
	}
	return m, bad, now
}

func TestThreeCrashesQuarantineForATerm(t *testing.T) {
	m, bad, now := crashing(2)
	require.Equal(t, Allowed, m.Evaluate(now, bad).Status)
	m, bad, now = crashing(3)
	verdict := m.Evaluate(now, bad)
	require.Equal(t, Quarantined, verdict.Status)
	require.Equal(t, now+firstTerm, verdict.Until)
	found := m.PopNewQuarantines()
	require.Len(t, found, 1)
	require.Empty(t, m.PopNewQuarantines(), "told once")
	require.Equal(t, Allowed, m.Evaluate(verdict.Until, bad).Status, "it ends")
	require.Equal(t, Allowed, m.Evaluate(now, simContent(2)).Status, "nobody else is meant")
}

// After its quarantine a request is tried again. If it crashes its runner, one crash is
// enough, and the next term is twice as long.
func TestACrashAfterAQuarantineDoublesItsTerm(t *testing.T) {
	m, bad, now := crashing(3)
	span := firstTerm
	for n := range 6 {
		verdict := m.Evaluate(now, bad)
		require.Equal(t, Quarantined, verdict.Status)
		require.Equal(t, span, verdict.Until-now, "term %d", n)
		now = verdict.Until + minute
		require.Equal(t, Allowed, m.Evaluate(now, bad).Status)
		m.AddReport(now, Report{Crash: Crash{Runner: fmt.Sprint("again", n)}, Fingerprint: bad, Phase: BeforeFirstEvent, At: now})
		span = min(2*span, longestTerm)
	}
}

func TestDoubtRestsAMoment(t *testing.T) {
	m, bad, now := crashing(2)
	at := now - 1_000
	verdict := m.Evaluate(at+10, bad)
	require.Equal(t, Delayed, verdict.Status)
	require.Equal(t, at+rest, verdict.Until)
	// Runners that crash for other reasons meanwhile put it off, up to a bound.
	for n := range 30 {
		now = at + clock.Millis(n)*100
		m.AddReport(now, Report{Crash: Crash{Runner: fmt.Sprint("other", n)}, At: now})
	}
	verdict = m.Evaluate(at+1_400, bad)
	require.Equal(t, Delayed, verdict.Status)
	require.Equal(t, at+longestRest, verdict.Until)
	require.Equal(t, Allowed, m.Evaluate(at+longestRest, bad).Status)
}

// A sound request shares three crashes with one that causes them. Once that one is known,
// nothing speaks against the sound one any more.
func TestACauseExplainsItsCrashes(t *testing.T) {
	m, bad, now := crashing(3)
	sound := simContent(2)
	for n := range 3 {
		at := start + clock.Millis(n)*1_000
		m.AddReport(now, Report{Crash: Crash{Runner: fmt.Sprint(n)}, Fingerprint: sound, Phase: BeforeFirstEvent, At: at})
	}
	require.Equal(t, Allowed, m.Evaluate(now+minute, sound).Status, "neither is ahead")
	require.Equal(t, Allowed, m.Evaluate(now+minute, bad).Status)
	for n := range 2 {
		m.AddReport(now+minute, Report{Crash: Crash{Runner: fmt.Sprint("more", n)}, Fingerprint: bad, Phase: BeforeFirstEvent, At: now + minute})
	}
	now += minute + settle
	require.Equal(t, Quarantined, m.Evaluate(now, bad).Status)
	for n := range 2 {
		m.AddReport(now, Report{Crash: Crash{Runner: fmt.Sprint("later", n)}, Fingerprint: sound, Phase: BeforeFirstEvent, At: now})
	}
	require.Equal(t, Allowed, m.Evaluate(now+minute, sound).Status, "two of its own, and three that are explained")
}

func TestAWholeAnswerClears(t *testing.T) {
	m, bad, now := crashing(3)
	require.Equal(t, Quarantined, m.Evaluate(now, bad).Status)
	m.Clear(now+1, Clearance{Fingerprint: bad, At: now + 1})
	require.Equal(t, Allowed, m.Evaluate(now+1, bad).Status)
	require.True(t, m.Empty())
	// News of before come late.
	m.AddReport(now+2, Report{Crash: Crash{Runner: "0"}, Fingerprint: bad, Phase: BeforeFirstEvent, At: start})
	require.False(t, m.ApplyQuarantine(now+2, Quarantine{Fingerprint: bad, Since: now, Until: now + minute, Count: 1}))
	require.True(t, m.Empty())
}

func TestAnotherDaemonsQuarantineHolds(t *testing.T) {
	m, bad := New(), simContent(1)
	require.True(t, m.ApplyQuarantine(start, Quarantine{Fingerprint: bad, Since: start - 10, Until: start + minute, Count: 1}))
	require.False(t, m.ApplyQuarantine(start, Quarantine{Fingerprint: bad, Since: start - 10, Until: start + minute, Count: 1}), "told twice")
	require.Equal(t, Verdict{Quarantined, start + minute}, m.Evaluate(start, bad))
	require.Len(t, m.Quarantines(start), 1)
	// One that lasts for years, or that has ended, comes from a clock or a program that errs.
	m.ApplyQuarantine(start, Quarantine{Fingerprint: bad, Since: start, Until: start + 1_000*longestTerm, Count: 2})
	require.Equal(t, start+longestTerm, m.Evaluate(start, bad).Until)
	require.False(t, m.ApplyQuarantine(start, Quarantine{Fingerprint: simContent(2), Since: start - minute, Until: start, Count: 1}))
}

func TestSignOf(t *testing.T) {
	for _, c := range []struct {
		name         string
		heard, asked clock.Millis
		streams      bool
		want         Phase
	}{
		{"no event", -1, 90, true, BeforeFirstEvent},
		{"no event, in a queue for long", -1, 3_000, true, BeforeFirstEvent},
		{"events for a moment", 200, 300, true, Early},
		{"events for long", youngSpan, 900, true, Late},
		{"a plain answer soon", -1, 90, false, BeforeFirstEvent},
		{"a plain answer that takes long", -1, youngSpan, false, Early},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, PhaseOf(c.heard, c.asked, c.streams)) })
	}
}

// Whatever is told, in whatever order: the bounds hold, what was cleared last isn't
// quarantined, every quarantine ends, and all is forgotten in the end.
func TestRapidBoundsAndEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, now := New(), start
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 5_000).Draw(t, "pause"))
			content := simContent(rapid.IntRange(0, 3_000).Draw(t, "content"))
			age := clock.Millis(rapid.IntRange(0, 60_000).Draw(t, "age"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				first := rapid.IntRange(0, 5_000).Draw(t, "first")
				for n := range rapid.IntRange(1, 60).Draw(t, "runs") {
					m.AddReport(now, Report{
						Crash:   Crash{Runner: fmt.Sprint(rapid.IntRange(0, 900).Draw(t, "runner"))},
						Fingerprint: simContent(first + n), Phase: Phase(rapid.IntRange(-1, 4).Draw(t, "sign")), At: now - age,
					})
				}
			case 1:
				m.ApplyQuarantine(now, Quarantine{
					Fingerprint: content, Since: now - age, Until: now + clock.Millis(rapid.Int64Range(-10, 1<<40).Draw(t, "left")),
					Count: rapid.IntRange(1, 5).Draw(t, "terms"),
				})
			case 2:
				m.Clear(now, Clearance{Fingerprint: content, At: now})
				require.NotEqual(t, Quarantined, m.Evaluate(now, content).Status)
			default:
				if verdict := m.Evaluate(now, content); verdict.Status != Allowed {
					require.Greater(t, verdict.Until, now)
					require.LessOrEqual(t, verdict.Until, now+longestTerm)
				}
			}
			require.LessOrEqual(t, len(m.suspects), mostContents)
			require.LessOrEqual(t, len(m.crashes), mostCrashes)
			require.LessOrEqual(t, len(m.cleared), mostContents)
		}
		now += longestTerm + memory + 1
		m.Expire(now)
		m.Expire(now + longestTerm + memory)
		require.True(t, m.Empty())
		require.Empty(t, m.crashes)
	})
}
