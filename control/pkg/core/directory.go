package core

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// minDirectoryInterval and maxDirectoryInterval bound the interval between two reads of the
	// directory. The directory itself lags by almost a second.
	minDirectoryInterval = 500 * time.Millisecond
	maxDirectoryInterval = time.Second
	// readsPerDrainNotice is the number of directory reads within DrainNoticeLimit. The loss of
	// a leader costs two of them, and the update needs some time to reach the gateways.
	readsPerDrainNotice = 6
	directoryTimeout    = time.Second
)

// directoryInterval returns the interval between two reads of the directory. Each read takes one
// call per page, so that a large fleet is read no more often than necessary.
func directoryInterval(drainNoticeLimit clock.Millis) time.Duration {
	return min(max(drainNoticeLimit.Duration()/readsPerDrainNotice, minDirectoryInterval), maxDirectoryInterval)
}

// readDirectory polls the platform's list of runners. The platform limits the calls of all
// daemons together, so only the leader polls.
func (c *Core) readDirectory(ctx context.Context) {
	ticker := time.NewTicker(directoryInterval(c.config.DrainNoticeLimit))
	defer ticker.Stop()
	for {
		c.readDirectoryOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Core) readDirectoryOnce(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	runners, err := c.config.Directory(readCtx)
	if err != nil {
		c.metrics.directoryReads.WithLabelValues("failed").Inc()
		if ctx.Err() == nil {
			level.Warn(c.config.Logger).Log(logs.KeyEvent, "directory-unread", logs.KeyError, err)
		}
		return
	}
	c.metrics.directoryReads.WithLabelValues("read").Inc()
	c.config.Exchange.SetRunnerCount(len(runners))
	if ids := c.fleet.restartedRunners(runners); len(ids) > 0 {
		level.Info(c.config.Logger).Log(logs.KeyEvent, "runners-restarted", "runners", strings.Join(ids, " "))
	}
	if c.fleet.setRunners(runners) {
		draining := 0
		for _, r := range runners {
			if r.GetLeaving() {
				draining++
			}
		}
		level.Info(c.config.Logger).Log(logs.KeyEvent, "runners-changed", "runners", len(runners), "leaving", draining,
			"software", softwareVersions(runners))
		c.driver.Wake()
	}
}

// softwareVersions returns the number of runners of each service and software version as text, in order.
func softwareVersions(runners []*toucanhingev1.Runner) string {
	counts := map[string]int{}
	for _, r := range runners {
		counts[r.GetService()+" "+r.GetVersion()]++
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s: %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}
