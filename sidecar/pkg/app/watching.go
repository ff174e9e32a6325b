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

// watching follows the configuration and tells the parts what concerns them.
type watching struct {
	settings    config.Settings
	incarnation incarnation
	dispatcher  *dispatch.Dispatcher
	watcher     *control.Watcher
	// orders and leave are set before the watcher runs.
	orders *order.Runner
	leave  func(reason string)
	fleet  atomic.Pointer[fleetconfig.Fleet]
}

func newWatching(s config.Settings, l log.Logger, client *control.Client, d *dispatch.Dispatcher, i incarnation) *watching {
	w := &watching{settings: s, incarnation: i, dispatcher: d}
	w.fleet.Store(fleetconfig.Empty())
	w.watcher = control.NewWatcher(control.WatcherConfig{Client: client, Process: s.Name, Logger: l, Changed: w.changed})
	return w
}

func (w *watching) changed(fleet *fleetconfig.Fleet) {
	w.fleet.Store(fleet)
	if service, found := fleet.Service(w.settings.Service); found {
		w.dispatcher.Submit(admit.SetBatchWeight{Weight: int(service.GetBatchWeight())})
	}
	w.tellOrder()
	switch {
	case fleet.Drained(w.settings.Name, w.settings.VM):
		w.leave("drain")
	case w.markedLeaving(fleet):
		w.leave("marked-leaving")
	}
}

// tellOrder hands on the newest order for this endpoint.
func (w *watching) tellOrder() {
	e, found := w.fleet.Load().Entry(toucanhingev1.Kind_KIND_ORDER, w.settings.Name)
	if !found || !takesOrders(w.settings) {
		return
	}
	if wanted, known := order.DesiredFromEntry(e); known {
		w.orders.Submit(order.Update{Desired: wanted})
	}
}

// markedLeaving says whether control lists this very process as leaving. An
// entry of an earlier process of this name says nothing about this one.
func (w *watching) markedLeaving(fleet *fleetconfig.Fleet) bool {
	e, found := fleet.Entry(toucanhingev1.Kind_KIND_MEMBER, w.settings.Name)
	if !found {
		return false
	}
	m := e.GetMember()
	return m.GetIncarnation() == uint64(w.incarnation) && m.GetState() == toucanhingev1.MemberState_MEMBER_STATE_LEAVING
}

func (w *watching) teamWeight(team string) int {
	e, found := w.fleet.Load().Entry(toucanhingev1.Kind_KIND_TEAM, team)
	if !found {
		return 1
	}
	return max(int(e.GetTeam().GetWeight()), 1)
}
