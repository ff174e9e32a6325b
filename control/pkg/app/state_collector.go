package app

import (
	"fmt"

	"github.com/prometheus/client_golang/prometheus"

	"toucanhinge.example/control/pkg/fleetstate"
	"toucanhinge.example/control/pkg/jobstate"
)

var (
	eventsDesc = prometheus.NewDesc("toucanhinge_control_events_total",
		"Events applied by this replica since its start, replays included, by group and event.", []string{"group", "event"}, nil)
	heldDesc = prometheus.NewDesc("toucanhinge_control_held",
		"Current sizes of the state, by group and kind.", []string{"group", "kind"}, nil)
)

// stateCollector exports the counters of the state machines. Every replica counts the
// same events, so a sum over replicas counts each event once per replica.
type stateCollector struct {
	groups *groups
}

var _ prometheus.Collector = (*stateCollector)(nil)

// Describe sends the descriptions of the metrics.
func (c *stateCollector) Describe(to chan<- *prometheus.Desc) {
	to <- eventsDesc
	to <- heldDesc
}

// Collect sends the current values of the state machines.
func (c *stateCollector) Collect(to chan<- prometheus.Metric) {
	c.groups.fleet.Machine.View(func(s *fleetstate.State) { c.fleet(to, s) })
	for number, g := range c.groups.jobs {
		g.Machine.View(func(s *jobstate.State) { c.jobs(to, fmt.Sprint(number), s) })
	}
}

func (c *stateCollector) fleet(to chan<- prometheus.Metric, s *fleetstate.State) {
	n := s.Counts()
	sendEvents(to, "0", "change-accepted", n.Applied)
	sendEvents(to, "0", "change-resent", n.Resent)
	sendEvents(to, "0", "change-refused", n.Refused)
	sendEvents(to, "0", "claim-granted", n.ClaimsGranted)
	sendEvents(to, "0", "claim-refused", n.ClaimsRefused)
	sendEvents(to, "0", "claim-expired", n.ClaimsExpired)
	sendEvents(to, "0", "settle-refused", n.SettlesRefused)
	sendEvents(to, "0", "member-dead", n.MembersDead)
	sendHeld(to, "0", "version", int(s.Version()))
	sendHeld(to, "0", "claims", s.Claims())
}

func (c *stateCollector) jobs(to chan<- prometheus.Metric, group string, s *jobstate.State) {
	n := s.Counts()
	sendEvents(to, group, "job-accepted", n.Accepted)
	sendEvents(to, group, "job-resent", n.Resent)
	sendEvents(to, group, "job-conflict", n.Conflicting)
	sendEvents(to, group, "job-dropped", n.JobsDropped)
	sendEvents(to, group, "upload-dropped", n.UploadsDropped)
	sendEvents(to, group, "item-leased", n.Leased)
	sendEvents(to, group, "item-done", n.Done)
	sendEvents(to, group, "item-failed", n.Failed)
	sendEvents(to, group, "item-retried", n.Retried)
	sendEvents(to, group, "item-returned", n.Returned)
	sendEvents(to, group, "item-suspect", n.Suspects)
	sendEvents(to, group, "lease-lost", n.LeasesLost)
	sendEvents(to, group, "result-refused-stale", n.Stale)
	sendEvents(to, group, "result-refused-decided", n.Decided)
	sendEvents(to, group, "result-refused-cancelled", n.Cancelled)
	t := s.Totals()
	sendHeld(to, group, "jobs", t.Jobs)
	sendHeld(to, group, "items", t.Items)
	sendHeld(to, group, "leases", t.Leases)
	sendHeld(to, group, "uploads", t.Uploads)
}

func sendEvents(to chan<- prometheus.Metric, group, event string, count uint64) {
	to <- prometheus.MustNewConstMetric(eventsDesc, prometheus.CounterValue, float64(count), group, event)
}

func sendHeld(to chan<- prometheus.Metric, group, kind string, count int) {
	to <- prometheus.MustNewConstMetric(heldDesc, prometheus.GaugeValue, float64(count), group, kind)
}
