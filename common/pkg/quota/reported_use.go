package quota

import "toucanhinge.example/common/pkg/clock"

// reportRetention is how long a higher report counts against lower ones. Daemons that missed
// requests themselves report too few.
const reportRetention clock.Millis = 100

// reportedUse is the use of a team's quota that another daemon reported. A process that was
// suspended, or that hears from another relay than before, has not received all counts and doesn't
// know when the missed requests were sent. Without these reports it would admit requests of a team
// that has just used its whole quota elsewhere.
type reportedUse struct {
	// older and recent are the requests in the older and in the newer half of the window.
	older, recent float64
	at            clock.Millis
	// counted is account.counted at the time of the report.
	counted float64
	window  clock.Millis
}

// update applies a report, unless a recent one was higher.
func (r *reportedUse) update(now clock.Millis, report reportedUse) {
	if r.at == 0 || now-r.at > reportRetention || report.older+report.recent >= r.current(now, report.counted) {
		*r = report
	}
}

// current returns the requests in the window: the reported ones that haven't left it, and those
// counted since the report. Within each half of the window they were sent at unknown times.
func (r *reportedUse) current(now clock.Millis, counted float64) float64 {
	halves := 2 * float64(now-r.at) / float64(r.window)
	return r.older*min(max(1-halves, 0), 1) + r.recent*min(max(2-halves, 0), 1) + counted - r.counted
}

// scale applies a change of the limit.
func (r *reportedUse) scale(factor float64) {
	r.older *= factor
	r.recent *= factor
}

// used returns the number of a team's requests in the window.
func (m *Machine) used(now clock.Millis, a *account) float64 {
	counted := a.all.sum(now)
	if now >= m.incompleteUntil || a.reported.at == 0 || now-a.reported.at >= m.config.Window {
		return counted
	}
	return max(counted, a.reported.current(now, a.counted))
}

// add counts requests at the time at.
func (a *account) add(now, at clock.Millis, count float64) {
	a.all.add(now, at, float32(count))
	a.counted += count
}

// spread counts requests that arrived at unknown times within the last duration.
func (a *account) spread(now, duration clock.Millis, count float64) {
	a.all.spread(now, duration, float32(count))
	a.counted += count
}

// subtract removes requests whose time is unknown.
func (a *account) subtract(now clock.Millis, count float64) {
	a.all.subtract(now, float32(count))
	a.counted -= count
}
