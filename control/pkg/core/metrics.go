package core

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

type metrics struct {
	directory *prometheus.CounterVec
	repairs   *prometheus.CounterVec
	jobs      *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	factory := promauto.With(r)
	return &metrics{
		directory: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "toucanhinge_directory_reads_total", Help: "Readings of the list of runners by outcome.",
		}, []string{"outcome"}),
		repairs: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "toucanhinge_membership_steps_total", Help: "Changes of the core's membership by reason.",
		}, []string{"reason"}),
		jobs: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "toucanhinge_jobs_total", Help: "Submitted jobs by outcome.",
		}, []string{"outcome"}),
	}
}
