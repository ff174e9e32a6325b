package batchrun

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Metrics holds the metrics of items and of their calls.
type Metrics struct {
	Waiting prometheus.Gauge
	Running prometheus.Gauge
	Paused  prometheus.Counter
	Moved   prometheus.Counter
	// Restarted counts items whose text was discarded because no runner could continue it.
	Restarted prometheus.Counter
	// Ended counts calls by outcome, and Listed counts results by reason.
	Ended  *prometheus.CounterVec
	Listed *prometheus.CounterVec
}

// NewMetrics returns metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	factory := promauto.With(r)
	return &Metrics{
		Waiting: factory.NewGauge(prometheus.GaugeOpts{Name: "toucanhinge_items_waiting", Help: "Items that wait for a slot."}),
		Running: factory.NewGauge(prometheus.GaugeOpts{Name: "toucanhinge_items_running", Help: "Items running on runners."}),
		Paused: factory.NewCounter(prometheus.CounterOpts{
			Name: "toucanhinge_items_paused_total", Help: "Items preempted by online requests.",
		}),
		Moved: factory.NewCounter(prometheus.CounterOpts{
			Name: "toucanhinge_items_moved_total", Help: "Items moved to a faster runner.",
		}),
		Restarted: factory.NewCounter(prometheus.CounterOpts{
			Name: "toucanhinge_items_restarted_total", Help: "Items that restarted at another software version.",
		}),
		Ended: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "toucanhinge_item_calls_total", Help: "Item calls by outcome.",
		}, []string{"outcome"}),
		Listed: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "toucanhinge_items_listed_total", Help: "Item results by reason.",
		}, []string{"reason"}),
	}
}
