package pace

import (
	"slices"

	"toucanhinge.example/common/pkg/clock"
)

const (
	// sampleInterval is the interval at which the window takes a sample.
	sampleInterval clock.Millis = 500
	// windowSamples is the number of samples in a window, 10.5 s together. Other work slows a runner
	// by turns: with a seventh of the time slowed, more than half of the samples are slow once in
	// thousands of windows.
	windowSamples = 21
	// maxFill bounds the time without reports for which the last pace is assumed to have lasted:
	// daemons renew the pace of a runner after a second.
	maxFill = 3
)

// window holds the recent paces of a runner at equal intervals. Its median is the usual pace: unlike a
// mean, it doesn't move with slowdowns that last for less than half of the window.
type window struct {
	samples []float64
	next    int
	// slot is the interval of the newest sample, last the newest pace in it.
	slot clock.Millis
	last float64
}

// add adds a pace and reports whether the window has a new sample.
func (w *window) add(now clock.Millis, pace float64) bool {
	slot := now / sampleInterval
	previous, known := w.last, len(w.samples) > 0
	w.last = pace
	// After a clock went back, samples are taken at its new time.
	if known && slot == w.slot {
		return false
	}
	if missed := slot - w.slot - 1; known && missed > 0 && missed <= maxFill {
		for range missed {
			w.push(previous)
		}
	}
	w.slot = slot
	w.push(pace)
	return true
}

func (w *window) push(pace float64) {
	if len(w.samples) < windowSamples {
		w.samples = append(w.samples, pace)
		return
	}
	w.samples[w.next] = pace
	w.next = (w.next + 1) % windowSamples
}

// median returns the median of the samples, the lower one of two. With two samples, one of which was
// taken during a slowdown, the lower one is the usual pace.
func (w *window) median() float64 {
	var sorted [windowSamples]float64
	n := copy(sorted[:], w.samples)
	slices.Sort(sorted[:n])
	return sorted[(n-1)/2]
}
