package core

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

type metrics struct {
	directoryReads  *prometheus.CounterVec
	membershipSteps *prometheus.CounterVec
	jobs            *prometheus.CounterVec
	attendCalls     *prometheus.CounterVec
	// callsWithoutMemory counts the calls that errCallMemory ended.
	callsWithoutMemory prometheus.Counter
}

// Outcomes of gateways' Attend calls.
const (
	attendAnswered = "answered"
	attendReferred = "referred"
	attendEarly    = "early"
	attendCrowded  = "crowded"
)

func newMetrics(r prometheus.Registerer) *metrics {
	factory := promauto.With(r)
	return &metrics{
		directoryReads: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "toucanhinge_directory_reads_total", Help: "Reads of the list of runners, by outcome.",
		}, []string{"outcome"}),
		membershipSteps: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "toucanhinge_membership_steps_total", Help: "Changes of the core's membership, by reason.",
		}, []string{"reason"}),
		jobs: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "toucanhinge_jobs_total", Help: "Submitted jobs, by outcome.",
		}, []string{"outcome"}),
		callsWithoutMemory: factory.NewCounter(prometheus.CounterOpts{
			Name: "toucanhinge_calls_without_memory_total", Help: "Gateways' calls about jobs refused because others held the memory for them.",
		}),
		attendCalls: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "toucanhinge_attend_calls_total", Help: "Gateways' calls for state updates, by outcome.",
		}, []string{"outcome"}),
	}
}
