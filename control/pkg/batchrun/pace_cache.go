package batchrun

import (
	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// paceInterval is how often the paces of all runners are read. A usual pace changes over seconds,
// and up to 200 decisions a second use it.
const paceInterval clock.Millis = 250

// paceCache holds the paces of the runners between two readings.
type paceCache struct {
	// read returns the usual pace of a runner; nil if paces aren't known.
	read   func(runner string) float64
	paces  map[string]float64
	readAt clock.Millis
}

// refresh reads all paces if the last reading is old enough.
func (p *paceCache) refresh(now clock.Millis, runners []*toucanhingev1.Runner) {
	if p.read == nil || p.paces != nil && now >= p.readAt && now-p.readAt < paceInterval {
		return
	}
	p.readAt = now
	p.paces = make(map[string]float64, len(runners))
	for _, r := range runners {
		p.paces[r.GetId()] = p.read(r.GetId())
	}
}

// get returns the function by which a decision reads paces, nil if all runners count as equally fast.
func (p *paceCache) get() func(runner string) float64 {
	if p.read == nil {
		return nil
	}
	return func(runner string) float64 {
		if pace, known := p.paces[runner]; known {
			return pace
		}
		return 1
	}
}
