package updatefleet

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/routing"
	"toucanhinge.example/common/pkg/web"
	"toucanhinge.example/gateway/pkg/core"
	"toucanhinge.example/gateway/pkg/updates"
	"toucanhinge.example/lab/pkg/process"
	"toucanhinge.example/lab/pkg/relay"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

// Gateway is a gateway that subscribes to the core. Other daemons reach it through a relay that
// can inject faults.
type Gateway struct {
	name          string
	dataCentre    string
	coreAddresses []string

	table atomic.Pointer[routing.Table]
	fleet atomic.Pointer[toucanhingev1.FleetView]
	lines recentLines

	mu               sync.Mutex
	running          bool
	address          string
	link             *relay.Relay
	server           *web.Server
	registry         *prometheus.Registry
	cancelSubscriber context.CancelFunc
	subscriberDone   chan struct{}
}

// Name returns the gateway's name.
func (g *Gateway) Name() string { return g.name }

// DataCentre returns the gateway's data centre.
func (g *Gateway) DataCentre() string { return g.dataCentre }

// Address returns the IP:port at which other daemons reach the gateway.
func (g *Gateway) Address() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.address
}

// Version returns the version of the gateway's routing table, or 0 if it has none.
func (g *Gateway) Version() uint64 { return tableVersion(g.table.Load()) }

// Runners returns the number of runners in the gateway's fleet view.
func (g *Gateway) Runners() int { return len(g.fleet.Load().GetRunners()) }

// Daemons returns the number of daemons in the gateway's fleet view that receive load digests.
func (g *Gateway) Daemons() int { return len(g.fleet.Load().GetDigestPeers()) }

// describe returns what the gateway knows and its last log lines.
func (g *Gateway) describe() string {
	return fmt.Sprintf("%s at %s: table %d, fleet view %d with %d runners and %d daemons; last log lines:\n%s",
		g.name, g.Address(), g.Version(), g.fleet.Load().GetRevision(), g.Runners(), g.Daemons(), g.lines.String())
}

// Start starts the gateway without any state. A restarted gateway listens at its previous address.
func (g *Gateway) Start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	mux := http.NewServeMux()
	server, err := web.Listen("127.0.0.1:0", mux)
	if err != nil {
		return fmt.Errorf("listen for calls to the gateway: %w", err)
	}
	listen := g.address
	if listen == "" {
		if listen, err = process.FreeAddress(); err != nil {
			return fmt.Errorf("find an address for the gateway: %w", err)
		}
	}
	if g.link, err = relay.New(relay.Config{Listen: listen, Target: server.Address()}); err != nil {
		return fmt.Errorf("start relay to the gateway: %w", err)
	}
	g.address, g.server, g.registry = g.link.Address(), server, prometheus.NewRegistry()
	g.table.Store(nil)
	g.fleet.Store(nil)
	publisher := updates.New(updates.Config{
		Boot: clock.Boot(), Registerer: g.registry, Usage: func() ([]*toucanhingev1.TeamUse, clock.Millis) { return nil, 0 },
	})
	mux.Handle(toucanhingev1connect.NewNewsServiceHandler(publisher))
	subscriber := core.New(core.Config{
		Name: g.name, DigestAddress: g.address, DataCentre: g.dataCentre, Core: newClient(g.coreAddresses), Logger: log.NewLogfmtLogger(&g.lines), Publisher: publisher,
		OnTable: func(t *routing.Table) { g.table.Store(t) }, OnFleet: func(v *toucanhingev1.FleetView) { g.fleet.Store(v) },
		OnUsage: func([]*toucanhingev1.TeamUse, clock.Millis) {}, Boot: clock.Boot(), OnFreshness: func(clock.Millis) {},
		Seeds: func() []string { return g.coreAddresses },
	})
	ctx, cancel := context.WithCancel(context.Background())
	g.cancelSubscriber, g.subscriberDone = cancel, make(chan struct{})
	go func() {
		defer close(g.subscriberDone)
		subscriber.Run(ctx)
	}()
	go func() { _ = server.Serve() }()
	g.running = true
	return nil
}

// StopSubscriber stops the gateway's subscription to the core. The gateway still responds to other
// daemons.
func (g *Gateway) StopSubscriber() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancelSubscriber()
	<-g.subscriberDone
}

// SetFaults injects faults into the connections of other daemons to the gateway.
func (g *Gateway) SetFaults(faults relay.Faults) { g.link.Set(faults) }

// Kill stops the gateway abruptly.
func (g *Gateway) Kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.running {
		return
	}
	g.running = false
	g.cancelSubscriber()
	g.link.Close()
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	_ = g.server.Shutdown(expired)
	<-g.subscriberDone
}
