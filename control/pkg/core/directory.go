package core

import (
	"context"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
)

const (
	// leastDirectoryEvery and mostDirectoryEvery bound the interval between two readings of the
	// directory. It lags by most of a second anyway.
	leastDirectoryEvery = 500 * time.Millisecond
	mostDirectoryEvery  = time.Second
	// readingsWithin is the number of readings within the time after which no request may go to
	// a runner that leaves. A lost leader costs two of them, and the word takes its way.
	readingsWithin = 6
	directoryTime  = time.Second
)

// directoryEvery is how often the directory is read. Each reading is a call for each page of it,
// so on a large fleet it is read no more often than needed.
func directoryEvery(leaveBound clock.Millis) time.Duration {
	return min(max(leaveBound.Duration()/readingsWithin, leastDirectoryEvery), mostDirectoryEvery)
}

// readDirectory follows the platform's list of runners. Its calls are limited
// for all daemons together, so only the leader reads it.
func (c *Core) readDirectory(ctx context.Context) {
	ticker := time.NewTicker(directoryEvery(c.config.DrainNoticeLimit))
	defer ticker.Stop()
	for {
		c.readOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Core) readOnce(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, directoryTime)
	defer cancel()
	runners, err := c.config.Directory(readCtx)
	if err != nil {
		c.metrics.directory.WithLabelValues("failed").Inc()
		if ctx.Err() == nil {
			level.Warn(c.config.Logger).Log(logs.KeyEvent, "directory-unread", logs.KeyError, err)
		}
		return
	}
	c.metrics.directory.WithLabelValues("read").Inc()
	c.config.Exchange.SetRunnerCount(len(runners))
	if ids := c.fleet.restarted(runners); len(ids) > 0 {
		level.Info(c.config.Logger).Log(logs.KeyEvent, "runners-restarted", "runners", strings.Join(ids, " "))
	}
	if c.fleet.setRunners(runners) {
		leaving := 0
		for _, r := range runners {
			if r.GetLeaving() {
				leaving++
			}
		}
		level.Info(c.config.Logger).Log(logs.KeyEvent, "runners-changed", "runners", len(runners), "leaving", leaving)
		c.driver.Wake()
	}
}
