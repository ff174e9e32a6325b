package replica

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkPropose measures commands through three replicas on loopback with real syncs:
// commands per second and the latency of one caller.
func BenchmarkPropose(b *testing.B) {
	for _, size := range []int{200, 20_000} {
		for _, callers := range []int{1, 16, 128} {
			b.Run(fmt.Sprintf("bytes=%d/callers=%d", size, callers), func(b *testing.B) {
				benchmarkPropose(b, size, callers)
			})
		}
	}
}

func benchmarkPropose(b *testing.B, size, callers int) {
	cl := newCluster(b, 3, nil)
	for _, n := range cl.nodes {
		n.commandLog.discard.Store(true)
	}
	leader := cl.leader()
	waits := make([][]time.Duration, callers)
	var wg sync.WaitGroup
	b.ResetTimer()
	for caller := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			command := make([]byte, size)
			for i := caller; i < b.N; i += callers {
				start := time.Now()
				if _, err := leader.group.Propose(context.Background(), command); err != nil {
					b.Error(err)
					return
				}
				waits[caller] = append(waits[caller], time.Since(start))
			}
		}()
	}
	wg.Wait()
	b.StopTimer()
	all := slices.Concat(waits...)
	slices.Sort(all)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commands/s")
	b.ReportMetric(float64(all[len(all)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds())/1000, "p99-ms")
}

// BenchmarkRead measures quorum-confirmed reads.
func BenchmarkRead(b *testing.B) {
	cl := newCluster(b, 3, nil)
	leader := cl.leader()
	b.ResetTimer()
	for range b.N {
		require.NoError(b, leader.group.Read(context.Background()))
	}
}

// BenchmarkFailover measures the time from the loss of the leader to the next accepted
// command.
func BenchmarkFailover(b *testing.B) {
	cl := newCluster(b, 3, nil)
	cl.proposeUntilAccepted("first")
	var gaps []time.Duration
	for range b.N {
		old := cl.leader()
		start := time.Now()
		cl.stop(old)
		cl.proposeUntilAccepted("next")
		gaps = append(gaps, time.Since(start))
		cl.start(old)
		cl.waitForCommands(old, cl.leader().commandLog.all())
	}
	slices.Sort(gaps)
	b.ReportMetric(float64(gaps[len(gaps)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(gaps[len(gaps)*99/100].Milliseconds()), "p99-ms")
}
