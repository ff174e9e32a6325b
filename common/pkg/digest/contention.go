package digest

import (
	"time"

	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/contention"
	"toucanhinge.example/common/pkg/logs"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// ContentionSource returns this daemon's part of the contention, nil if there is none.
type ContentionSource func(now clock.Millis) *contention.Report

// contentionState is the state of the exchange of contention reports.
type contentionState struct {
	// source provides this daemon's part of the contention; may be nil.
	source ContentionSource
	// wake requests a poll of the source.
	wake chan struct{}

	// The lock of the exchange guards table and own, this daemon's last report.
	table *contention.Table
	own   *contention.Report

	// The following fields are used only by the goroutine that sends digests. timer runs while the
	// source has to be polled even if no digest is sent, due is the message for the next digest.
	timer    *time.Timer
	polledAt clock.Millis
	schedule contentionSchedule
	due      *toucanhingev1.Contention
	// contendedService is a service that another daemon finds contended, empty for none.
	contendedService string
}

func newContentionState() contentionState {
	timer := time.NewTimer(0)
	timer.Stop()
	return contentionState{wake: make(chan struct{}, 1), table: contention.New(), timer: timer}
}

// SetContentionSource sets the function that provides this daemon's part of the contention. It is
// called before Run, and the function is called without any lock of the exchange. The report must
// not be changed afterwards.
func (x *Exchange) SetContentionSource(source ContentionSource) { x.contention.source = source }

// SetTeamWeights sets the function that returns the weights of teams, by which the teams are
// selected that a summary or a view lists. Without it all teams have the same weight. It is called
// before Run, and the function must not call the exchange.
func (x *Exchange) SetTeamWeights(weight contention.WeightFunc) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.contention.table.SetWeight(weight)
}

// Contention returns what the other gateways report about a service. The slices of the view must not
// be changed.
func (x *Exchange) Contention(service string) contention.View {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.contention.table.View(x.config.Clock.Now(), service)
}

// WakeContention makes the exchange request this daemon's part of the contention soon. Without it
// the change of a report is sent with the next digest, which an idle daemon sends after
// occupancy.DigestInterval.
func (x *Exchange) WakeContention() {
	select {
	case x.contention.wake <- struct{}{}:
	default:
	}
}

// schedulePoll schedules a poll of the source at a time after the last one.
func (x *Exchange) schedulePoll(after clock.Millis) {
	c := &x.contention
	c.timer.Reset(max(c.polledAt+after-x.config.Clock.Now(), 0).Duration())
}

// contentionFactor returns the factor by which the intervals of contention reports grow.
func (x *Exchange) contentionFactor() clock.Millis {
	x.mu.Lock()
	defer x.mu.Unlock()
	return clock.Millis(x.delayFactor())
}

// pollContention requests this daemon's part of the contention, at most once in the interval between
// reports of waiting requests. It returns whether a message is due.
func (x *Exchange) pollContention() bool {
	c := &x.contention
	if c.source == nil {
		return false
	}
	now, factor := x.config.Clock.Now(), x.contentionFactor()
	interval := contention.WaitingInterval * factor
	// A digest that is sent anyway within the next half interval carries the report.
	relaxed := interval + interval/2
	if now-c.polledAt < interval {
		x.schedulePoll(relaxed)
		return c.due != nil
	}
	c.polledAt = now
	report := provided(now, c.source(now))
	x.mu.Lock()
	report = c.table.Bounded(report)
	c.own = report
	service := c.table.ContendedService(now)
	view := c.table.View(now, service)
	x.mu.Unlock()
	x.logContention(service, view)
	if message := c.schedule.next(now, report, factor); message != nil {
		c.due = message
	}
	if report != nil || service != "" || c.schedule.unfinished() {
		x.schedulePoll(relaxed)
	}
	return c.due != nil
}

// provided returns the report of a source with its defaults set, nil if it has no services.
func provided(now clock.Millis, r *contention.Report) *contention.Report {
	if r == nil || len(r.Services) == 0 {
		return nil
	}
	report := *r
	report.Gateways = max(report.Gateways, 1)
	if report.At == 0 {
		report.At = now
	}
	return &report
}

// logContention logs when other daemons begin or cease to find services contended.
func (x *Exchange) logContention(service string, view contention.View) {
	c := &x.contention
	if (service == "") == (c.contendedService == "") {
		return
	}
	c.contendedService = service
	level.Info(x.config.Logger).Log(logs.KeyEvent, "fleet-contended", "contended", service != "", "service", service,
		"gateways", view.Gateways, "waiting", view.WaitingCount, "age-ms", view.Age)
}

// popContention returns the message for the digest that is about to be sent, nil for none.
func (x *Exchange) popContention() *toucanhingev1.Contention {
	// A message that is due isn't replaced: the schedule counts it as sent, and the next one may hold only the
	// waiting requests.
	if x.contention.due == nil {
		x.pollContention()
	}
	message := x.contention.due
	x.contention.due = nil
	return message
}

// applyContention applies the report in a digest or in the summary of another data centre. The caller
// holds the lock.
func (x *Exchange) applyContention(now clock.Millis, d *toucanhingev1.LoadDigest) {
	c := &x.contention
	if !receiveContention(c.table, now, d) || c.source == nil {
		return
	}
	x.WakeContention()
}

// receiveContention applies the report in a digest to a table. It returns whether services are
// contended since then.
func receiveContention(table *contention.Table, now clock.Millis, d *toucanhingev1.LoadDigest) (begins bool) {
	m := d.GetContention()
	if m == nil {
		if !table.Empty() && d.GetDataCentre() == "" {
			table.EndEpoch(now, d.GetSource(), d.GetEpoch())
		}
		return false
	}
	before := table.ContendedService(now)
	table.Apply(now, contention.Update{
		Source: d.GetSource(), Epoch: d.GetEpoch(), Sequence: d.GetSequence(), DataCentre: d.GetDataCentre(),
		Report: contentionFromProto(now, m), WaitingOnly: m.GetWaitingOnly(),
	})
	return before == "" && table.ContendedService(now) != ""
}

// dataCentreContention returns the sum of the reports in this data centre, nil if there are none. The
// caller holds the lock.
func (x *Exchange) dataCentreContention(now clock.Millis, waitingOnly bool) *contention.Report {
	c := &x.contention
	switch {
	case c.own == nil && c.table.Empty():
		return nil
	case waitingOnly:
		return c.table.SumWaiting(now, c.own)
	default:
		return c.table.Sum(now, c.own)
	}
}
