package forward

import (
	"github.com/prometheus/client_golang/prometheus"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/pace"
)

// paceCollector exports the spread of the runners' paces. Labels name quantiles instead of runners, since
// runners are replaced all the time.
type paceCollector struct {
	summary                         func() pace.Summary
	pace, age, reporting, overruled *prometheus.Desc
}

func newPaceCollector(summary func() pace.Summary) *paceCollector {
	return &paceCollector{
		summary: summary,
		pace: prometheus.NewDesc("toucanhinge_runner_pace",
			"Time that work takes at runners relative to the mean of their service, by kind and quantile over runners.", []string{"kind", "quantile"}, nil),
		age: prometheus.NewDesc("toucanhinge_runner_pace_age_seconds",
			"Time since the last report of the runners' paces, by quantile over runners.", []string{"quantile"}, nil),
		reporting: prometheus.NewDesc("toucanhinge_runner_paces_reported", "Runners that have reported their pace.", nil, nil),
		overruled: prometheus.NewDesc("toucanhinge_runner_paces_overruled",
			"Runners whose reported pace is overruled by the times of their requests.", nil, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *paceCollector) Describe(descs chan<- *prometheus.Desc) {
	descs <- c.pace
	descs <- c.age
	descs <- c.reporting
	descs <- c.overruled
}

// Collect implements prometheus.Collector.
func (c *paceCollector) Collect(metrics chan<- prometheus.Metric) {
	s := c.summary()
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	gauge(c.reporting, float64(s.Reporting))
	gauge(c.overruled, float64(s.Overruled))
	if s.Reporting == 0 {
		return
	}
	spread := func(desc *prometheus.Desc, values pace.Spread, unit float64, labels ...string) {
		gauge(desc, values.Min*unit, append(labels, "0")...)
		gauge(desc, values.Median*unit, append(labels, "0.5")...)
		gauge(desc, values.Max*unit, append(labels, "1")...)
	}
	spread(c.pace, s.Usual, 1, "usual")
	spread(c.pace, s.Present, 1, "present")
	spread(c.age, s.Age, clock.Millis(1).Duration().Seconds())
}
