package pace

import (
	"slices"

	"toucanhinge.example/common/pkg/clock"
)

// eventTimeInterval is the interval at which the time per event of a service is computed again.
const eventTimeInterval clock.Millis = 1_000

// service holds what the runners of a service have in common.
type service struct {
	models []*model
	// reporting counts the runners that have reported a pace.
	reporting int
	// sum and known are the sum and the number of the known paces.
	sum   float64
	known int
	// eventTime is the time per event in milliseconds at pace 1, 0 if unknown.
	eventTime   float64
	eventTimeAt clock.Millis
}

// setPace sets the pace of a runner, 0 if it is unknown.
func (s *service) setPace(m *model, pace float64) {
	s.sum += pace - m.pace
	if m.pace > 0 {
		s.known--
	}
	if pace > 0 {
		s.known++
	}
	m.pace = pace
}

// mean returns the mean pace of the runners, 0 if none is known.
func (s *service) mean() float64 {
	if s.known == 0 {
		return 0
	}
	return s.sum / float64(s.known)
}

// refresh computes the time per event from the runners that both report their pace and were measured.
// It takes the median, which runners with false reports don't move while they are a minority.
func (s *service) refresh(now clock.Millis) {
	if age := now - s.eventTimeAt; s.eventTime > 0 && age >= 0 && age < eventTimeInterval {
		return
	}
	s.eventTimeAt = now
	times := make([]float64, 0, len(s.models))
	s.sum = 0
	for _, m := range s.models {
		s.sum += m.pace
		if m.usual > 0 && m.measurements >= minMeasurements {
			times = append(times, m.perEvent/m.usual)
		}
	}
	if len(times) > 0 {
		slices.Sort(times)
		s.eventTime = times[len(times)/2]
	}
}

// adopt adds a runner with what is known of it.
func (s *service) adopt(m *model) {
	s.models = append(s.models, m)
	if m.usual > 0 {
		s.reporting++
	}
	if m.pace > 0 {
		s.sum += m.pace
		s.known++
	}
}
