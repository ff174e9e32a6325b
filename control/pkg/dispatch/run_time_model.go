package dispatch

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/sizemodel"
)

// defaultRunTime is the expected run time of an item before any run was recorded.
const defaultRunTime clock.Millis = 3_000

// runTimeModel estimates the run times of items from those of finished items and from their sizes.
type runTimeModel struct {
	model sizemodel.Model
}

// record adds the total run time of a finished item.
func (m *runTimeModel) record(i *item, total clock.Millis) { m.model.Record(i.Tokens, total) }

// slope returns how strongly the run time depends on the size, from 0 to 1.
func (m *runTimeModel) slope() float64 { return m.model.Slope() }

// remaining returns the expected remaining run time of an item at pace 1.
func (m *runTimeModel) remaining(now clock.Millis, i *item) clock.Millis {
	return max(m.cachedEstimate(i)-i.work(now), 0)
}

// cachedEstimate returns the expected total run time of an item. It is computed again only after
// further runs were recorded, because a decision needs it for thousands of items.
func (m *runTimeModel) cachedEstimate(i *item) clock.Millis {
	if version := m.model.Runs() + 1; i.estimateVersion != version {
		i.estimateVersion, i.estimate = version, m.model.Estimate(i.Tokens, defaultRunTime)
	}
	return i.estimate
}
