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
func (c *stateCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- eventsDesc
	ch <- heldDesc
}

// Collect sends the current values of the state machines.
func (c *stateCollector) Collect(ch chan<- prometheus.Metric) {
	c.groups.fleet.Machine.View(func(s *fleetstate.State) { c.fleet(ch, s) })
	for number, g := range c.groups.jobs {
		g.Machine.View(func(s *jobstate.State) { c.jobs(ch, fmt.Sprint(number), s) })
	}
}

func (c *stateCollector) fleet(ch chan<- prometheus.Metric, s *fleetstate.State) {
	n := s.Counts()
	sendEvents(ch, "0", "change-accepted", n.Applied)
	sendEvents(ch, "0", "change-resent", n.Resent)
	sendEvents(ch, "0", "change-refused", n.Refused)
	sendEvents(ch, "0", "claim-granted", n.ClaimsGranted)
	sendEvents(ch, "0", "claim-refused", n.ClaimsRefused)
	sendEvents(ch, "0", "claim-expired", n.ClaimsExpired)
	sendEvents(ch, "0", "settle-refused", n.SettlesRefused)
	sendEvents(ch, "0", "member-dead", n.MembersDead)
	sendHeld(ch, "0", "version", int(s.Version()))
	sendHeld(ch, "0", "claims", s.ClaimCount())
}

func (c *stateCollector) jobs(ch chan<- prometheus.Metric, group string, s *jobstate.State) {
	n := s.Counts()
	sendEvents(ch, group, "job-accepted", n.Accepted)
	sendEvents(ch, group, "job-resent", n.Resent)
	sendEvents(ch, group, "job-conflict", n.Conflicting)
	sendEvents(ch, group, "job-dropped", n.JobsDropped)
	sendEvents(ch, group, "upload-dropped", n.UploadsDropped)
	sendEvents(ch, group, "item-leased", n.Leased)
	sendEvents(ch, group, "item-done", n.Done)
	sendEvents(ch, group, "item-failed", n.Failed)
	sendEvents(ch, group, "item-retried", n.Retried)
	sendEvents(ch, group, "item-returned", n.Returned)
	sendEvents(ch, group, "item-suspect", n.Suspects)
	sendEvents(ch, group, "lease-lost", n.LeasesLost)
	sendEvents(ch, group, "result-refused-stale", n.Stale)
	sendEvents(ch, group, "result-refused-decided", n.Decided)
	sendEvents(ch, group, "result-refused-cancelled", n.Cancelled)
	t := s.Totals()
	sendHeld(ch, group, "jobs", t.Jobs)
	sendHeld(ch, group, "items", t.Items)
	sendHeld(ch, group, "leases", t.Leases)
	sendHeld(ch, group, "uploads", t.Uploads)
}

func sendEvents(ch chan<- prometheus.Metric, group, event string, count uint64) {
	ch <- prometheus.MustNewConstMetric(eventsDesc, prometheus.CounterValue, float64(count), group, event)
}

func sendHeld(ch chan<- prometheus.Metric, group, kind string, count int) {
	ch <- prometheus.MustNewConstMetric(heldDesc, prometheus.GaugeValue, float64(count), group, kind)
}
