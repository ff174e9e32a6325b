// Package endpoint is the client of the sidecars: it runs requests at them, polls their load and reports
// loads and outcomes to the router.
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
	"toucanhinge.example/common/pkg/fleetconfig"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/ring"
	"toucanhinge.example/gateway/pkg/route"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

// Config configures a Directory.
type Config struct {
	Gateway    string
	DataCentre string
	Clock      clock.Clock
	HTTP       *http.Client
	Router     *route.Router
	Logger     log.Logger
	// Ejected counts ejections by reason.
	Ejected *prometheus.CounterVec
	// PollTimeout limits the wait for a load report.
	PollTimeout clock.Millis
}

// Directory serializes access to the router and holds the clients of the sidecars.
type Directory struct {
	config  Config
	mu      sync.Mutex
	clients map[string]toucanhingev1connect.EndpointServiceClient
	cancels *ring.Ring[pendingCancel]
	// streams holds the open streams by the address of their endpoint.
	streams map[string]map[*Stream]struct{}
}

// New returns a directory without endpoints.
func New(config Config) *Directory {
	return &Directory{
		config: config, clients: map[string]toucanhingev1connect.EndpointServiceClient{},
		streams: map[string]map[*Stream]struct{}{},
		cancels: ring.New[pendingCancel](ring.Config{Size: maxPendingCancels}),
	}
}

// SetFleet applies a new configuration.
func (d *Directory) SetFleet(fleet *fleetconfig.Fleet) {
	d.mu.Lock()
	defer d.mu.Unlock()
	present := map[string]bool{}
	for _, s := range fleet.Services() {
		present[s.Name] = true
		d.config.Router.SetEndpoints(s.Name, d.routeEndpoints(fleet, s.Name))
	}
	for _, name := range d.config.Router.Services() {
		if !present[name] {
			d.config.Router.SetEndpoints(name, nil)
		}
	}
	d.removeUnusedClients()
}

// removeUnusedClients removes the clients of addresses that no endpoint has any more. They would
// accumulate over a year of restarts.
func (d *Directory) removeUnusedClients() {
	used := d.config.Router.Addresses()
	for address := range d.clients {
		if !used[address] {
			delete(d.clients, address)
		}
	}
}

func (d *Directory) routeEndpoints(fleet *fleetconfig.Fleet, service string) []route.Endpoint {
	var list []route.Endpoint
	for _, e := range fleet.Endpoints(service) {
		list = append(list, route.Endpoint{
			Name: e.Name, Address: e.Address, DataCentre: e.DataCentre, Incarnation: e.Incarnation,
			Slots: e.Slots, Draining: e.Draining, LatencyUS: fleet.LatencyUS(d.config.DataCentre, e.DataCentre),
		})
	}
	return list
}

// Choose selects an endpoint through the router and records that the request is sent to it.
func (d *Directory) Choose(request route.Request) route.Choice {
	d.mu.Lock()
	defer d.mu.Unlock()
	choice := d.config.Router.Choose(d.config.Clock.Now(), request)
	if choice.Endpoint != "" {
		d.config.Router.RecordSent(choice.Endpoint)
	}
	return choice
}

// RecordSent records another attempt at an endpoint that was selected before. It returns the
// endpoint's address, and false when the endpoint is no longer used.
func (d *Directory) RecordSent(endpoint string) (address string, found bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config.Router.RecordSent(endpoint)
	return d.config.Router.Address(endpoint)
}

// Saturated reports whether no endpoint of the service has a free slot.
func (d *Directory) Saturated(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config.Router.Saturated(d.config.Clock.Now(), service)
}

// RecordEnd records the outcome of an attempt.
func (d *Directory) RecordEnd(endpoint string, outcome route.Outcome, first, retry clock.Millis) {
	d.mu.Lock()
	reason := d.config.Router.RecordEnd(d.config.Clock.Now(), endpoint, outcome, first, retry)
	d.mu.Unlock()
	d.reportEjection(endpoint, reason)
}

// RecordLoad records a load that was received with a frame.
func (d *Directory) RecordLoad(endpoint string, load *toucanhingev1.Load) {
	if load == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config.Router.RecordLoad(d.config.Clock.Now(), endpoint, newLoad(load))
}

func newLoad(load *toucanhingev1.Load) route.Load {
	return route.Load{
		Running: int(load.GetRunning()), Queued: int(load.GetQueued()), Slots: int(load.GetSlots()),
		Foreign: int(load.GetForeign()), Wait: clock.Millis(load.GetWaitMs()),
		Draining: load.GetLeaving(), Healthy: load.GetHealthy(), Software: load.GetSoftware(),
	}
}

// reportEjection counts and logs an ejection; an empty reason means that there was none.
func (d *Directory) reportEjection(endpoint, reason string) {
	if reason == "" {
		return
	}
	d.config.Ejected.WithLabelValues(reason).Inc()
	level.Warn(d.config.Logger).Log(logs.KeyEvent, "endpoint-ejected", "endpoint", endpoint, "reason", reason)
}

// Client returns the client of the sidecar at an address.
func (d *Directory) Client(address string) toucanhingev1connect.EndpointServiceClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c, found := d.clients[address]; found {
		return c
	}
	// Otherwise the sidecar would compress every token separately, which takes more bytes and time.
	uncompressed := connect.WithAcceptCompression("gzip", nil, nil)
	c := toucanhingev1connect.NewEndpointServiceClient(d.config.HTTP, "http://"+address, uncompressed)
	d.clients[address] = c
	return c
}

const (
	pollTick    = 50 * time.Millisecond
	pollWorkers = 64
)

// Poll requests load reports from endpoints whose load is too old, until the context ends. Loads that
// come with answers delay the next poll, so a busy endpoint is rarely polled.
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
		for _, name := range d.duePolls() {
			select {
			case workers <- struct{}{}:
				go func() {
					d.pollEndpoint(ctx, name)
					<-workers
				}()
			default:
				// All workers are waiting for unresponsive endpoints. This endpoint is polled again later.
			}
		}
	}
}

func (d *Directory) duePolls() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config.Router.DuePolls(d.config.Clock.Now())
}

func (d *Directory) pollEndpoint(ctx context.Context, endpoint string) {
	d.mu.Lock()
	address, found := d.config.Router.Address(endpoint)
	d.mu.Unlock()
	if !found {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, d.config.PollTimeout.Duration())
	defer cancel()
	request := connect.NewRequest(&toucanhingev1.ReportRequest{Gateway: d.config.Gateway})
	reply, err := d.Client(address).Report(callCtx, request)
	if ctx.Err() != nil {
		return
	}
	var load *route.Load
	// Another process may now use the address.
	if err == nil && reply.Msg.GetEndpoint() == endpoint && reply.Msg.GetLoad() != nil {
		reported := newLoad(reply.Msg.GetLoad())
		load = &reported
	}
	d.mu.Lock()
	reason := d.config.Router.RecordPoll(d.config.Clock.Now(), endpoint, load)
	d.mu.Unlock()
	if reason == route.EjectedUnresponsive {
		d.cancelIdleStreams(address)
	}
	d.reportEjection(endpoint, reason)
}
