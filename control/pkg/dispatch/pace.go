package dispatch

import (
	"math"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// minPace and maxPace bound the paces that are believed. Runners of one service that differ by
	// more are an error of measurement.
	minPace = 0.05
	maxPace = 20.0
	// equalPaceFactor is the factor within which two paces count as equal, so that the runner with
	// more free slots is chosen and not the one whose measured pace happens to be better.
	equalPaceFactor = 1.15
	// paceUpdateThreshold is the relative change from which on the pace of a running item is
	// replaced.
	paceUpdateThreshold = 0.02
)

// paceOf returns the pace of a runner, 1 if it is unknown or not a usable number.
func (e Environment) paceOf(runner string) float64 {
	if e.Pace == nil {
		return 1
	}
	pace := e.Pace(runner)
	if !(pace > 0) || math.IsInf(pace, 1) {
		return 1
	}
	return min(max(pace, minPace), maxPace)
}

// atPace returns the duration at the given pace of work that takes the given duration at pace 1.
func atPace(duration clock.Millis, pace float64) clock.Millis {
	if pace == 1 {
		return duration
	}
	return clock.Millis(float64(duration) * pace)
}

// paceLevel returns the same number for paces that count as equal, and a lower one for faster ones.
func paceLevel(pace float64) int {
	if pace == 1 {
		return 0
	}
	return int(math.Round(math.Log(pace) / math.Log(equalPaceFactor)))
}

// paceRange is the range of the paces of the runners that accept items.
type paceRange struct {
	fastest, slowest float64
}

// equalPaces is the range of runners without known paces.
var equalPaces = paceRange{fastest: 1, slowest: 1}

// with returns the range extended by a pace.
func (r paceRange) with(pace float64) paceRange {
	if r.fastest == 0 {
		return paceRange{pace, pace}
	}
	return paceRange{min(r.fastest, pace), max(r.slowest, pace)}
}

// updatePaces reads the paces of all runners and applies them to the running items.
func (m *Machine) updatePaces(now clock.Millis, env Environment) {
	if env.Pace == nil && m.paces == equalPaces {
		return
	}
	var paces paceRange
	for _, r := range env.Runners {
		pace := env.paceOf(r.GetId())
		if !r.GetLeaving() {
			paces = paces.with(pace)
		}
		for _, i := range m.running[r.GetId()] {
			i.setPace(now, pace)
		}
	}
	if paces.fastest == 0 {
		paces = equalPaces
	}
	m.paces = paces
}

// setPace changes the pace of a running item. What it has done so far counts at the old pace.
func (i *item) setPace(now clock.Millis, pace float64) {
	if math.Abs(pace-i.pace) < paceUpdateThreshold*i.pace {
		return
	}
	i.ranFor += float64(now-i.startedAt) / i.pace
	i.startedAt, i.pace = now, pace
}

// work returns how long the item would have run so far at pace 1.
func (i *item) work(now clock.Millis) clock.Millis {
	if i.runner == "" {
		return clock.Millis(i.ranFor)
	}
	return clock.Millis(i.ranFor + float64(now-i.startedAt)/i.pace)
}

// assign records that the item runs on a runner from now on.
func (m *Machine) assign(now clock.Millis, i *item, r *toucanhingev1.Runner, pace float64) {
	m.removeWaiting(i)
	i.runner, i.startedAt, i.pace, i.software = r.GetId(), now, pace, r.GetVersion()
	i.team.running++
	i.submission.running++
	m.running[i.runner] = append(m.running[i.runner], i)
}
