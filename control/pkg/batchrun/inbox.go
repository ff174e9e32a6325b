package batchrun

import (
	"toucanhinge.example/control/pkg/dispatch"
	"toucanhinge.example/control/pkg/systemstate"
)

// Notify queues a change of the state while the driver runs: it reads the whole state when it starts. It never blocks.
func (d *Driver) Notify(change systemstate.Change) {
	d.mu.Lock()
	running := d.running
	if running {
		d.changes = append(d.changes, change)
	}
	d.mu.Unlock()
	if running {
		d.Wake()
	}
}

// setRunning starts or ends the queueing of changes.
func (d *Driver) setRunning(running bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running, d.changes = running, nil
}

// Wake requests a step because the load has changed.
func (d *Driver) Wake() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *Driver) drainChanges() []systemstate.Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes := d.changes
	d.changes = nil
	return changes
}

func (d *Driver) drainEnded() []outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	ended := d.ended
	d.ended = nil
	return ended
}

func (d *Driver) drainCounted() []dispatch.Key {
	d.mu.Lock()
	defer d.mu.Unlock()
	counted := d.counted
	d.counted = nil
	return counted
}
