package app

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"toucanhinge.example/common/pkg/metrics"
	"toucanhinge.example/sidecar/pkg/admit"
	"toucanhinge.example/sidecar/pkg/dispatch"
)

// Places at which refusals are counted.
const (
	placeOnline  = "online"
	placeRing    = "ring"
	placeReports = "batch-report"
)

// counters are this program's own, beside the common ones.
type counters struct {
	set      *metrics.Set
	ended    *prometheus.CounterVec
	items    *prometheus.CounterVec
	verdicts *prometheus.CounterVec
	orders   *prometheus.CounterVec
}

func newCounters(set *metrics.Set) *counters {
	factory := promauto.With(set.Registry)
	vector := func(name, help, label string) *prometheus.CounterVec {
		return factory.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
	}
	return &counters{
		set:      set,
		ended:    vector("toucanhinge_answers_broken_total", "Answers that ended with an error, by reason.", "reason"),
		items:    vector("toucanhinge_items_total", "Batch items by what became of them here.", "event"),
		verdicts: vector("toucanhinge_verdicts_total", "Control's verdicts on reported outcomes.", "verdict"),
		orders:   vector("toucanhinge_orders_total", "Orders to the engine by what became of them.", "event"),
	}
}

// watch shows the machine's state and totals.
func (c *counters) watch(d *dispatch.Dispatcher) {
	factory := promauto.With(c.set.Registry)
	gauge := func(name, help string, value func(admit.Snapshot) float64) {
		factory.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return value(d.Snapshot()) })
	}
	total := func(name, help string, value func(admit.Stats) uint64) {
		factory.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return float64(value(d.Snapshot().Stats)) })
	}
	gauge("toucanhinge_online_running", "Online requests in slots.", func(s admit.Snapshot) float64 { return float64(s.Online) })
	gauge("toucanhinge_online_queued", "Online requests that wait.", func(s admit.Snapshot) float64 { return float64(s.Queued) })
	gauge("toucanhinge_batch_running", "Batch items in slots.", func(s admit.Snapshot) float64 { return float64(s.Batch) })
	gauge("toucanhinge_batch_suspended", "Batch items that yielded and wait to go on.", func(s admit.Snapshot) float64 { return float64(s.Suspended) })
	gauge("toucanhinge_foreign_slots", "Slots that others use.", func(s admit.Snapshot) float64 { return float64(s.ForeignSlots) })
	gauge("toucanhinge_headroom_slots", "Slots that batch leaves free for bursts.", func(s admit.Snapshot) float64 { return float64(s.Headroom) })
	total("toucanhinge_online_started_total", "Online requests started.", func(s admit.Stats) uint64 { return s.Started })
	total("toucanhinge_batch_started_total", "Batch items started.", func(s admit.Stats) uint64 { return s.ItemsStarted })
	total("toucanhinge_batch_yields_total", "Batch items suspended for online requests.", func(s admit.Stats) uint64 { return s.Yields })
	total("toucanhinge_batch_tokens_lost_total", "Tokens computed again because of yielding.", func(s admit.Stats) uint64 { return s.TokensLost })
	total("toucanhinge_slots_left_ms_total", "Slot time that online left, milliseconds.", func(s admit.Stats) uint64 { return s.LeftoverMS })
	total("toucanhinge_slots_batch_ms_total", "Slot time that batch used, milliseconds.", func(s admit.Stats) uint64 { return s.BatchMS })
}
