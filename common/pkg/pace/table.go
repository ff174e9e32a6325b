// Package pace estimates how fast the runners of a service work in relation to one another. A
// fleet may mix runners that differ by a factor of two or more, and other work on a runner's VM
// slows it for some hundred milliseconds at a time. The package uses no goroutine, socket or clock.
//
// Runners report the pace of their VM with each answer. The usual pace is the median of some seconds,
// the present one that of the last report. Where a runner reports nothing, or figures that its
// requests contradict, the time per event of its requests replaces the reports.
package pace

import (
	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// MinPercent and MaxPercent bound a reported pace, in percent of the usual time. Other figures can't be
// true and are ignored.
const (
	MinPercent = 10
	MaxPercent = 2_000
)

// Bounds of the usual and the present pace relative to the mean, so that a wrong figure attracts or
// repels a limited amount of work.
const (
	minRelative        = 0.25
	maxRelative        = 4
	maxPresentRelative = 10
)

// toleratedPace is the pace up to which timeouts for missing events need no extension: they allow for
// runners that take twice the mean time.
const toleratedPace = 2

// Table holds the estimates of all runners.
type Table struct {
	models   map[string]*model
	services map[string]*service
}

// Estimate describes what is known of a runner, for logs and metrics.
type Estimate struct {
	Usual, Present float64
	// Age is the time since the last report, and Reported whether there was any.
	Age      clock.Millis
	Reported bool
	// Samples is the number of samples of the usual pace, and Measurements that of measured requests.
	Samples, Measurements int
	// Overruled is set if the requests of the runner contradict its reports.
	Overruled bool
}

// New returns a table that knows no runner.
func New() *Table { return &Table{models: map[string]*model{}, services: map[string]*service{}} }

// SetRunners replaces the known runners. A runner that was restarted under the same ID starts with a
// new model. It returns the IDs of the runners that were added or restarted, and of those that were
// removed or restarted.
func (t *Table) SetRunners(runners []*toucanhingev1.Runner) (added, removed []string) {
	models := make(map[string]*model, len(runners))
	t.services = map[string]*service{}
	for _, r := range runners {
		s := t.services[r.GetService()]
		if s == nil {
			s = &service{}
			t.services[r.GetService()] = s
		}
		m := t.models[r.GetId()]
		if m == nil || m.startedAt != r.GetBornMs() {
			m = &model{startedAt: r.GetBornMs()}
			added = append(added, r.GetId())
		}
		models[r.GetId()] = m
		m.service = s
		s.adopt(m)
	}
	for id, m := range t.models {
		if models[id] != m {
			removed = append(removed, id)
		}
	}
	t.models = models
	for _, s := range t.services {
		s.refresh(s.eventTimeAt)
	}
	return added, removed
}

// Report records that a runner reported its pace, in percent of the usual time. Runners that aren't
// known are ignored.
func (t *Table) Report(now clock.Millis, runner string, percent int) {
	t.ReportAged(now, 0, runner, percent)
}

// ReportAged records the same for a report of the given age. It is ignored if a newer one is known.
func (t *Table) ReportAged(now, age clock.Millis, runner string, percent int) {
	m := t.models[runner]
	if m == nil || percent < MinPercent || percent > MaxPercent {
		return
	}
	if m.usual == 0 {
		m.service.reporting++
	}
	m.report(now, now-age, float64(percent)/100)
	m.service.setPace(m, m.estimate(now))
}

// Measure records the time per event of a request that ran on a runner, in milliseconds. It reports
// whether the reports of the runner are overruled from now on, or count again.
func (t *Table) Measure(now clock.Millis, runner string, perEvent float64) (changed bool) {
	m := t.models[runner]
	if m == nil || perEvent <= 0 {
		return false
	}
	doubted := m.doubted
	m.service.refresh(now)
	m.measure(now, perEvent)
	m.service.setPace(m, m.estimate(now))
	return m.doubted != doubted
}

// Usual returns how long work usually takes at a runner, relative to the mean of its service's
// runners; 1 if nothing is known.
func (t *Table) Usual(runner string) float64 {
	m, mean := t.find(runner)
	if mean == 0 {
		return 1
	}
	return min(max(m.pace/mean, minRelative), maxRelative)
}

// Present returns the same for this moment.
func (t *Table) Present(now clock.Millis, runner string) float64 {
	m, mean := t.find(runner)
	if mean == 0 {
		return 1
	}
	pace := m.pace
	if m.trusted(now) {
		pace = m.reportedPace(now)
	}
	return min(max(pace/mean, minRelative), maxPresentRelative)
}

// find returns the model of a runner and the mean pace of its service. The mean is 0 if the pace of the
// runner is unknown, or if no runner of the service reports its pace.
func (t *Table) find(runner string) (*model, float64) {
	m := t.models[runner]
	if m == nil || m.pace == 0 || m.service.reporting == 0 {
		return m, 0
	}
	return m, m.service.mean()
}

// Estimate returns what is known of a runner. ok is false if the runner is unknown.
func (t *Table) Estimate(now clock.Millis, runner string) (estimate Estimate, ok bool) {
	m := t.models[runner]
	if m == nil {
		return Estimate{}, false
	}
	e := Estimate{
		Usual: t.Usual(runner), Present: t.Present(now, runner), Reported: m.usual > 0,
		Samples: len(m.reports.samples), Measurements: m.measurements, Overruled: m.doubted,
	}
	if e.Reported {
		e.Age = now - m.reportedAt
	}
	return e, true
}

// TimeoutFactor returns the factor by which a timeout for a missing event is extended at a runner with
// the given present pace, so that a slow runner isn't taken for an unresponsive one.
func TimeoutFactor(present float64) float64 { return max(present/toleratedPace, 1) }
