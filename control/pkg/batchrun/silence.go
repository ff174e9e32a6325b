package batchrun

import (
	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/logs"
)

// hear notes that something came from a runner.
func (d *Driver) hear(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heard[id] = d.config.Clock.Now()
}

// tellSilent tells all daemons of a runner from which nothing came under any item.
func (d *Driver) tellSilent(id string) {
	d.mu.Lock()
	quiet := d.config.Clock.Now()-d.heard[id] >= quietAfter
	d.mu.Unlock()
	if quiet {
		d.config.Exchange.SetSilent(id, true)
		level.Info(d.config.Logger).Log(logs.KeyEvent, "runner-silent", "runner", id, "for-ms", quietAfter)
	}
}
