package replay

import (
	"fmt"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/occupancy"
	"toucanhinge.example/control/pkg/dispatch"
)

// Loss is an abrupt failure of the daemon that dispatches the items. The runners continue
// to run its items.
type Loss struct {
	// At is the time of the failure, 0 for never, and TakeoverDelay the time until the
	// successor dispatches the remaining items.
	At            clock.Millis
	TakeoverDelay clock.Millis
	// ReportLoad lets runners report their load with each answer.
	ReportLoad bool
	// ReleaseDelay is the time after which the gateways that proxy the items' calls end
	// them, 0 for never. The runners don't detect the failure themselves.
	ReleaseDelay clock.Millis
}

// applyLoss applies the configured failure of the core, the release of its calls and the takeover.
func (s *simulation) applyLoss() {
	loss := s.config.Loss
	if loss.At == 0 {
		return
	}
	if s.now == loss.At {
		s.loseCore()
	}
	if loss.ReleaseDelay > 0 && s.now == loss.At+loss.ReleaseDelay {
		s.releaseOrphans()
	}
	if s.now == loss.At+loss.TakeoverDelay {
		s.startSuccessor()
	}
}

func (s *simulation) loseCore() {
	s.coreLost = true
	for _, r := range s.runners {
		state := s.states[r.GetId()]
		for _, t := range append(append([]*task(nil), state.running...), state.queue...) {
			if t.request == nil {
				t.orphaned = true
				if t.ends > 0 {
					s.remaining[t.key] = s.workLeft(r.GetId(), t) + s.config.Resume
				}
			}
		}
	}
}

// startSuccessor starts another daemon that dispatches the unfinished items.
func (s *simulation) startSuccessor() {
	s.coreLost = false
	s.coreName = "successor"
	s.core = &gateway{table: occupancy.New()}
	s.core.table.SetRunners(s.runners)
	s.dispatch = dispatch.New()
	for index := range uint32(len(s.config.Items)) {
		key := dispatch.Key{Job: "j", Index: index}
		if _, open := s.remaining[key]; open {
			s.queueItem(key, s.config.Items[index])
		}
	}
	for _, g := range s.gateways {
		g.changed = true
	}
}

// releaseOrphans ends the running items of the failed daemon.
func (s *simulation) releaseOrphans() {
	isOrphan := func(t *task) bool { return t.orphaned }
	for _, state := range s.states {
		state.running = slices.DeleteFunc(state.running, isOrphan)
		state.queue = slices.DeleteFunc(state.queue, isOrphan)
	}
}

// source returns the name of a daemon in its digests.
func (s *simulation) source(index int) string {
	if index == len(s.gateways) {
		return s.coreName
	}
	return fmt.Sprint(index)
}

// observeRunnerLoad applies the load that a runner reports with its answer to a gateway's table.
func (s *simulation) observeRunnerLoad(runner string, g *gateway) {
	if !s.config.Loss.ReportLoad {
		return
	}
	state := s.states[runner]
	if _, changed := g.table.Observe(s.now, runner, len(state.running)+len(state.queue)); changed {
		g.changed = true
	}
}
