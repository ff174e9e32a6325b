package crashreplay

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/prompt"
)

// anyTime are times from the first event of an answer until its runner crashes, soon or late.
var anyTime = []clock.Millis{20, 160, 540, 1_300}

const (
	// knownCrashes is the number of crashes after which all gateways must know a part within noticeLimit, and
	// maxLateRuns the number of requests with it that may reach runners later.
	knownCrashes = 5
	maxLateRuns  = 3
	// servedLimit is the time after those crashes from which on other requests must be served as usual, minServed the
	// least share of them that must begin at the first attempt, relative to the usual share.
	servedLimit = 2 * noticeLimit
	minServed   = 0.5
	// minCounted is the number of requests from which on a share says something.
	minCounted = 20
)

// partResult sums up replays with the same configuration.
type partResult struct {
	crashes, maxCrashes, maxLate, quarantined, parts int
	leastServed                                      float64
}

func (r *partResult) add(t *testing.T, f *Fleet, name string) {
	t.Helper()
	r.quarantined += len(f.QuarantinedParts)
	for n := range f.config.Parts.Crashing {
		part := CrashingPart(n)
		r.parts++
		r.crashes += len(f.PartCrashes[part])
		r.maxCrashes = max(r.maxCrashes, len(f.PartCrashes[part]))
		late := f.lateRuns(part)
		r.maxLate = max(r.maxLate, late)
		require.LessOrEqual(t, late, maxLateRuns, name)
		if share, counted := f.servedShare(part); counted {
			r.leastServed = min(r.leastServed, share)
			require.GreaterOrEqual(t, share, minServed, name)
		}
	}
}

// knownAt returns the time of the crash after which all gateways must know a part, false if it crashed no runner.
func (f *Fleet) knownAt(part prompt.PartID) (at clock.Millis, crashed bool) {
	times := f.PartCrashes[part]
	if len(times) == 0 {
		return 0, false
	}
	return times[min(len(times), knownCrashes)-1], true
}

// lateRuns counts the requests with a part that reached runners although all gateways had to know it.
func (f *Fleet) lateRuns(part prompt.PartID) (late int) {
	known, crashed := f.knownAt(part)
	for _, at := range f.PartSent[part] {
		if crashed && len(f.PartCrashes[part]) >= knownCrashes && at > known+noticeLimit {
			late++
		}
	}
	return late
}

// servedShare returns the share of the harmless requests that begin at the first attempt while requests with a known
// part arrive, relative to the share before; counted is false if there are too few of them.
func (f *Fleet) servedShare(part prompt.PartID) (share float64, counted bool) {
	known, crashed := f.knownAt(part)
	from := f.start + f.config.Parts.CrashingFrom
	usual, before := f.began(f.start, from)
	during, after := f.began(known+servedLimit, from+f.config.Parts.CrashingSpan)
	if !crashed || before < minCounted || after < minCounted {
		return 0, false
	}
	return during / usual, true
}

func (f *Fleet) began(from, to clock.Millis) (share float64, sent int) {
	began := 0
	for _, a := range f.Attempts {
		if a.At < from || a.At >= to {
			continue
		}
		sent++
		if a.Began {
			began++
		}
	}
	return float64(began) / float64(max(sent, 1)), sent
}

// Guards against parts of prompts that crash runners under ever new requests, and against cures that refuse requests
// with other parts or delay them all, with unrelated crashes and without.
func TestOnlyPartsThatCrashRunnersAreQuarantined(t *testing.T) {
	usual := Parts{Topics: 40, Crashing: 1, CrashingPerSecond: 8, CrashingFrom: 4_000, CrashingSpan: 12_000}
	with := func(change func(*Parts)) Parts {
		p := usual
		change(&p)
		return p
	}
	sessions := with(func(p *Parts) { p.Sessions = .7 })
	for _, c := range []struct {
		name string
		Config
		// maxQuarantined is the number of harmless parts that may be quarantined in all seeds.
		maxQuarantined int
	}{
		{"calm", Config{Gateways: 8, Runners: 12, RequestsPerSecond: 50, Parts: usual}, 0},
		{"three gateways", Config{Gateways: 3, Runners: 12, RequestsPerSecond: 50, Parts: usual}, 0},
		{"lost datagrams", Config{Gateways: 8, Runners: 12, RequestsPerSecond: 50, Loss: .05, Parts: usual}, 0},
		{"sessions", Config{Gateways: 8, Runners: 12, RequestsPerSecond: 50, Parts: sessions}, 0},
		{"few crashing requests", Config{Gateways: 8, Runners: 12, RequestsPerSecond: 50, Parts: with(func(p *Parts) {
			p.CrashingPerSecond, p.CrashingSpan = .4, 40_000
		})}, 0},
		{"many crashing requests", Config{Gateways: 8, Runners: 12, RequestsPerSecond: 50, Parts: with(func(p *Parts) {
			p.CrashingPerSecond = 40
		})}, 0},
		{"two parts at once", Config{Gateways: 8, Runners: 12, RequestsPerSecond: 50, Parts: with(func(p *Parts) { p.Crashing = 2 })}, 0},
		{"two parts that never come apart", Config{Gateways: 8, Runners: 12, RequestsPerSecond: 50, Parts: with(func(p *Parts) {
			p.Paired = true
		})}, 0},
		{"crashes after the first event", Config{Gateways: 8, Runners: 12, RequestsPerSecond: 50, CrashAfter: []clock.Millis{40}, Parts: usual}, 0},
		{"crashes soon after the first event", Config{Gateways: 8, Runners: 12, RequestsPerSecond: 50, CrashAfter: []clock.Millis{160}, Parts: usual}, 0},
		{"late crashes", Config{Gateways: 8, Runners: 12, RequestsPerSecond: 50, CrashAfter: []clock.Millis{540}, Parts: usual}, 0},
		{"crashes at any time", Config{Gateways: 8, Runners: 12, RequestsPerSecond: 50, CrashAfter: anyTime, Parts: usual}, 0},
		{"few requests that crash at any time", Config{Gateways: 8, Runners: 12, RequestsPerSecond: 50, CrashAfter: anyTime, Parts: with(func(p *Parts) {
			p.CrashingPerSecond, p.CrashingSpan = .4, 40_000
		})}, 0},
		{"crashes at any time among 54 runners", Config{Gateways: 27, Runners: 54, RequestsPerSecond: 280, Loss: .05, CrashAfter: anyTime, Parts: usual}, 0},
		{"no other requests", Config{Gateways: 8, Runners: 12, RequestsPerSecond: 1, Parts: usual}, 0},
		{"unrelated crashes", Config{Gateways: 8, Runners: 12, RequestsPerSecond: 50, CrashInterval: 3_000, Wave: 4, WaveGap: 150, Parts: usual}, 0},
		{"unrelated crashes and sessions", Config{Gateways: 8, Runners: 12, RequestsPerSecond: 50, CrashInterval: 3_000, Wave: 4, WaveGap: 150, Parts: sessions}, 0},
		{"few crashing requests and unrelated crashes", Config{
			Gateways: 8, Runners: 12, RequestsPerSecond: 50, CrashInterval: 3_000, Wave: 4, WaveGap: 150,
			Parts: with(func(p *Parts) { p.CrashingPerSecond, p.CrashingSpan = .4, 40_000 }),
		}, 0},
		{"54 runners", Config{Gateways: 27, Runners: 54, RequestsPerSecond: 280, Loss: .05, Parts: usual}, 0},
		{"144 runners", Config{Gateways: 89, Runners: 144, RequestsPerSecond: 700, Loss: .02, Parts: sessions}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			seeds := uint64(60)
			if c.Gateways > 20 {
				seeds = 4
			}
			c.Retries = 1
			c.Duration = c.Parts.CrashingFrom + c.Parts.CrashingSpan + 2_000
			r := partResult{leastServed: 1}
			for seed := range seeds {
				c.Seed = seed
				r.add(t, Run(c.Config), fmt.Sprintf("seed %d", seed))
			}
			t.Logf("crashes by a part: mean %.1f, most %d; late runs, most %d; least share served %.2f; harmless parts quarantined %d in %d seeds",
				float64(r.crashes)/float64(r.parts), r.maxCrashes, r.maxLate, r.leastServed, r.quarantined, seeds)
			require.LessOrEqual(t, r.quarantined, c.maxQuarantined)
		})
	}
}

// Guards against parts that are quarantined because runners crash for other reasons.
func TestUnrelatedCrashesQuarantineNoPart(t *testing.T) {
	for _, sessions := range []float64{0, .7} {
		for _, c := range []Config{
			{Gateways: 8, Runners: 12, CrashInterval: 3_000, Wave: 4, WaveGap: 150},
			{Gateways: 8, Runners: 12, CrashInterval: 2_000, Wave: 3, WaveGap: 100},
			{Gateways: 8, Runners: 12, CrashInterval: 3_000, Wave: 12, WaveGap: 120},
			{Gateways: 8, Runners: 12, CrashInterval: 1_500, Wave: 8, WaveGap: 60},
			{Gateways: 8, Runners: 4, CrashInterval: 500, Wave: 2, WaveGap: 50},
			{Gateways: 8, Runners: 12, CrashInterval: 800, Wave: 3, WaveGap: 100},
			{Gateways: 24, Runners: 49, CrashInterval: 3_000, Wave: 30, WaveGap: 1, RequestsPerSecond: 210},
			{Gateways: 24, Runners: 49, CrashInterval: 2_000, Wave: 20, WaveGap: 1, RequestsPerSecond: 210},
		} {
			c.Duration, c.Retries = 20_000, 4
			seeds := uint64(60)
			if c.Gateways > 20 {
				seeds = 6
			}
			if c.RequestsPerSecond == 0 {
				c.RequestsPerSecond = 60
			}
			c.Parts = Parts{Topics: 40, Sessions: sessions}
			quarantined, refused, parts := 0, 0, 0
			for seed := range seeds {
				c.Seed = seed
				f := Run(c)
				quarantined += len(f.QuarantinedParts)
				refused += f.Refused
				parts += c.Parts.Topics
			}
			t.Logf("sessions %.1f, waves of %d each %d ms: %d parts quarantined, %d attempts refused in %d seeds", sessions, c.Wave, c.CrashInterval, quarantined, refused, seeds)
			require.Zero(t, quarantined, "%+v", c)
		}
	}
}
