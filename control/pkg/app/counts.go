package app

import (
	"fmt"

	"github.com/prometheus/client_golang/prometheus"

	"toucanhinge.example/control/pkg/fleetstate"
	"toucanhinge.example/control/pkg/jobstate"
)

var (
	happenedDesc = prometheus.NewDesc("toucanhinge_control_events_total",
		"What this replica applied since its start, replays included, by group and event.", []string{"group", "event"}, nil)
	heldDesc = prometheus.NewDesc("toucanhinge_control_held",
		"What the state holds now, by group and kind.", []string{"group", "kind"}, nil)
)

// counts shows what the machines count. Replicas count alike, so a sum over them
// counts an event once for each.
type counts struct {
	groups *groups
}

var _ prometheus.Collector = (*counts)(nil)

// Describe names the metrics.
func (c *counts) Describe(to chan<- *prometheus.Desc) {
	to <- happenedDesc
	to <- heldDesc
}

// Collect reads the machines.
func (c *counts) Collect(to chan<- prometheus.Metric) {
	c.groups.fleet.Machine.View(func(s *fleetstate.State) { c.fleet(to, s) })
	for number, g := range c.groups.jobs {
		g.Machine.View(func(s *jobstate.State) { c.jobs(to, fmt.Sprint(number), s) })
	}
}

func (c *counts) fleet(to chan<- prometheus.Metric, s *fleetstate.State) {
	n := s.Counts()
	happened(to, "0", "change-accepted", n.Applied)
	happened(to, "0", "change-resent", n.Resent)
	happened(to, "0", "change-refused", n.Refused)
	happened(to, "0", "claim-granted", n.ClaimsGranted)
	happened(to, "0", "claim-refused", n.ClaimsRefused)
	happened(to, "0", "claim-expired", n.ClaimsExpired)
	happened(to, "0", "settle-refused", n.SettlesRefused)
	happened(to, "0", "member-dead", n.MembersDead)
	held(to, "0", "version", int(s.Version()))
	held(to, "0", "claims", s.ClaimCount())
}

func (c *counts) jobs(to chan<- prometheus.Metric, group string, s *jobstate.State) {
	n := s.Counts()
	happened(to, group, "job-accepted", n.Accepted)
	happened(to, group, "job-resent", n.Resent)
	happened(to, group, "job-conflict", n.Conflicting)
	happened(to, group, "job-dropped", n.JobsDropped)
	happened(to, group, "upload-dropped", n.UploadsDropped)
	happened(to, group, "item-leased", n.Leased)
	happened(to, group, "item-done", n.Done)
	happened(to, group, "item-failed", n.Failed)
	happened(to, group, "item-retried", n.Retried)
	happened(to, group, "item-returned", n.Returned)
	happened(to, group, "item-suspect", n.Suspects)
	happened(to, group, "lease-lost", n.LeasesLost)
	happened(to, group, "result-refused-stale", n.Stale)
	happened(to, group, "result-refused-decided", n.Decided)
	happened(to, group, "result-refused-cancelled", n.Cancelled)
	t := s.Totals()
	held(to, group, "jobs", t.Jobs)
	held(to, group, "items", t.Items)
	held(to, group, "leases", t.Leases)
	held(to, group, "uploads", t.Uploads)
}

func happened(to chan<- prometheus.Metric, group, event string, count uint64) {
	to <- prometheus.MustNewConstMetric(happenedDesc, prometheus.CounterValue, float64(count), group, event)
}

func held(to chan<- prometheus.Metric, group, kind string, count int) {
	to <- prometheus.MustNewConstMetric(heldDesc, prometheus.GaugeValue, float64(count), group, kind)
}
