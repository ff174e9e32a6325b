package crashreplay

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

// Some requests crash every runner that starts them, and callers retry them at any gateway 70 ms
// after each error. For any fleet size, such a request must reach a runner at most three more times
// once three seconds have passed since its third crash. Harmless requests that share these runners
// and are retried must not be quarantined.
func TestOnlyRequestsThatCrashRunnersAreQuarantined(t *testing.T) {
	for _, c := range []Config{
		{Gateways: 3, Runners: 12, RequestsPerSecond: 60, CrashingRequests: 1},
		{Gateways: 8, Runners: 12, RequestsPerSecond: 60, CrashingRequests: 2},
		{Gateways: 8, Runners: 12, RequestsPerSecond: 100, CrashingRequests: 4},
		{Gateways: 8, Runners: 12, RequestsPerSecond: 100, CrashingRequests: 6},
		{Gateways: 27, Runners: 54, RequestsPerSecond: 280, CrashingRequests: 3, Loss: .05},
		{Gateways: 89, Runners: 144, RequestsPerSecond: 700, CrashingRequests: 4, Loss: .02},
		{Gateways: 8, Runners: 12, RequestsPerSecond: 60, CrashingRequests: 2, Retries: 4, CrashInterval: 2_000, Wave: 4, WaveGap: 150},
		{Gateways: 8, Runners: 12, RequestsPerSecond: 60, CrashingRequests: 1, CrashAfter: []clock.Millis{160}},
		{Gateways: 8, Runners: 12, RequestsPerSecond: 60, CrashingRequests: 1, CrashAfter: []clock.Millis{540}},
		{Gateways: 8, Runners: 12, RequestsPerSecond: 60, CrashingRequests: 2, CrashAfter: anyTime},
		{Gateways: 27, Runners: 54, RequestsPerSecond: 280, CrashingRequests: 3, Loss: .05, CrashAfter: anyTime},
	} {
		seeds := uint64(40)
		if c.Gateways > 20 {
			seeds = 4
		}
		c.Duration = 12_000
		c.Retries = max(c.Retries, 1)
		runCounts := map[int]int{}
		for seed := range seeds {
			c.Seed = seed
			f := Run(c)
			name := fmt.Sprintf("%+v", c)
			require.Empty(t, f.Quarantined, name)
			for n := range c.CrashingRequests {
				fingerprint := CrashingRequest(n)
				require.LessOrEqual(t, f.LateRuns[fingerprint], 3, name)
				runCounts[f.Runs[fingerprint]]++
			}
			require.Positive(t, f.Refused, name)
		}
		t.Logf("%d gateways, %d runners, %d crashing requests: runs per request %v", c.Gateways, c.Runners, c.CrashingRequests, runCounts)
	}
}

// Runners crash in waves for reasons unrelated to the requests, and callers retry interrupted
// requests up to four times. No request must be quarantined, however many crashes it meets. Where
// each runner crashes about every four seconds, fewer than one request in 50,000 may be.
func TestUnrelatedCrashesQuarantineNoRequest(t *testing.T) {
	for _, c := range []struct {
		Config
		maxQuarantined int
	}{
		{Config{Gateways: 3, Runners: 12, CrashInterval: 3_000, Wave: 2}, 0},
		{Config{Gateways: 8, Runners: 12, CrashInterval: 2_000, Wave: 3, WaveGap: 100}, 0},
		{Config{Gateways: 8, Runners: 12, CrashInterval: 3_000, Wave: 12, WaveGap: 120}, 0},
		{Config{Gateways: 8, Runners: 12, CrashInterval: 1_500, Wave: 8, WaveGap: 60}, 0},
		{Config{Gateways: 8, Runners: 4, CrashInterval: 500, Wave: 2, WaveGap: 50}, 0},
		{Config{Gateways: 8, Runners: 12, CrashInterval: 800, Wave: 3, WaveGap: 100}, 2},
	} {
		c.Duration, c.RequestsPerSecond, c.Retries = 20_000, 60, 4
		withThreeCrashes, quarantined, requests := 0, 0, 0
		for seed := range uint64(100) {
			c.Seed = seed
			f := Run(c.Config)
			quarantined += len(f.Quarantined)
			requests += len(f.Harmless)
			for _, n := range f.Crashed {
				if n >= 3 {
					withThreeCrashes++
				}
			}
		}
		require.LessOrEqual(t, quarantined, c.maxQuarantined, "%+v", c)
		t.Logf("%+v: %d of %d requests met three crashes or more, %d quarantined", c.Config, withThreeCrashes, requests, quarantined)
	}
}
