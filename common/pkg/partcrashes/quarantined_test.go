package partcrashes

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/crashes"
	"toucanhinge.example/common/pkg/lateruns"
	"toucanhinge.example/common/pkg/prompt"
)

// waitForTrial evaluates a request until it may run, for up to a span, and returns whether it may.
func (f *fixture) waitForTrial(c *Candidate, span clock.Millis) bool {
	for until := f.now + span; f.now < until; f.now += recheckInterval {
		verdict, trials := f.Evaluate(f.now, *c)
		if len(trials) > 0 {
			c.Trial = trials[0].ID
		}
		if verdict.Status == crashes.Allowed {
			return true
		}
	}
	return false
}

// quarantineAlone returns a machine that knows of a part whose requests crash runners while nothing else is answered.
func quarantineAlone(t *testing.T, parts ...prompt.PartID) *fixture {
	t.Helper()
	f := &fixture{Machine: New(Config{Name: "gateway"}), now: start}
	for n := range sufficientAlone {
		f.now += momentSpan + 1
		f.AddReport(f.now, f.report(fmt.Sprint("runner ", n), fmt.Sprint(n), parts...))
	}
	require.Equal(t, crashes.Quarantined, f.settledStatus(parts...))
	return f
}

// tryAndCrash lets a request try its parts at the end of the quarantine and reports that it crashed its runner.
func (f *fixture) tryAndCrash(n int, parts ...prompt.PartID) bool {
	c := Candidate{Request: crashes.FingerprintOf("", "", fmt.Sprint("try ", n), nil), Parts: parts}
	if !f.waitForTrial(&c, 2*maxAlone) {
		return false
	}
	f.now += 100
	f.trial = c.Trial
	f.AddReport(f.now, f.report(fmt.Sprint("trial ", n), fmt.Sprint("try ", n), parts...))
	return true
}

// Guards against a part that uses up what may run while nothing else is answered, so that a harmless one stays blamed for a day
// after its runners are mended.
func TestLastTrialIsKeptUntilSomethingElseIsAnswered(t *testing.T) {
	f := quarantineAlone(t, "first", bad)
	tried := 0
	for f.tryAndCrash(tried, "first", bad) {
		tried++
	}
	require.Equal(t, lateruns.Max-1, tried)
	f.answer("first", "topic")
	c := Candidate{Parts: []prompt.PartID{"first", bad}}
	require.True(t, f.waitForTrial(&c, 2*maxAlone), "the runners answer again")
	f.answer("first", bad)
	require.True(t, f.Empty())
}

// Guards against all requests of a caller being refused for long because its part is at every crash while nothing else is
// answered.
func TestFirstPartIsTriedEachFewSecondsWhileNothingElseIsAnswered(t *testing.T) {
	f := quarantineAlone(t, caller)
	for n := range 10 {
		c := Candidate{Request: crashes.FingerprintOf("", "", fmt.Sprint("try ", n), nil), Parts: []prompt.PartID{caller}}
		require.True(t, f.waitForTrial(&c, initialAlone+trialSpread+2*claimDelay), "try %d", n)
		f.now += 100
		f.trial = c.Trial
		f.AddReport(f.now, f.report(fmt.Sprint("trial ", n), fmt.Sprint("try ", n), caller))
	}
	require.Zero(t, f.LateCount(f.now, caller), "these runs say nothing of the part")
	f.answer("other")
	c := Candidate{Parts: []prompt.PartID{caller}}
	require.True(t, f.waitForTrial(&c, 2*maxAlone))
}

// Guards against two requests at two daemons that become the trial at the same time: each would crash a runner.
func TestOneOfSeveralClaimsBegins(t *testing.T) {
	first, second := newFixture(), newFixture()
	second.config.Name = "other gateway"
	for _, f := range []*fixture{first, second} {
		for _, request := range []string{"a", "b", "c"} {
			f.crash(request, caller, bad)
		}
		require.Equal(t, crashes.Quarantined, f.status(caller, bad))
		f.now = f.Quarantines()[0].Until + trialSpread
	}
	candidates := []Candidate{{Parts: []prompt.PartID{caller, bad}}, {Parts: []prompt.PartID{caller, bad}}}
	begun := 0
	for at := first.now; at < first.now+trialSpread+2*claimDelay; at += 10 {
		var messages [2][]Trial
		for n, f := range []*fixture{first, second} {
			verdict, trials := f.Evaluate(at, candidates[n])
			if len(trials) > 0 {
				candidates[n].Trial = trials[0].ID
				messages[n] = trials
			}
			if verdict.Status == crashes.Allowed && len(trials) > 0 {
				begun++
			}
		}
		// What both send arrives after both have decided.
		for n, f := range []*fixture{second, first} {
			for _, trial := range messages[n] {
				f.ApplyTrial(trial)
			}
			for _, q := range []*fixture{first, second}[n].PopNewQuarantines() {
				f.ApplyQuarantine(at, q)
			}
		}
	}
	require.Equal(t, 1, begun)
}

// Guards against a request that is refused behind its own announcement: the quarantine that ended is heard of once more, a few
// milliseconds later by another way, between the announcement of the request's trial and its beginning.
func TestAnnouncedTrialOutlivesRepeatedQuarantine(t *testing.T) {
	const jitter clock.Millis = 5
	f := quarantineAlone(t, "first", bad)
	require.True(t, f.tryAndCrash(0, "first", bad))
	c := Candidate{Request: crashes.FingerprintOf("", "", "sound", nil), Parts: []prompt.PartID{"first", bad}}
	for until := f.now + 2*maxAlone; f.now < until && c.Trial == 0; f.now += recheckInterval {
		if _, trials := f.Evaluate(f.now, c); len(trials) > 0 {
			c.Trial = trials[0].ID
		}
	}
	require.NotZero(t, c.Trial, "announced")
	for _, q := range f.Quarantines() {
		q.Until += jitter
		f.ApplyQuarantine(f.now, q)
	}
	require.True(t, f.waitForTrial(&c, 3*claimDelay))
}

// Guards against a harmless part that stays blamed because the requests that were to try it found no runner.
func TestTrialThatReachedNoRunnerDoesNotCount(t *testing.T) {
	f := newFixture()
	for n := range knownCrashes {
		f.crash(fmt.Sprint(n), caller, bad)
	}
	require.Equal(t, crashes.Quarantined, f.status(caller, bad))
	f.now = f.Quarantines()[0].Until
	for range 2 * lateruns.Max {
		c := Candidate{Parts: []prompt.PartID{caller, bad}}
		require.True(t, f.waitForTrial(&c, 2*trialSpread+2*claimDelay))
		require.Equal(t, 1, f.LateCount(f.now, bad))
		f.ReturnTrial(bad, c.Trial)
		require.Zero(t, f.LateCount(f.now, bad))
		f.now += 1_000
	}
}

// Guards against a daemon that counts anew: one that learns of a quarantine only, after its end.
func TestEndedQuarantineTellsWhatHasRun(t *testing.T) {
	f := newFixture()
	for n := range knownCrashes {
		f.crash(fmt.Sprint(n), caller, bad)
	}
	require.Equal(t, crashes.Quarantined, f.status(caller, bad))
	f.now = f.Quarantines()[0].Until
	for n := range lateruns.Max {
		c := Candidate{Request: crashes.FingerprintOf("", "", fmt.Sprint("try ", n), nil), Parts: []prompt.PartID{caller, bad}}
		require.True(t, f.waitForTrial(&c, 2*crashes.MaxQuarantine))
		f.trial = c.Trial
		f.crash(fmt.Sprint("try ", n), caller, bad)
	}
	f.now += 2 * crashes.MaxQuarantine
	started := &fixture{Machine: New(Config{Name: "started"}), now: f.now}
	for _, q := range f.Quarantines() {
		started.ApplyQuarantine(started.now, q)
	}
	require.Equal(t, lateruns.Max, started.LateCount(started.now, bad))
	require.Equal(t, crashes.Quarantined, started.status(caller, bad))
}

// Guards against evidence that is lost among crashes for other reasons while requests with the part come slowly.
func TestUnrelatedCrashesDoNotDisplaceEvidence(t *testing.T) {
	f := newFixture()
	f.crash("first", caller, bad)
	for n := range 4 {
		f.crash(fmt.Sprint(n), caller, bad)
		for k := range maxCrashes {
			f.now += 100
			f.AddReport(f.now, f.report(fmt.Sprint("other ", n, k), fmt.Sprint("other ", n, k), prompt.PartID(fmt.Sprint("session ", n, k))))
		}
		f.now += 10 * 60_000
	}
	require.Equal(t, 5, f.CrashCount(bad))
}
