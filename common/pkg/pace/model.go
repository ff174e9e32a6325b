package pace

import (
	"math"

	"toucanhinge.example/common/pkg/clock"
)

const (
	// fadeTime is the time in which a reported pace loses its influence on the present pace. Slowdowns
	// by other work on a VM last about as long.
	fadeTime clock.Millis = 600
	// reportExpiry is the time without reports after which a measured pace replaces the reported one.
	reportExpiry clock.Millis = 10_000
	// minMeasurements is the number of requests from which on a measured pace counts.
	minMeasurements = 5
	// measurementWeight is the weight of the newest request in the measured time per event.
	measurementWeight = 0.1
	// contradictionFactor is the ratio between a reported and a measured pace from which on they
	// contradict each other, and maxDoubts the number of requests after which such a report is
	// overruled. Single requests can be slow for other reasons.
	contradictionFactor = 3
	maxDoubts           = 8
)

// model estimates the pace of one runner.
type model struct {
	service   *service
	startedAt int64
	// reports holds the reported paces, 1 for the usual time, and usual their median.
	reports    window
	usual      float64
	present    float64
	reportedAt clock.Millis
	// perEvent is the filtered time per event of the runner's requests, in milliseconds.
	perEvent     float64
	measurements int
	// doubts counts the requests that contradict the reports, less those that agree with them.
	doubts int
	// doubted is set while the reports are overruled.
	doubted bool
	// pace is the usual pace in the unit of the reports, 0 if unknown.
	pace float64
}

// report adds a pace that was reported at a time, unless a newer report is known. One from the future means
// that the clock went back.
func (m *model) report(now, at clock.Millis, pace float64) {
	if m.usual > 0 && at < m.reportedAt && m.reportedAt <= now {
		return
	}
	m.present, m.reportedAt = pace, at
	if m.reports.add(at, pace) {
		m.usual = m.reports.median()
	}
}

// measure adds the time per event of a request that has ended.
func (m *model) measure(now clock.Millis, perEvent float64) {
	m.measurements++
	weight := max(measurementWeight, 1/float64(m.measurements))
	m.perEvent += weight * (perEvent - m.perEvent)
	if m.usual > 0 {
		m.checkReports(now, perEvent)
	}
}

// checkReports compares the reports with the time per event of a request. The request may have ended
// during a slowdown, so it contradicts the reports only if it contradicts both paces.
func (m *model) checkReports(now clock.Millis, perEvent float64) {
	scale := m.service.eventTime
	if scale == 0 {
		return
	}
	if !contradicts(m.usual, perEvent/scale) || !contradicts(m.reportedPace(now), perEvent/scale) {
		m.doubts = max(m.doubts-1, 0)
	} else {
		m.doubts = min(m.doubts+1, maxDoubts)
	}
	// The change takes effect with hysteresis, since the pace of a runner decides on its requests.
	switch m.doubts {
	case 0:
		m.doubted = false
	case maxDoubts:
		m.doubted = true
	}
}

func contradicts(a, b float64) bool {
	return math.Max(a/b, b/a) > contradictionFactor
}

// trusted reports whether the reports of the runner count.
func (m *model) trusted(now clock.Millis) bool {
	if m.usual == 0 || m.doubted {
		return false
	}
	return now-m.reportedAt <= reportExpiry || m.measurements < minMeasurements
}

// reportedPace returns the last reported pace, which fades to the usual one.
func (m *model) reportedPace(now clock.Millis) float64 {
	age := max(now-m.reportedAt, 0)
	if age >= fadeTime {
		return m.usual
	}
	return m.usual + (m.present-m.usual)*(1-float64(age)/float64(fadeTime))
}

// estimate returns the usual pace in the unit of the reports, 0 if unknown.
func (m *model) estimate(now clock.Millis) float64 {
	switch {
	case m.trusted(now):
		return m.usual
	case m.measurements >= minMeasurements && m.service.eventTime > 0:
		return m.perEvent / m.service.eventTime
	default:
		return 0
	}
}
