package app

import (
	"sync"

	"toucanhinge.example/sidecar/pkg/admit"
	"toucanhinge.example/sidecar/pkg/config"
	"toucanhinge.example/sidecar/pkg/dispatch"
)

// gate joins the reasons for which no new work is let in: the engine does not
// answer, or loads weights by an order.
type gate struct {
	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	unhealthy  bool
	loading    bool
}

// newGate starts closed: nothing is known of the engine yet.
func newGate(s config.Settings, dispatcher *dispatch.Dispatcher) *gate {
	g := &gate{dispatcher: dispatcher, unhealthy: true, loading: takesOrders(s)}
	g.apply()
	return g
}

func takesOrders(s config.Settings) bool {
	return s.Kind == config.KindModel && s.Engine.Orders
}

// setHealthy tells whether the engine answers.
func (g *gate) setHealthy(healthy bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unhealthy = !healthy
	g.apply()
}

// setOpen tells whether orders let work in. When it returns, the machine has
// taken it in: what counts as running after that includes all that was started.
func (g *gate) setOpen(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loading = !open
	g.apply()
	g.dispatcher.Flush()
}

func (g *gate) apply() {
	switch {
	case g.loading:
		g.dispatcher.Submit(admit.Gate{Reason: admit.ReasonLoading})
	case g.unhealthy:
		g.dispatcher.Submit(admit.Gate{Reason: admit.ReasonUnhealthy})
	default:
		g.dispatcher.Submit(admit.Gate{Open: true})
	}
}
