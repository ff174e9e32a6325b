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

// loadProgress returns the progress of an item that an earlier leader logged.
func (d *Driver) loadProgress(key dispatch.Key) *progress {
	var item systemstate.Item
	d.config.Machine.View(func(s *systemstate.State) {
		if j := s.Job(key.Job); j != nil && int(key.Index) < len(j.Items) {
			item = j.Items[key.Index]
		}
	})
	text, err := d.config.Machine.Text(item.Parts)
	if err != nil {
		level.Error(d.config.Logger).Log(logs.KeyEvent, "progress-unread", logs.KeyJob, key.Job, "index", key.Index, logs.KeyError, err)
		return &progress{restarted: item.LastEvent > 0}
	}
	return &progress{last: item.LastEvent, text: text, version: item.Version, loggedLast: item.LastEvent, loggedBytes: len(text)}
}

// logProgress logs the output of running items, so that the next leader can resume them. The progress of
// each item is logged once per progressLogInterval. A command holds the progress of several items, and only
// one command is in flight at a time.
func (d *Driver) logProgress(ctx context.Context, now clock.Millis) {
	if now-d.progressLoggedAt < minProgressLogGap || !d.loggingProgress.CompareAndSwap(false, true) {
		return
	}
	d.progressLoggedAt = now
	var steps []*toucanhingev1.SystemStep
	var onLogged []func()
	bytes := 0
	for key, p := range d.progress {
		if now-p.proposedAt < progressLogInterval || !p.logsParts() {
			continue
		}
		if bytes >= maxProgressLogBytes {
			break
		}
		part := p.unlogged()
		p.proposedAt = now
		if part.last == part.after {
			continue
		}
		bytes += len(part.text)
		steps = append(steps, &toucanhingev1.SystemStep{Step: &toucanhingev1.SystemStep_KeepProgress{
			KeepProgress: &toucanhingev1.KeepProgressStep{
				Job: key.Job, Item: key.Index, After: part.after, Last: part.last, Text: part.text, Version: part.version,
			},
		}})
		onLogged = append(onLogged, func() { p.markLogged(part) })
	}
	if len(steps) == 0 {
		d.loggingProgress.Store(false)
		return
	}
	d.background(func() {
		defer d.loggingProgress.Store(false)
		if _, err := d.config.Propose(ctx, steps...); err != nil {
			level.Warn(d.config.Logger).Log(logs.KeyEvent, "progress-unlogged", "items", len(steps), logs.KeyError, err)
			return
		}
		for _, mark := range onLogged {
			mark()
		}
	})
}
