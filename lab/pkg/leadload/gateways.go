package leadload

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/digest"
	"toucanhinge.example/common/pkg/occupancy"
	"toucanhinge.example/common/pkg/routing"
	"toucanhinge.example/common/pkg/runner"
	"toucanhinge.example/common/pkg/web"
	"toucanhinge.example/gateway/pkg/callproxy"
	"toucanhinge.example/gateway/pkg/core"
	"toucanhinge.example/gateway/pkg/updates"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

const (
	// firstEventDelay is the simulated prefill time until a runner's first event.
	firstEventDelay = 30 * time.Millisecond
	// maxReadWait is the long-poll timeout of a call that reads results, readInterval the pause
	// between two such calls.
	maxReadWait  = time.Second
	readInterval = 500 * time.Millisecond
	// eventTextBytes is the size of an event's text.
	eventTextBytes = 60
	// itemBodyBytes is the size of an item's request.
	itemBodyBytes = 400
)

// Gateways runs all gateways of a fleet in one process.
type Gateways struct {
	Addresses []string
	Fleet     Fleet

	finished atomic.Int64
	jobs     atomic.Int64
	runs     atomic.Int64
}

// Run generates the load until the context ends and returns a summary.
func (g *Gateways) Run(ctx context.Context) (string, error) {
	var exchanges []*digest.Exchange
	for i := range g.Fleet.Gateways {
		x, err := g.start(ctx, i)
		if err != nil {
			return "", err
		}
		exchanges = append(exchanges, x)
	}
	client := newClient(g.Addresses)
	g.setTable(ctx)
	var tasks sync.WaitGroup
	tasks.Go(func() { g.submitJobs(ctx, client, &tasks) })
	tasks.Go(func() { g.generateOnline(ctx, exchanges) })
	tasks.Wait()
	return fmt.Sprintf("%d jobs, %d results read, %d runs of items", g.jobs.Load(), g.finished.Load(), g.runs.Load()), nil
}

// start starts one gateway.
func (g *Gateways) start(ctx context.Context, i int) (*digest.Exchange, error) {
	mux := http.NewServeMux()
	server, err := web.Listen("127.0.0.1:0", mux)
	if err != nil {
		return nil, fmt.Errorf("listen for calls to the gateway: %w", err)
	}
	x, err := digest.Listen(digest.Config{
		Address: server.Address(), Source: fmt.Sprintf("gateway-%d", i), DataCentre: dataCentre(i), Clock: clock.System(), Logger: log.NewNopLogger(),
		Version: func() uint64 { return 1 },
	})
	if err != nil {
		return nil, fmt.Errorf("start digest exchange: %w", err)
	}
	proxy := callproxy.New(callproxy.Config{
		Client: runner.Client{Open: g.openCall}, Exchange: x, Unresponsive: x.Overdue, Clock: clock.System(), Logger: log.NewNopLogger(),
		Registerer: prometheus.NewRegistry(),
	})
	mux.Handle(toucanhingev1connect.NewCarryServiceHandler(proxy))
	publisher := updates.New(updates.Config{
		Boot: clock.Boot(), Registerer: prometheus.NewRegistry(),
		Usage: func() ([]*toucanhingev1.TeamUse, clock.Millis) { return nil, 0 },
	})
	mux.Handle(toucanhingev1connect.NewNewsServiceHandler(publisher))
	subscriber := core.New(core.Config{
		Publisher: publisher, Boot: clock.Boot(), OnFreshness: func(clock.Millis) {}, OnUsage: func([]*toucanhingev1.TeamUse, clock.Millis) {},
		Name: fmt.Sprintf("gateway-%d", i), DigestAddress: server.Address(), DataCentre: dataCentre(i), Core: newClient(g.Addresses),
		Logger: log.NewNopLogger(), OnTable: func(*routing.Table) {},
		OnFleet: func(f *toucanhingev1.FleetView) { x.SetPeers(digest.PeersOf(f)) },
		Seeds:   func() []string { return g.Addresses },
	})
	go func() { _ = server.Serve() }()
	go x.Run(ctx)
	go proxy.Run(ctx)
	go subscriber.Run(ctx)
	return x, nil
}

// openCall answers a call as a runner does: with events at regular intervals until the answer is
// complete or the caller disconnects.
func (g *Gateways) openCall(ctx context.Context, call runner.Call) (*runner.Answer, error) {
	g.runs.Add(1)
	source, sink := io.Pipe()
	go func() {
		timer := time.NewTimer(firstEventDelay)
		defer timer.Stop()
		for event := int(call.After) + 1; event <= g.Fleet.Events; event++ {
			select {
			case <-ctx.Done():
				_ = sink.CloseWithError(ctx.Err())
				return
			case <-timer.C:
				timer.Reset(eventInterval.Duration())
			}
			if _, err := fmt.Fprintf(sink, "id: %d\ndata: %0*d\n\n", event, eventTextBytes, event); err != nil {
				return
			}
		}
		_ = sink.Close()
	}()
	return &runner.Answer{Status: http.StatusOK, Body: source, Header: http.Header{}}, nil
}

func (g *Gateways) setTable(ctx context.Context) {
	for ctx.Err() == nil {
		for _, address := range g.Addresses {
			if g.postTable(ctx, address) == nil {
				return
			}
		}
		time.Sleep(readInterval / 5)
	}
}

// postTable requests a member to apply the routing table; only the leader accepts it.
func (g *Gateways) postTable(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	body := bytes.NewReader(nil)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+TablePath, body)
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	response, err := web.NewClient().Do(request)
	if err != nil {
		return fmt.Errorf("post the routing table: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("post the routing table: %s", response.Status)
	}
	return nil
}

// submitJobs submits jobs and reads the results of each.
func (g *Gateways) submitJobs(ctx context.Context, client *control.Client, tasks *sync.WaitGroup) {
	for n := 0; ctx.Err() == nil; n++ {
		delay := time.Duration(rand.ExpFloat64() / g.Fleet.Jobs * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		tasks.Go(func() { g.runJob(ctx, client, fmt.Sprintf("job-%d", n)) })
	}
}

// runJob submits one job and reads all of its results.
func (g *Gateways) runJob(ctx context.Context, client *control.Client, id string) {
	job := &toucanhingev1.SubmitJobRequest{Job: id, Host: host, Target: prefix + id}
	for i := range g.Fleet.Items {
		job.Items = append(job.Items, &toucanhingev1.JobItem{
			Id: fmt.Sprintf("%s-%d", id, i), Target: prefix + "x", Body: make([]byte, itemBodyBytes), Tokens: int64(300 + rand.IntN(400)),
		})
	}
	_, err := control.Call(ctx, client, 0, "submit-job", func(ctx context.Context, r *control.Replica) (*toucanhingev1.SubmitJobResponse, error) {
		answer, err := r.Core.SubmitJob(ctx, connect.NewRequest(job))
		if err != nil {
			return nil, err
		}
		return answer.Msg, nil
	})
	if err != nil {
		return
	}
	g.jobs.Add(1)
	after := uint32(0)
	for ctx.Err() == nil && int(after) < g.Fleet.Items {
		answer, err := control.Call(ctx, client, 0, "read", func(ctx context.Context, r *control.Replica) (*toucanhingev1.ReadListedResponse, error) {
			answer, err := r.Core.ReadListed(ctx, connect.NewRequest(&toucanhingev1.ReadListedRequest{
				Job: id, After: after, WaitMs: uint32(maxReadWait.Milliseconds()), MostBytes: 1 << 20,
			}))
			if err != nil {
				return nil, err
			}
			return answer.Msg, nil
		})
		if err == nil {
			after += uint32(len(answer.GetResults()))
			g.finished.Add(int64(len(answer.GetResults())))
		}
		time.Sleep(readInterval)
	}
}

// generateOnline reports the start and end of online requests, each at a random gateway and at the
// less loaded of two random runners.
func (g *Gateways) generateOnline(ctx context.Context, exchanges []*digest.Exchange) {
	runners := g.Fleet.runnerList()
	startedAt := time.Now()
	for ctx.Err() == nil {
		rate := g.Fleet.onlineRate(clock.Millis(time.Since(startedAt).Milliseconds()))
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		x, id := exchanges[rand.IntN(len(exchanges))], g.lessLoadedRunner(exchanges[0], runners)
		x.Add(id, occupancy.Load{Online: 1})
		time.AfterFunc(onlineDuration.Duration(), func() { x.Add(id, occupancy.Load{Online: -1}) })
	}
}

// lessLoadedRunner returns the less loaded of two random runners.
func (g *Gateways) lessLoadedRunner(x *digest.Exchange, runners []*toucanhingev1.Runner) string {
	a, b := runners[rand.IntN(len(runners))].GetId(), runners[rand.IntN(len(runners))].GetId()
	x.View(func(t *occupancy.Table) {
		if t.Load(b).Online < t.Load(a).Online {
			a = b
		}
	})
	return a
}
