package batchrun

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Metrics counts what becomes of items.
type Metrics struct {
	Waiting prometheus.Gauge
	Running prometheus.Gauge
	Paused  prometheus.Counter
	// Ended counts calls by their outcome, Listed results by their reason.
	Ended  *prometheus.CounterVec
	Listed *prometheus.CounterVec
}

// NewMetrics registers them.
func NewMetrics(r prometheus.Registerer) *Metrics {
	factory := promauto.With(r)
	return &Metrics{
		Waiting: factory.NewGauge(prometheus.GaugeOpts{Name: "toucanhinge_items_waiting", Help: "Items that wait for a place."}),
		Running: factory.NewGauge(prometheus.GaugeOpts{Name: "toucanhinge_items_running", Help: "Items under way at runners."}),
		Paused: factory.NewCounter(prometheus.CounterOpts{
			Name: "toucanhinge_items_paused_total", Help: "Items that gave their place to online work.",
		}),
		Ended: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "toucanhinge_item_calls_total", Help: "Calls of items by their outcome.",
		}, []string{"outcome"}),
		Listed: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "toucanhinge_items_listed_total", Help: "Results of items by their reason.",
		}, []string{"reason"}),
	}
}
