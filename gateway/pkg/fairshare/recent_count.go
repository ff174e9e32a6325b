package fairshare

import "toucanhinge.example/common/pkg/clock"

// countParts is the number of parts of the window that a recentCount tells apart.
const countParts = 16

// recentCount counts the events within a window of time that ends now.
type recentCount struct {
	entries []countEntry
	total   int
}

// countEntry counts the events of a part of the window that begins at a time.
type countEntry struct {
	at    clock.Millis
	count int
}

// add counts an event.
func (c *recentCount) add(now, window clock.Millis) {
	c.expire(now, window)
	c.total++
	if last := len(c.entries) - 1; last >= 0 && now-c.entries[last].at < max(window/countParts, 1) {
		c.entries[last].count++
		return
	}
	c.entries = append(c.entries, countEntry{now, 1})
}

// sum returns the number of events within the window.
func (c *recentCount) sum(now, window clock.Millis) int {
	c.expire(now, window)
	return c.total
}

// expire removes the events before the window, and those after it if the clock was set back.
func (c *recentCount) expire(now, window clock.Millis) {
	expired := 0
	for expired < len(c.entries) && c.entries[expired].at <= now-window {
		c.total -= c.entries[expired].count
		expired++
	}
	c.entries = append(c.entries[:0], c.entries[expired:]...)
	for last := len(c.entries) - 1; last >= 0 && c.entries[last].at > now; last-- {
		c.total -= c.entries[last].count
		c.entries = c.entries[:last]
	}
}
