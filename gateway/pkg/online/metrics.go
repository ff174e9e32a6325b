package online

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"toucanhinge.example/common/pkg/metrics"
)

// Metrics of online requests.
type Metrics struct {
	Set *metrics.Set
	// Requests by service and outcome: whole, the reason of the failure, or caller-gone.
	Requests *prometheus.CounterVec
	Attempts prometheus.Counter
	Dropped  *prometheus.CounterVec
	FirstChunk    *prometheus.HistogramVec
	ChunkInterval  *prometheus.HistogramVec
	InFlight prometheus.Gauge
}

// NewMetrics registers the metrics.
func NewMetrics(set *metrics.Set) *Metrics {
	factory := promauto.With(set.Registry)
	return &Metrics{
		Set: set,
		Requests: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "toucanhinge_gateway_requests_total", Help: "Online requests by service and outcome.",
		}, []string{"service", "outcome"}),
		Attempts: factory.NewCounter(prometheus.CounterOpts{
			Name: "toucanhinge_gateway_attempts_total", Help: "Attempts sent to endpoints.",
		}),
		Dropped: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "toucanhinge_gateway_dropped_frames_total", Help: "Frames that belong to no running attempt, by reason.",
		}, []string{"reason"}),
		FirstChunk: factory.NewHistogramVec(prometheus.HistogramOpts{
			Name: "toucanhinge_gateway_first_seconds", Help: "Time from a request's arrival to the first piece of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 1.6, 24),
		}, []string{"service"}),
		ChunkInterval: factory.NewHistogramVec(prometheus.HistogramOpts{
			Name: "toucanhinge_gateway_between_seconds", Help: "Time between two pieces of a streamed answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 1.6, 22),
		}, []string{"service"}),
		InFlight: factory.NewGauge(prometheus.GaugeOpts{
			Name: "toucanhinge_gateway_in_flight", Help: "Online requests under way.",
		}),
	}
}
