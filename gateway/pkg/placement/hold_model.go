package placement

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/sizemodel"
)

// Size is what a caller declares about the size of a request, in tokens; 0 means unknown. Any of it may be wrong.
type Size struct {
	Prompt int64
	// MaxAnswer is the length at which the answer is cut off, Estimate the length that the caller expects.
	MaxAnswer int64
	Estimate  int64
}

// holdModel estimates how long requests of a route hold their slots at the mean pace. The influence of each
// declared figure is learned on its own, since callers declare different ones.
type holdModel struct {
	byEstimate, byMaxAnswer, byPrompt, all sizemodel.Model
}

// sizedModel is a model with the figure that it depends on.
type sizedModel struct {
	model *sizemodel.Model
	size  int64
}

// bySize lists the models by the figures of a size, the most telling figure first.
func (h *holdModel) bySize(s Size) [3]sizedModel {
	return [3]sizedModel{{&h.byEstimate, s.Estimate}, {&h.byMaxAnswer, s.MaxAnswer}, {&h.byPrompt, s.Prompt}}
}

func (h *holdModel) record(s Size, took clock.Millis) {
	h.all.Record(0, took)
	for _, m := range h.bySize(s) {
		if m.size > 0 {
			m.model.Record(m.size, took)
		}
	}
}

// estimate returns the expected hold, or the initial one before any request of the route was recorded.
func (h *holdModel) estimate(s Size, initial clock.Millis) clock.Millis {
	for _, m := range h.bySize(s) {
		if m.size > 0 && m.model.Runs() >= sizemodel.MinRuns {
			return m.model.Estimate(m.size, initial)
		}
	}
	return h.all.Estimate(0, initial)
}

// RecordRequest records how long a request of a route held its slot, converted to the mean pace.
func (m *Machine) RecordRequest(route string, size Size, duration clock.Millis) {
	h := m.routeHolds[route]
	if h == nil {
		h = &holdModel{}
		m.routeHolds[route] = h
	}
	h.record(size, duration)
}

// requestHold returns how long a request is expected to hold its slot at the mean pace.
func (m *Machine) requestHold(req Request) float64 {
	hold := m.MeanHold(req.Service)
	h := m.routeHolds[req.Route]
	if h == nil {
		return hold
	}
	return max(float64(h.estimate(req.Size, clock.Millis(hold))), minHold)
}
