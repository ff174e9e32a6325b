package batchrun

import (
	"context"

	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/control/pkg/dispatch"
	"toucanhinge.example/control/pkg/systemstate"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// load takes up the progress that an earlier leader logged.
func (d *Driver) load(key dispatch.Key) *progress {
	var item systemstate.Item
	d.config.Machine.View(func(s *systemstate.State) {
		if j := s.Job(key.Job); j != nil && int(key.Index) < len(j.Items) {
			item = j.Items[key.Index]
		}
	})
	text, err := d.config.Machine.Text(item.Parts)
	if err != nil {
		level.Error(d.config.Logger).Log(logs.KeyEvent, "progress-unread", logs.KeyJob, key.Job, "index", key.Index, logs.KeyError, err)
		return &progress{}
	}
	return &progress{last: item.LastEvent, text: text, kept: item.LastEvent, keptBytes: len(text)}
}

// keepProgress logs what running items have made, so that they go on from there
// under the next leader: each item's once in keepEvery. One command carries that of some; the
// next waits for it.
func (d *Driver) keepProgress(ctx context.Context, now clock.Millis) {
	if now-d.keptAt < keepGap || !d.keeping.CompareAndSwap(false, true) {
		return
	}
	d.keptAt = now
	var steps []*toucanhingev1.SystemStep
	var noted []func()
	bytes := 0
	for key, p := range d.progress {
		if now-p.keptAt < keepEvery {
			continue
		}
		if bytes >= keepBytes {
			break
		}
		after, last, text := p.unkept()
		p.keptAt = now
		if last == after {
			continue
		}
		bytes += len(text)
		steps = append(steps, &toucanhingev1.SystemStep{Step: &toucanhingev1.SystemStep_KeepProgress{
			KeepProgress: &toucanhingev1.KeepProgressStep{Job: key.Job, Item: key.Index, After: after, Last: last, Text: text},
		}})
		noted = append(noted, func() { p.keep(last, len(text)) })
	}
	if len(steps) == 0 {
		d.keeping.Store(false)
		return
	}
	d.background(func() {
		defer d.keeping.Store(false)
		if _, err := d.config.Propose(ctx, steps...); err != nil {
			level.Warn(d.config.Logger).Log(logs.KeyEvent, "progress-unlogged", "items", len(steps), logs.KeyError, err)
			return
		}
		for _, note := range noted {
			note()
		}
	})
}
