package app

import (
	"sync/atomic"

	"github.com/go-kit/log"

	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/fleetconfig"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/sidecar/pkg/admit"
	"toucanhinge.example/sidecar/pkg/config"
	"toucanhinge.example/sidecar/pkg/dispatch"
	"toucanhinge.example/sidecar/pkg/order"
)

// configWatcher follows the configuration and passes changes on to the components.
type configWatcher struct {
	settings    config.Settings
	incarnation incarnation
	dispatcher  *dispatch.Dispatcher
	watcher     *control.Watcher
	// orders and drain are set before the watcher runs.
	orders *order.Runner
	drain  func(reason string)
	fleet  atomic.Pointer[fleetconfig.Fleet]
}

func newConfigWatcher(
	s config.Settings, l log.Logger, client *control.Client, d *dispatch.Dispatcher, i incarnation,
) *configWatcher {
	w := &configWatcher{settings: s, incarnation: i, dispatcher: d}
	w.fleet.Store(fleetconfig.Empty())
	w.watcher = control.NewWatcher(control.WatcherConfig{Client: client, Process: s.Name, Logger: l, Changed: w.apply})
	return w
}

func (w *configWatcher) apply(fleet *fleetconfig.Fleet) {
	w.fleet.Store(fleet)
	if service, found := fleet.Service(w.settings.Service); found {
		w.dispatcher.Submit(admit.SetBatchWeight{Weight: int(service.GetBatchWeight())})
	}
	w.submitOrder()
	switch {
	case fleet.Drained(w.settings.Name, w.settings.VM):
		w.drain("drain")
	case w.markedLeaving(fleet):
		w.drain("marked-leaving")
	}
}

// submitOrder submits the newest order for this endpoint.
func (w *configWatcher) submitOrder() {
	e, found := w.fleet.Load().Entry(toucanhingev1.Kind_KIND_ORDER, w.settings.Name)
	if !found || !acceptsOrders(w.settings) {
		return
	}
	if desired, known := order.DesiredFromEntry(e); known {
		w.orders.Submit(order.Update{Desired: desired})
	}
}

// markedLeaving reports whether control lists this process as leaving. An entry of an
// earlier process with the same name is ignored.
func (w *configWatcher) markedLeaving(fleet *fleetconfig.Fleet) bool {
	e, found := fleet.Entry(toucanhingev1.Kind_KIND_MEMBER, w.settings.Name)
	if !found {
		return false
	}
	m := e.GetMember()
	return m.GetIncarnation() == uint64(w.incarnation) && m.GetState() == toucanhingev1.MemberState_MEMBER_STATE_LEAVING
}

func (w *configWatcher) teamWeight(team string) int {
	e, found := w.fleet.Load().Entry(toucanhingev1.Kind_KIND_TEAM, team)
	if !found {
		return 1
	}
	return max(int(e.GetTeam().GetWeight()), 1)
}
