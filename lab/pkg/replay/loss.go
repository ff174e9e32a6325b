package replay

import (
	"fmt"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/occupancy"
	"toucanhinge.example/control/pkg/dispatch"
)

// Loss is the moment at which the daemon that runs the items vanishes, without a
// word to anybody. The runners go on with its items.
type Loss struct {
	// At is the moment, 0 for never, and TakeOver the span until the next one runs
	// what is left.
	At       clock.Millis
	TakeoverDelay clock.Millis
	// ReportLoad lets runners say with each answer what they have under way.
	ReportLoad bool
	// ReleaseDelay is the span after which those who carry the items end them, 0 for
	// never: the runners don't notice by themselves.
	ReleaseDelay clock.Millis
}

// lose makes the daemon that runs the items vanish.
func (w *world) lose() {
	loss := w.config.Loss
	if loss.At == 0 {
		return
	}
	if w.now == loss.At {
		w.vanish()
	}
	if loss.ReleaseDelay > 0 && w.now == loss.At+loss.ReleaseDelay {
		w.release()
	}
	if w.now == loss.At+loss.TakeoverDelay {
		w.takeOver()
	}
}

func (w *world) vanish() {
	w.coreGone = true
	for _, r := range w.runners {
		state := w.states[r.GetId()]
		for _, t := range append(append([]*task(nil), state.running...), state.queue...) {
			if t.request == nil {
				t.orphan = true
				if t.ends > 0 {
					w.left[t.key] = max(t.ends-w.now, 0) + w.config.Resume
				}
			}
		}
	}
}

// takeOver lets another daemon run the items that aren't done.
func (w *world) takeOver() {
	w.coreGone = false
	w.coreName = "successor"
	w.core = &gateway{table: occupancy.New()}
	w.dispatch = dispatch.New()
	for index := range uint32(len(w.config.Items)) {
		key := dispatch.Key{Job: "j", Index: index}
		if _, open := w.left[key]; open {
			w.queueItem(key, w.config.Items[index])
		}
	}
	for _, g := range w.gateways {
		g.changed = true
	}
}

// release ends the items that the vanished daemon left behind.
func (w *world) release() {
	orphan := func(t *task) bool { return t.orphan }
	for _, state := range w.states {
		state.running = slices.DeleteFunc(state.running, orphan)
		state.queue = slices.DeleteFunc(state.queue, orphan)
	}
}

// source names a daemon in its digests.
func (w *world) source(index int) string {
	if index == len(w.gateways) {
		return w.coreName
	}
	return fmt.Sprint(index)
}

// tellHeld lets a runner's answer tell a gateway what the runner has under way.
func (w *world) tellHeld(runner string, g *gateway) {
	if !w.config.Loss.ReportLoad {
		return
	}
	state := w.states[runner]
	if _, news := g.table.Observe(w.now, runner, len(state.running)+len(state.queue)); news {
		g.changed = true
	}
}
