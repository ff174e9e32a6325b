package app

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/control"
	jobname "toucanhinge.example/common/pkg/job"
	"toucanhinge.example/common/pkg/web"
	"toucanhinge.example/common/pkg/fleetconfig"
	"toucanhinge.example/control/pkg/config"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	benchItems    = 100_000
	benchSidecars = 96
)

// BenchmarkItems uploads, leases, completes and reads 100,000 items on three control
// processes of this machine, over loopback and with disk syncs.
func BenchmarkItems(b *testing.B) {
	for _, groups := range []uint32{2, 5} {
		for _, maxItems := range []uint32{1, 8, 64} {
			b.Run(fmt.Sprintf("jobgroups=%d/lease=%d", groups-1, maxItems), func(b *testing.B) {
				for range b.N {
					benchGroups(b, groups, maxItems)
				}
			})
		}
	}
}

func benchGroups(b *testing.B, groups, maxItems uint32) {
	c := newCluster(b, 3, func(s *config.Config) { s.Groups = groups })
	c.createContract()
	jobs := groups - jobname.FirstGroup
	keys := make([]string, jobs)
	for g := range keys {
		for n := 0; ; n++ {
			keys[g] = fmt.Sprintf("lot-%d", n)
			if at, _ := jobname.GroupOf(jobname.ID("agence", keys[g], groups)); at == uint32(g+jobname.FirstGroup) {
				break
			}
		}
	}
	start := time.Now()
	runConcurrently(len(keys), func(g int) { benchUpload(b, c, keys[g], groups, benchItems/len(keys)) })
	b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms-upload")

	var completed atomic.Int64
	start = time.Now()
	runConcurrently(benchSidecars, func(s int) {
		group := uint32(s)%jobs + jobname.FirstGroup
		client := control.New(control.Config{Addresses: addresses(c), HTTP: web.NewClient()})
		for benchRound(b, client, group, fmt.Sprintf("s%d", s), maxItems, &completed) {
		}
	})
	elapsed := time.Since(start)
	require.EqualValues(b, benchItems, completed.Load())
	b.ReportMetric(float64(benchItems)/elapsed.Seconds(), "items/s")

	start = time.Now()
	read := 0
	for _, key := range keys {
		read += benchResults(b, c, jobname.ID("agence", key, groups))
	}
	require.Equal(b, benchItems, read)
	b.ReportMetric(float64(benchItems)/time.Since(start).Seconds(), "results/s")
}

func runConcurrently(count int, run func(int)) {
	var all sync.WaitGroup
	for i := range count {
		all.Add(1)
		go func() {
			defer all.Done()
			run(i)
		}()
	}
	all.Wait()
}

func addresses(c *cluster) []string {
	var list []string
	for _, n := range c.nodes {
		list = append(list, n.settings.Listen)
	}
	return list
}

func groupOfKey(key string, groups uint32) uint32 {
	group, _ := jobname.GroupOf(jobname.ID("agence", key, groups))
	return group
}

func benchUpload(b *testing.B, c *cluster, key string, groups uint32, items int) {
	for attempt := 0; ; attempt++ {
		replica := c.client.Leader(groupOfKey(key, groups))
		_, err := uploadItems(context.Background(), replica, key, items)
		if err == nil {
			return
		}
		if _, refused := control.LeaderOf(err); !refused || attempt > 100 {
			require.NoError(b, err)
		}
		_, _ = control.Call(context.Background(), c.client, groupOfKey(key, groups), "find",
			func(ctx context.Context, r *control.Replica) (*connect.Response[toucanhingev1.RenewResponse], error) {
				return r.Work.Renew(ctx, connect.NewRequest(&toucanhingev1.RenewRequest{Sidecar: "x", Group: groupOfKey(key, groups)}))
			})
	}
}

func benchRound(b *testing.B, client *control.Client, group uint32, sidecar string, maxItems uint32, completed *atomic.Int64) bool {
	ctx := context.Background()
	answer, err := control.Call(ctx, client, group, "lease",
		func(ctx context.Context, r *control.Replica) (*connect.Response[toucanhingev1.LeaseResponse], error) {
			return r.Work.Lease(ctx, connect.NewRequest(&toucanhingev1.LeaseRequest{
				Sidecar: sidecar, Incarnation: 1, Service: "servitudes-llm", Group: group, Most: maxItems,
			}))
		})
	require.NoError(b, err)
	if len(answer.Msg.GetItems()) == 0 {
		return false
	}
	request := &toucanhingev1.CompleteRequest{Sidecar: sidecar, Group: group}
	body := make([]byte, 200)
	for _, l := range answer.Msg.GetItems() {
		request.Completions = append(request.Completions, &toucanhingev1.Completion{
			Job: l.GetJob(), Index: l.GetIndex(), Lease: l.GetLease(), Outcome: toucanhingev1.Outcome_OUTCOME_DONE, Body: body,
		})
	}
	verdicts, err := control.Call(ctx, client, group, "complete",
		func(ctx context.Context, r *control.Replica) (*connect.Response[toucanhingev1.CompleteResponse], error) {
			return r.Work.Complete(ctx, connect.NewRequest(request))
		})
	require.NoError(b, err)
	for _, verdict := range verdicts.Msg.GetVerdicts() {
		if verdict == toucanhingev1.Verdict_VERDICT_ACCEPTED {
			completed.Add(1)
		}
	}
	return true
}

func benchResults(b *testing.B, c *cluster, id string) int {
	group, _ := jobname.GroupOf(id)
	read, err := control.Call(context.Background(), c.client, group, "results", func(ctx context.Context, r *control.Replica) (int, error) {
		read := 0
		stream, err := r.Jobs.ReadResults(ctx, connect.NewRequest(&toucanhingev1.ReadResultsRequest{Team: "agence", Id: id}))
		if err != nil {
			return 0, err
		}
		defer func() { _ = stream.Close() }()
		for stream.Receive() {
			read += len(stream.Msg().GetResults())
		}
		return read, stream.Err()
	})
	require.NoError(b, err)
	return read
}

// BenchmarkRestart measures the time from a control VM's restart to its first confirmed
// read, with 1,000 configuration changes and 100,000 items, half of them done.
func BenchmarkRestart(b *testing.B) {
	for range b.N {
		c := newCluster(b, 1, nil)
		c.createContract()
		for n := range 1_000 {
			c.apply(fmt.Sprintf("change-%d", n), &toucanhingev1.Entry{
				Kind: toucanhingev1.Kind_KIND_TEAM, Name: fmt.Sprintf("team-%d", n), Body: &toucanhingev1.Entry_Team{Team: &toucanhingev1.TeamRecord{}},
			})
		}
		_, err := c.upload("lot", benchItems)
		require.NoError(b, err)
		for done := 0; done < benchItems/2; {
			leased := c.lease(256)
			c.complete(leased)
			done += len(leased)
		}
		c.nodes[0].crash()
		start := time.Now()
		c.nodes[0].start(b)
		for _, group := range []uint32{0, 1} {
			_, err := control.Call(c.context(), c.client, group, "ready", func(ctx context.Context, r *control.Replica) (struct{}, error) {
				if group == 0 {
					_, err := r.Fleet.Floor(ctx, connect.NewRequest(&toucanhingev1.FloorRequest{}))
					return struct{}{}, err
				}
				_, err := r.Work.Renew(ctx, connect.NewRequest(&toucanhingev1.RenewRequest{Sidecar: "x", Group: group}))
				return struct{}{}, err
			})
			require.NoError(b, err)
		}
		b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms-restart")
	}
}

// BenchmarkSpread measures the time until 100 watchers of three control VMs have
// applied a configuration change.
func BenchmarkSpread(b *testing.B) {
	const watchers, changes = 100, 60
	for range b.N {
		c := newCluster(b, 3, nil)
		c.createContract()
		ctx, cancel := context.WithCancel(context.Background())
		var mu sync.Mutex
		acceptedAt, latencies := map[uint64]time.Time{}, []time.Duration{}
		var running sync.WaitGroup
		for n := range watchers {
			w := control.NewWatcher(control.WatcherConfig{
				Client: control.New(control.Config{Addresses: addresses(c), HTTP: web.NewClient()}), Process: fmt.Sprint(n),
				Logger: log.NewNopLogger(),
				Changed: func(f *fleetconfig.Fleet) {
					mu.Lock()
					defer mu.Unlock()
					if at, known := acceptedAt[f.Version]; known {
						latencies = append(latencies, time.Since(at))
					}
				},
			})
			running.Add(1)
			go func() { defer running.Done(); w.Run(ctx) }()
			<-w.Started()
		}
		for n := range changes {
			mu.Lock()
			acceptedAt[uint64(4+n)] = time.Now()
			mu.Unlock()
			c.apply(fmt.Sprintf("change-%d", n), &toucanhingev1.Entry{
				Kind: toucanhingev1.Kind_KIND_TEAM, Name: fmt.Sprintf("team-%d", n), Body: &toucanhingev1.Entry_Team{Team: &toucanhingev1.TeamRecord{}},
			})
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Second)
		cancel()
		running.Wait()
		mu.Lock()
		slices.Sort(latencies)
		require.NotEmpty(b, latencies)
		b.ReportMetric(float64(len(latencies))/watchers/changes, "seen/expected")
		b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1e3, "ms-p50")
		b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds())/1e3, "ms-p99")
		mu.Unlock()
	}
}

// BenchmarkFailover crashes the leader of the configuration group and measures the time
// until a new leader is elected and until the next change is accepted.
func BenchmarkFailover(b *testing.B) {
	const crashes = 20
	for range b.N {
		c := newCluster(b, 3, nil)
		c.createContract()
		var latencies, elected []time.Duration
		var elections sync.WaitGroup
		for n := range crashes {
			var leader *node
			require.Eventually(b, func() bool { leader = c.leader(0); return leader != nil }, testTimeout, pollInterval)
			leader.crash()
			start := time.Now()
			elections.Add(1)
			go func() {
				defer elections.Done()
				for c.leader(0) == nil {
					time.Sleep(pollInterval)
				}
				elected = append(elected, time.Since(start))
			}()
			c.apply(fmt.Sprintf("change-%d", n), &toucanhingev1.Entry{
				Kind: toucanhingev1.Kind_KIND_TEAM, Name: fmt.Sprintf("team-%d", n), Body: &toucanhingev1.Entry_Team{Team: &toucanhingev1.TeamRecord{}},
			})
			elections.Wait()
			latencies = append(latencies, time.Since(start))
			leader.start(b)
			time.Sleep(500 * time.Millisecond)
		}
		slices.Sort(latencies)
		b.ReportMetric(float64(latencies[len(latencies)/2].Milliseconds()), "ms-p50")
		b.ReportMetric(float64(latencies[len(latencies)-1].Milliseconds()), "ms-max")
		slices.Sort(elected)
		b.ReportMetric(float64(elected[len(elected)/2].Milliseconds()), "ms-elected-p50")
		b.ReportMetric(float64(elected[len(elected)-1].Milliseconds()), "ms-elected-max")
	}
}
