package app

import (
	"sync"

	"toucanhinge.example/sidecar/pkg/admit"
	"toucanhinge.example/sidecar/pkg/config"
	"toucanhinge.example/sidecar/pkg/dispatch"
)

// gate combines the reasons for refusing new work: the engine is unhealthy, or it loads
// weights after an order.
type gate struct {
	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	unhealthy  bool
	loading    bool
}

// newGate returns a closed gate, because the engine's state is not known yet.
func newGate(s config.Settings, dispatcher *dispatch.Dispatcher) *gate {
	g := &gate{dispatcher: dispatcher, unhealthy: true, loading: acceptsOrders(s)}
	g.update()
	return g
}

func acceptsOrders(s config.Settings) bool {
	return s.Kind == config.KindModel && s.Engine.Orders
}

// setHealthy sets whether the engine is healthy.
func (g *gate) setHealthy(healthy bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unhealthy = !healthy
	g.update()
}

// setOpen sets whether orders allow new work. It returns once the machine has applied the
// change, so that the running count afterwards includes everything that was started.
func (g *gate) setOpen(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loading = !open
	g.update()
	g.dispatcher.Flush()
}

func (g *gate) update() {
	switch {
	case g.loading:
		g.dispatcher.Submit(admit.Gate{Reason: admit.ReasonLoading})
	case g.unhealthy:
		g.dispatcher.Submit(admit.Gate{Reason: admit.ReasonUnhealthy})
	default:
		g.dispatcher.Submit(admit.Gate{Open: true})
	}
}
