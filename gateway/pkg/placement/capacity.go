package placement

import "toucanhinge.example/common/pkg/clock"

// Capacity returns the number of slots that online requests of a service can use: those of the eligible runners that
// answer, without those taken by foreign work. Batch items don't count, since they yield.
func (m *Machine) Capacity(now clock.Millis, service string, load func(runner string) Load) int {
	capacity := 0
	for _, r := range m.eligible(now, Request{Service: service}) {
		if l := load(r.GetId()); !l.Unresponsive {
			capacity += max(int(r.GetSlots())-l.Foreign, 0)
		}
	}
	return capacity
}
