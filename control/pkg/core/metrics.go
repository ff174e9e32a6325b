package core

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

type metrics struct {
	directory *prometheus.CounterVec
	repairs   *prometheus.CounterVec
	jobs      *prometheus.CounterVec
	attends   *prometheus.CounterVec
}

// Outcomes of gateways' calls for news.
const (
	attendAnswered = "answered"
	attendReferred = "referred"
	attendEarly    = "early"
	attendCrowded  = "crowded"
)

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
		attends: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "toucanhinge_attend_calls_total", Help: "Gateways' calls for news, by outcome.",
		}, []string{"outcome"}),
	}
}
