package fairshare

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/contention"
)

const (
	// lastReportsLimit is how long after the last report of another gateway its content is used.
	lastReportsLimit clock.Millis = 1_000
	// fullestPeriod is the length of the periods of which the sum of the most gateways is kept. Reports that end
	// together expire one after the other, within the time between two reports of a gateway.
	fullestPeriod clock.Millis = 200
)

// knownReports keeps the last known sum of the reports of other gateways for the time after all reports have expired.
type knownReports struct {
	// current and previous are the sums of the most gateways in the current and the previous period.
	current, previous fullestView
	// reportedAt is when the last report was made.
	reportedAt clock.Millis
}

// fullestView is the sum of the most gateways in a period that begins at startedAt.
type fullestView struct {
	view      contention.View
	startedAt clock.Millis
}

// resolve returns the reports to decide on, with their age.
func (k *knownReports) resolve(now clock.Millis, view contention.View) (contention.View, Basis) {
	if view.Gateways > 0 {
		k.keep(now, view)
		return view, Reports
	}
	last := k.current
	if k.previous.view.Gateways > last.view.Gateways {
		last = k.previous
	}
	age := now - k.reportedAt
	if last.view.Gateways == 0 || age < 0 || age > lastReportsLimit {
		*k = knownReports{}
		return contention.View{}, EqualPart
	}
	last.view.Age = age
	return last.view, LastReports
}

// keep keeps a sum if it is the fullest of its period.
func (k *knownReports) keep(now clock.Millis, view contention.View) {
	k.reportedAt = now - view.Age
	elapsed := now - k.current.startedAt
	switch {
	case elapsed < 0 || elapsed >= 2*fullestPeriod:
		k.previous, k.current = fullestView{}, fullestView{view, now}
	case elapsed >= fullestPeriod:
		k.previous, k.current = k.current, fullestView{view, now}
	case view.Gateways >= k.current.view.Gateways:
		k.current.view = view
	}
}
