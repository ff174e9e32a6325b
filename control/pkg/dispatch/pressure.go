package dispatch

import (
	"math"

	"toucanhinge.example/common/pkg/clock"
)

const (
	// pressureEvery is how often it is looked whether all items can be done: each look
	// goes through all that wait, and an item waits for seconds.
	pressureEvery clock.Millis = 200
	// roomSpan is the span over which the room for items is averaged: about one burst of
	// online requests with the quiet seconds before it.
	roomSpan clock.Millis = 7_000
	// pressedAt is the part of the waiting items' mean slack that it may take to run all
	// of them before there are too many, relaxedAt the one at which that is over.
	pressedAt = 0.8
	relaxedAt = 0.4
)

// pressure finds out whether more items wait than can be in time.
type pressure struct {
	pressed bool
	looked  clock.Millis
	// room is the mean number of places that online work left to items.
	room float64
}

func (p *pressure) due(now clock.Millis) bool { return p.looked == 0 || now-p.looked >= pressureEvery }

// look compares the time that the waiting items need with the time that they have.
func (p *pressure) look(now clock.Millis, m *Machine, around Environment) {
	p.measure(now, around)
	work, slack, items := 0.0, 0.0, 0
	for _, i := range m.waiting {
		left := m.measured.left(now, i)
		spare := i.Deadline - left - now
		if spare < 0 {
			continue
		}
		work += float64(left)
		slack += float64(spare)
		items++
	}
	if items == 0 {
		p.pressed = false
		return
	}
	needed := work / max(p.room, 1)
	limit := pressedAt
	if p.pressed {
		limit = relaxedAt
	}
	p.pressed = needed > limit*slack/float64(items)
}

// measure averages the places that online and foreign work leaves.
func (p *pressure) measure(now clock.Millis, around Environment) {
	room := 0
	for _, r := range around.Runners {
		if !r.GetLeaving() {
			room += max(int(r.GetSlots())-around.Load(r.GetId()).all(), 0)
		}
	}
	if p.looked == 0 {
		p.room = float64(room)
	}
	weight := 1 - math.Exp(-float64(now-p.looked)/float64(roomSpan))
	p.room += weight * (float64(room) - p.room)
	p.looked = max(now, 1)
}
