// Package metrics provides the metrics registry of a process and the counters that all programs have:
// refusals and retries by reason.
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Set is the registry of a process with the common counters.
type Set struct {
	Registry *prometheus.Registry
	// Refused counts refusals by the component that refused and the reason.
	Refused *prometheus.CounterVec
	// Retried counts retries by the retried operation and the reason.
	Retried *prometheus.CounterVec
}

// New returns the metrics of a program.
func New(program string) *Set {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	labelled := prometheus.WrapRegistererWith(prometheus.Labels{"program": program}, r)
	factory := promauto.With(labelled)
	return &Set{
		Registry: r,
		Refused: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "toucanhinge_refused_total", Help: "Refusals by place and reason.",
		}, []string{"place", "reason"}),
		Retried: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "toucanhinge_retried_total", Help: "Retries by place and reason.",
		}, []string{"place", "reason"}),
	}
}
