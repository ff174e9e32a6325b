package newsfleet

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
	"toucanhinge.example/lab/pkg/relay"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

// Gateway follows the core. Others reach it by a link that can be cut.
type Gateway struct {
	name       string
	dataCentre string
	cores      []string

	table atomic.Pointer[routing.Table]
	fleet atomic.Pointer[toucanhingev1.FleetView]

	mu       sync.Mutex
	running  bool
	address  string
	link     *relay.Relay
	server   *web.Server
	registry *prometheus.Registry
	deafen   context.CancelFunc
	followed chan struct{}
}

// Name of the gateway.
func (g *Gateway) Name() string { return g.name }

// DataCentre where the gateway stands.
func (g *Gateway) DataCentre() string { return g.dataCentre }

// Address where other daemons reach the gateway, IP:port.
func (g *Gateway) Address() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.address
}

// Version of the routing table that it holds, 0 for none.
func (g *Gateway) Version() uint64 { return tableVersion(g.table.Load()) }

// Runners is how many runners it knows.
func (g *Gateway) Runners() int { return len(g.fleet.Load().GetRunners()) }

// Daemons is how many daemons it knows that take load digests.
func (g *Gateway) Daemons() int { return len(g.fleet.Load().GetDigestPeers()) }

// Start starts the gateway's process; it knows nothing, and stands at its address of before.
func (g *Gateway) Start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	mux := http.NewServeMux()
	server, err := web.Listen("127.0.0.1:0", mux)
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	listen := g.address
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	if g.link, err = relay.New(relay.Config{Listen: listen, Target: server.Address()}); err != nil {
		return fmt.Errorf("link: %w", err)
	}
	g.address, g.server, g.registry = g.link.Address(), server, prometheus.NewRegistry()
	g.table.Store(nil)
	g.fleet.Store(nil)
	board := updates.New(updates.Config{
		Boot: clock.Boot(), Registerer: g.registry, Usage: func() ([]*toucanhingev1.TeamUse, clock.Millis) { return nil, 0 },
	})
	mux.Handle(toucanhingev1connect.NewNewsServiceHandler(board))
	follower := core.New(core.Config{
		Name: g.name, DigestAddress: g.address, DataCentre: g.dataCentre, Core: newClient(g.cores), Logger: log.NewNopLogger(), Publisher: board,
		OnTable: func(t *routing.Table) { g.table.Store(t) }, OnFleet: func(v *toucanhingev1.FleetView) { g.fleet.Store(v) },
		OnUsage: func([]*toucanhingev1.TeamUse, clock.Millis) {}, Boot: clock.Boot(), OnFreshness: func(clock.Millis) {},
		Seeds: func() []string { return g.cores },
	})
	ctx, cancel := context.WithCancel(context.Background())
	g.deafen, g.followed = cancel, make(chan struct{})
	go func() {
		defer close(g.followed)
		follower.Run(ctx)
	}()
	go func() { _ = server.Serve() }()
	g.running = true
	return nil
}

// StopSubscriber lets the gateway hear nothing more of the core, while it answers others.
func (g *Gateway) StopSubscriber() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deafen()
	<-g.followed
}

// SetFaults puts faults in force on the way of others to the gateway.
func (g *Gateway) SetFaults(faults relay.Faults) { g.link.Set(faults) }

// Kill ends the gateway's process.
func (g *Gateway) Kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.running {
		return
	}
	g.running = false
	g.deafen()
	g.link.Close()
	dead, cancel := context.WithCancel(context.Background())
	cancel()
	_ = g.server.Shutdown(dead)
	<-g.followed
}
