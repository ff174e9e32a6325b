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
	// firstEvent is how long a runner reads a prompt.
	firstEvent = 30 * time.Millisecond
	// readWait is how long a reader of results may be kept waiting, readEvery how often it
	// asks.
	readWait  = time.Second
	readEvery = 500 * time.Millisecond
	// eventBytes is the size of an event's text.
	eventBytes = 60
	// bodyBytes is the size of an item's request.
	bodyBytes = 400
)

// Gateways is all gateways of a fleet, in one process.
type Gateways struct {
	Addresses []string
	Fleet     Fleet

	finished atomic.Int64
	jobs     atomic.Int64
	runs     atomic.Int64
}

// Run plays the load until the context ends, and returns what came of it.
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
	var duties sync.WaitGroup
	duties.Go(func() { g.submit(ctx, client, &duties) })
	duties.Go(func() { g.online(ctx, exchanges) })
	duties.Wait()
	return fmt.Sprintf("%d jobs, %d results read, %d runs of items", g.jobs.Load(), g.finished.Load(), g.runs.Load()), nil
}

// start begins one gateway.
func (g *Gateways) start(ctx context.Context, i int) (*digest.Exchange, error) {
	mux := http.NewServeMux()
	server, err := web.Listen("127.0.0.1:0", mux)
	if err != nil {
		return nil, fmt.Errorf("serve: %w", err)
	}
	x, err := digest.Listen(digest.Config{
		Address: server.Address(), Source: fmt.Sprintf("gateway-%d", i), DataCentre: dataCentre(i), Clock: clock.System(), Logger: log.NewNopLogger(),
		Version: func() uint64 { return 1 },
	})
	if err != nil {
		return nil, fmt.Errorf("exchange: %w", err)
	}
	carried := callproxy.New(callproxy.Config{
		Client: runner.Client{Open: g.answer}, Exchange: x, Unresponsive: x.Overdue, Clock: clock.System(), Logger: log.NewNopLogger(),
		Registerer: prometheus.NewRegistry(),
	})
	mux.Handle(toucanhingev1connect.NewCarryServiceHandler(carried))
	board := updates.New(updates.Config{
		Boot: clock.Boot(), Registerer: prometheus.NewRegistry(),
		Usage: func() ([]*toucanhingev1.TeamUse, clock.Millis) { return nil, 0 },
	})
	mux.Handle(toucanhingev1connect.NewNewsServiceHandler(board))
	follower := core.New(core.Config{
		Publisher: board, Boot: clock.Boot(), OnFreshness: func(clock.Millis) {}, OnUsage: func([]*toucanhingev1.TeamUse, clock.Millis) {},
		Name: fmt.Sprintf("gateway-%d", i), DigestAddress: server.Address(), DataCentre: dataCentre(i), Core: newClient(g.Addresses),
		Logger: log.NewNopLogger(), OnTable: func(*routing.Table) {},
		OnFleet: func(f *toucanhingev1.FleetView) { x.SetPeers(digest.PeersOf(f)) },
		Seeds: func() []string { return g.Addresses },
	})
	go func() { _ = server.Serve() }()
	go x.Run(ctx)
	go carried.Run(ctx)
	go follower.Run(ctx)
	return x, nil
}

// answer is a runner's: events at even intervals until the caller leaves.
func (g *Gateways) answer(ctx context.Context, call runner.Call) (*runner.Answer, error) {
	g.runs.Add(1)
	source, sink := io.Pipe()
	go func() {
		timer := time.NewTimer(firstEvent)
		defer timer.Stop()
		for event := int(call.After) + 1; event <= g.Fleet.Events; event++ {
			select {
			case <-ctx.Done():
				_ = sink.CloseWithError(ctx.Err())
				return
			case <-timer.C:
				timer.Reset(step.Duration())
			}
			if _, err := fmt.Fprintf(sink, "id: %d\ndata: %0*d\n\n", event, eventBytes, event); err != nil {
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
			if g.offerTable(ctx, address) == nil {
				return
			}
		}
		time.Sleep(readEvery / 5)
	}
}

// offerTable puts the table in force through a member that leads.
func (g *Gateways) offerTable(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	body := bytes.NewReader(nil)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+TablePath, body)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	response, err := web.NewClient().Do(request)
	if err != nil {
		return fmt.Errorf("offer a table: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("offer a table: %s", response.Status)
	}
	return nil
}

// submit hands jobs in, and reads the results of each.
func (g *Gateways) submit(ctx context.Context, client *control.Client, duties *sync.WaitGroup) {
	for n := 0; ctx.Err() == nil; n++ {
		pause := time.Duration(rand.ExpFloat64() / g.Fleet.Jobs * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		duties.Go(func() { g.follow(ctx, client, fmt.Sprintf("job-%d", n)) })
	}
}

// follow hands one job in and reads its results to the end.
func (g *Gateways) follow(ctx context.Context, client *control.Client, id string) {
	job := &toucanhingev1.SubmitJobRequest{Job: id, Host: host, Target: prefix + id}
	for i := range g.Fleet.Items {
		job.Items = append(job.Items, &toucanhingev1.JobItem{
			Id: fmt.Sprintf("%s-%d", id, i), Target: prefix + "x", Body: make([]byte, bodyBytes), Tokens: int64(300 + rand.IntN(400)),
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
				Job: id, After: after, WaitMs: uint32(readWait.Milliseconds()), MostBytes: 1 << 20,
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
		time.Sleep(readEvery)
	}
}

// online tells of online requests that come and go, each at a gateway and a runner drawn
// by lot.
func (g *Gateways) online(ctx context.Context, exchanges []*digest.Exchange) {
	runners := g.Fleet.list()
	began := time.Now()
	for ctx.Err() == nil {
		rate := g.Fleet.rate(clock.Millis(time.Since(began).Milliseconds()))
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		x, id := exchanges[rand.IntN(len(exchanges))], g.freest(exchanges[0], runners)
		x.Add(id, occupancy.Load{Online: 1})
		time.AfterFunc(hold.Duration(), func() { x.Add(id, occupancy.Load{Online: -1}) })
	}
}

// freest is the better of two runners drawn by lot.
func (g *Gateways) freest(x *digest.Exchange, runners []*toucanhingev1.Runner) string {
	a, b := runners[rand.IntN(len(runners))].GetId(), runners[rand.IntN(len(runners))].GetId()
	x.View(func(t *occupancy.Table) {
		if t.Load(b).Online < t.Load(a).Online {
			a = b
		}
	})
	return a
}
