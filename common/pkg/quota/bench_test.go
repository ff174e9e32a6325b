package quota

import (
	"fmt"
	"runtime"
	"testing"

	"toucanhinge.example/common/pkg/clock"
)

// The size that is designed for: 1,900 teams at 380 gateways in 8 data centres, 11,000 requests a
// second.
const (
	benchTeams    = 1_900
	benchGateways = 380
	benchCentres  = 8
)

func benchMachine() (*Machine, []Limit) {
	m := New(Config{OverrunRatio: overage, OverrunRequests: slack})
	m.Begin(0, replayWindow)
	var limits []Limit
	for n := range benchTeams {
		l := Limit{Team: fmt.Sprintf("team-%d", n), Rate: 10, Burst: 10}
		limits = append(limits, l)
		m.Admit(1, l, Peers{Gateways: benchGateways, Age: relayedAge})
	}
	return m, limits
}

// BenchmarkAsk lets a request in.
func BenchmarkAsk(b *testing.B) {
	m, limits := benchMachine()
	now := clock.Millis(1)
	for n := range b.N {
		if n%29 == 0 {
			now += 1_000
		}
		m.Admit(now, limits[n%benchTeams], Peers{Gateways: benchGateways, Age: relayedAge})
	}
}

// BenchmarkHeardCentre takes over what a data centre tells: 33 counts, a third of which are new.
func BenchmarkHeardCentre(b *testing.B) {
	m, limits := benchMachine()
	const uses = 33
	now, sequence := clock.Millis(1), uint64(0)
	for n := range b.N {
		now++
		sequence++
		r := Report{Source: fmt.Sprint(n % benchCentres), Epoch: 1, Sequence: sequence, CountingFor: now}
		for i := range uses {
			r.Usage = append(r.Usage, TeamUsage{Team: IDOf(limits[(n/3+i)%benchTeams].Team), Count: int64(n / 3)})
		}
		m.ReceiveCentre(now, r)
	}
}

// BenchmarkMemory reports the bytes that a team takes.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m, _ := benchMachine()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/benchTeams, "bytes/team")
	runtime.KeepAlive(m)
}
