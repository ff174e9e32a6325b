package digest

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/contention"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// relayedContention sends the sum of the contention reports in a data centre to the others. The zero
// value sends nothing.
type relayedContention struct {
	// sum returns the sum of the reports in this data centre, nil if there are none. If waitingOnly is
	// set, only the waiting requests are needed.
	sum func(now clock.Millis, waitingOnly bool) *contention.Report
	// delayFactor returns the factor by which the intervals between reports grow.
	delayFactor func() int
	schedule    contentionSchedule
	// checkedAt is the time of the last call of next. resumedAt is when this daemon ran again after a
	// pause in which reports expired.
	checkedAt, resumedAt clock.Millis
}

// begin starts a period in which this daemon is the relay.
func (c *relayedContention) begin(now clock.Millis) {
	c.schedule, c.checkedAt, c.resumedAt = contentionSchedule{}, now, 0
}

// next returns the message to send now, nil for none. startedAt is when this daemon started to
// receive reports. After a start or a pause the sum is incomplete until this daemon has received a
// report of each gateway, and must not replace the one of the previous relay until then.
func (c *relayedContention) next(now, startedAt clock.Millis) *toucanhingev1.Contention {
	if c.sum == nil {
		return nil
	}
	factor := clock.Millis(c.delayFactor())
	complete := contention.ReportInterval * factor * 3 / 2
	if now-c.checkedAt > complete {
		c.resumedAt = now
	}
	c.checkedAt = now
	if !c.schedule.due(now, factor) || now-max(startedAt, c.resumedAt) < complete {
		return nil
	}
	return c.schedule.next(now, c.sum(now, !c.schedule.wholeDue(now, factor)), factor)
}
