// Package endpoint speaks to the sidecars: it runs requests there, asks for
// their load, and keeps the router told of what it learns.
package endpoint

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/ring"
	"toucanhinge.example/common/pkg/fleetconfig"
	"toucanhinge.example/gateway/pkg/route"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

// Config describes a directory.
type Config struct {
	Gateway    string
	DataCentre string
	Clock      clock.Clock
	HTTP       *http.Client
	Router     *route.Router
	Logger     log.Logger
	// Ejected counts ejections by reason.
	Ejected *prometheus.CounterVec
	// PollTimeout bounds the wait for a load, a span.
	PollTimeout clock.Millis
}

// Directory guards the router and holds the connections to the sidecars.
type Directory struct {
	config  Config
	mu      sync.Mutex
	clients map[string]toucanhingev1connect.EndpointServiceClient
	cancels *ring.Ring[cancelled]
	// streams under way by the address of their endpoint.
	streams map[string]map[*Stream]struct{}
}

// New makes a directory without endpoints.
func New(config Config) *Directory {
	return &Directory{
		config: config, clients: map[string]toucanhingev1connect.EndpointServiceClient{},
		streams: map[string]map[*Stream]struct{}{},
		cancels: ring.New[cancelled](ring.Config{Size: cancelsHeld}),
	}
}

// SetFleet puts a new configuration in force.
func (d *Directory) SetFleet(fleet *fleetconfig.Fleet) {
	d.mu.Lock()
	defer d.mu.Unlock()
	present := map[string]bool{}
	for _, s := range fleet.Services() {
		present[s.Name] = true
		d.config.Router.SetEndpoints(s.Name, d.endpoints(fleet, s.Name))
	}
	for _, name := range d.config.Router.Services() {
		if !present[name] {
			d.config.Router.SetEndpoints(name, nil)
		}
	}
	d.forget()
}

// forget drops the calls to addresses that no endpoint has any more; over a
// year of restarts they would pile up.
func (d *Directory) forget() {
	used := d.config.Router.Addresses()
	for address := range d.clients {
		if !used[address] {
			delete(d.clients, address)
		}
	}
}

func (d *Directory) endpoints(fleet *fleetconfig.Fleet, service string) []route.Endpoint {
	var list []route.Endpoint
	for _, e := range fleet.Endpoints(service) {
		list = append(list, route.Endpoint{
			Name: e.Name, Address: e.Address, DataCentre: e.DataCentre, Incarnation: e.Incarnation,
			Slots: e.Slots, Draining: e.Draining, LatencyUS: fleet.LatencyUS(d.config.DataCentre, e.DataCentre),
		})
	}
	return list
}

// Choose asks the router and counts the choice as sent.
func (d *Directory) Choose(ask route.Request) route.Choice {
	d.mu.Lock()
	defer d.mu.Unlock()
	choice := d.config.Router.Choose(d.config.Clock.Now(), ask)
	if choice.Endpoint != "" {
		d.config.Router.RecordSent(choice.Endpoint)
	}
	return choice
}

// RecordSent counts another request to an endpoint that was chosen before. It returns
// the endpoint's address, false when it is no longer used.
func (d *Directory) RecordSent(endpoint string) (address string, found bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config.Router.RecordSent(endpoint)
	return d.config.Router.Address(endpoint)
}

// Saturated says whether no endpoint of the service has a free slot.
func (d *Directory) Saturated(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config.Router.Saturated(d.config.Clock.Now(), service)
}

// RecordEnd tells what became of an attempt.
func (d *Directory) RecordEnd(endpoint string, outcome route.Outcome, first, retry clock.Millis) {
	d.mu.Lock()
	reason := d.config.Router.RecordEnd(d.config.Clock.Now(), endpoint, outcome, first, retry)
	d.mu.Unlock()
	d.ejected(endpoint, reason)
}

// RecordLoad takes a load that came with a frame.
func (d *Directory) RecordLoad(endpoint string, load *toucanhingev1.Load) {
	if load == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config.Router.RecordLoad(d.config.Clock.Now(), endpoint, loadOf(load))
}

func loadOf(load *toucanhingev1.Load) route.Load {
	return route.Load{
		Running: int(load.GetRunning()), Queued: int(load.GetQueued()), Slots: int(load.GetSlots()),
		Foreign: int(load.GetForeign()), Wait: clock.Millis(load.GetWaitMs()),
		Draining: load.GetLeaving(), Healthy: load.GetHealthy(),
	}
}

func (d *Directory) ejected(endpoint, reason string) {
	if reason == "" {
		return
	}
	d.config.Ejected.WithLabelValues(reason).Inc()
	level.Warn(d.config.Logger).Log(logs.KeyEvent, "endpoint-ejected", "endpoint", endpoint, "reason", reason)
}

// Client returns the calls to the sidecar at an address.
func (d *Directory) Client(address string) toucanhingev1connect.EndpointServiceClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c, found := d.clients[address]; found {
		return c
	}
	// A sidecar would otherwise compress every token by itself: more bytes, and time.
	plain := connect.WithAcceptCompression("gzip", nil, nil)
	c := toucanhingev1connect.NewEndpointServiceClient(d.config.HTTP, "http://"+address, plain)
	d.clients[address] = c
	return c
}

const (
	pollTick    = 50 * time.Millisecond
	pollWorkers = 64
)

// Poll asks endpoints for their load when it is too old, until the context
// ends. Loads that come with answers put the question off, so a busy endpoint
// is hardly asked.
func (d *Directory) Poll(ctx context.Context) {
	ticker := time.NewTicker(pollTick)
	defer ticker.Stop()
	workers := make(chan struct{}, pollWorkers)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, name := range d.due() {
			select {
			case workers <- struct{}{}:
				go func() {
					d.ask(ctx, name)
					<-workers
				}()
			default:
				// All are waiting for silent endpoints; this one's turn comes again.
			}
		}
	}
}

func (d *Directory) due() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config.Router.DuePolls(d.config.Clock.Now())
}

func (d *Directory) ask(ctx context.Context, endpoint string) {
	d.mu.Lock()
	address, found := d.config.Router.Address(endpoint)
	d.mu.Unlock()
	if !found {
		return
	}
	tryCtx, cancel := context.WithTimeout(ctx, d.config.PollTimeout.Duration())
	defer cancel()
	request := connect.NewRequest(&toucanhingev1.ReportRequest{Gateway: d.config.Gateway})
	reply, err := d.Client(address).Report(tryCtx, request)
	if ctx.Err() != nil {
		return
	}
	var load *route.Load
	// Another process may have taken over the address.
	if err == nil && reply.Msg.GetEndpoint() == endpoint && reply.Msg.GetLoad() != nil {
		told := loadOf(reply.Msg.GetLoad())
		load = &told
	}
	d.mu.Lock()
	reason := d.config.Router.RecordPoll(d.config.Clock.Now(), endpoint, load)
	d.mu.Unlock()
	if reason == route.EjectedUnresponsive {
		d.giveUp(address)
	}
	d.ejected(endpoint, reason)
}
