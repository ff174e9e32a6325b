package app

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"toucanhinge.example/common/pkg/metrics"
	"toucanhinge.example/sidecar/pkg/admit"
	"toucanhinge.example/sidecar/pkg/dispatch"
)

// Label values of the refusal counter: the stage that refused a request, event or report.
const (
	refusedAtOnline  = "online"
	refusedAtRing    = "ring"
	refusedAtReports = "batch-report"
)

// counters holds the sidecar's own metrics, in addition to the common ones.
type counters struct {
	set           *metrics.Set
	brokenAnswers *prometheus.CounterVec
	items         *prometheus.CounterVec
	verdicts      *prometheus.CounterVec
	orders        *prometheus.CounterVec
}

func newCounters(set *metrics.Set) *counters {
	factory := promauto.With(set.Registry)
	vector := func(name, help, label string) *prometheus.CounterVec {
		return factory.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
	}
	return &counters{
		set:           set,
		brokenAnswers: vector("toucanhinge_answers_broken_total", "Answers that ended with an error, by reason.", "reason"),
		items:         vector("toucanhinge_items_total", "Batch items by event.", "event"),
		verdicts:      vector("toucanhinge_verdicts_total", "Control's verdicts on reported outcomes.", "verdict"),
		orders:        vector("toucanhinge_orders_total", "Orders to the engine by event.", "event"),
	}
}

// registerAdmissionMetrics exports the admission machine's state and totals.
func (c *counters) registerAdmissionMetrics(d *dispatch.Dispatcher) {
	factory := promauto.With(c.set.Registry)
	gauge := func(name, help string, value func(admit.Snapshot) float64) {
		factory.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return value(d.Snapshot()) })
	}
	total := func(name, help string, value func(admit.Stats) uint64) {
		factory.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return float64(value(d.Snapshot().Stats)) })
	}
	gauge("toucanhinge_online_running", "Online requests in slots.", func(s admit.Snapshot) float64 { return float64(s.Online) })
	gauge("toucanhinge_online_queued", "Online requests in the wait queue.", func(s admit.Snapshot) float64 { return float64(s.Queued) })
	gauge("toucanhinge_batch_running", "Batch items in slots.", func(s admit.Snapshot) float64 { return float64(s.Batch) })
	gauge("toucanhinge_batch_suspended", "Batch items that are suspended and can be resumed.", func(s admit.Snapshot) float64 { return float64(s.Suspended) })
	gauge("toucanhinge_foreign_slots", "Slots used by other clients of the engine.", func(s admit.Snapshot) float64 { return float64(s.ForeignSlots) })
	gauge("toucanhinge_headroom_slots", "Slots that batch items leave free for bursts.", func(s admit.Snapshot) float64 { return float64(s.Headroom) })
	total("toucanhinge_online_started_total", "Online requests started.", func(s admit.Stats) uint64 { return s.Started })
	total("toucanhinge_batch_started_total", "Batch items started.", func(s admit.Stats) uint64 { return s.ItemsStarted })
	total("toucanhinge_batch_yields_total", "Batch items suspended for online requests.", func(s admit.Stats) uint64 { return s.Yields })
	total("toucanhinge_batch_tokens_lost_total", "Tokens computed again because of yields.", func(s admit.Stats) uint64 { return s.TokensLost })
	total("toucanhinge_slots_left_ms_total", "Slot time left over by online requests, in milliseconds.", func(s admit.Stats) uint64 { return s.LeftoverMS })
	total("toucanhinge_slots_batch_ms_total", "Slot time used by batch items, in milliseconds.", func(s admit.Stats) uint64 { return s.BatchMS })
}
