package quota

import (
	"sync"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Counter is a Machine that is safe for concurrent use. A nil Counter counts nothing.
type Counter struct {
	config Config

	mu      sync.Mutex
	machine *Machine
}

// NewCounter returns a counter without any counts.
func NewCounter(config Config) *Counter {
	return &Counter{config: config, machine: New(config)}
}

// do runs a step on the machine while holding the lock.
func (c *Counter) do(step func(*Machine)) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	step(c.machine)
}

// Reset removes all counts. The counts of all gateways will be received from the given time on.
func (c *Counter) Reset(from clock.Millis) {
	c.do(func(m *Machine) {
		*m = *New(c.config)
		m.Begin(from, 0)
	})
}

// Begin starts the machine: the counts of all gateways are received from now on.
func (c *Counter) Begin(now clock.Millis) { c.do(func(m *Machine) { m.Begin(now, 0) }) }

// Admit decides on one request of a team.
func (c *Counter) Admit(now clock.Millis, l Limit, peers Peers) (v Verdict) {
	c.do(func(m *Machine) { v = m.Admit(now, l, peers) })
	return v
}

// Release removes a request that was admitted at the given time and never ran.
func (c *Counter) Release(now, at clock.Millis, team string) {
	c.do(func(m *Machine) { m.Release(now, at, team) })
}

// Republish marks all recent counts for publication.
func (c *Counter) Republish(now clock.Millis) { c.do(func(m *Machine) { m.Republish(now) }) }

// MarkAlive records that this process runs, and reports whether there are counts to publish.
func (c *Counter) MarkAlive(now clock.Millis) (unpublished bool) {
	c.do(func(m *Machine) {
		m.MarkAlive(now)
		unpublished = m.HasUnpublished()
	})
	return unpublished
}

// Publish returns the encoded counts that must still be published: those of this gateway for its
// own data centre, or those of the whole data centre for the others.
func (c *Counter) Publish(centre bool) (usage []*toucanhingev1.TeamUse) {
	c.do(func(m *Machine) { usage = toProto(m.publish(centre)) })
	return usage
}

// Receive applies the counts in a digest. If centre is set, the digest sums up another data centre.
func (c *Counter) Receive(now clock.Millis, d *toucanhingev1.LoadDigest, centre bool) {
	c.do(func(m *Machine) {
		r := Report{
			Source: d.GetSource(), Epoch: d.GetEpoch(), Sequence: d.GetSequence(), CountingFor: clock.Millis(d.GetCountingMs()),
			Usage: fromProto(d.GetUses()),
		}
		if !centre {
			m.Receive(now, r)
			return
		}
		// The relay publishes its own requests as well, under its own name.
		r.Source = d.GetDataCentre() + " by " + d.GetSource()
		m.ReceiveCentre(now, r)
	})
}

// Snapshot returns the requests in the windows, and for how long before now all requests are known.
func (c *Counter) Snapshot(now clock.Millis) (usage []*toucanhingev1.TeamUse, known clock.Millis) {
	c.do(func(m *Machine) {
		list, duration := m.Snapshot(now)
		usage, known = toProto(list), duration
	})
	return usage, known
}

// Restore applies a snapshot at the start of the process.
func (c *Counter) Restore(now clock.Millis, usage []*toucanhingev1.TeamUse, known clock.Millis) {
	c.do(func(m *Machine) { m.Restore(now, fromProto(usage), known) })
}

// Used returns the number of a team's requests in the window.
func (c *Counter) Used(now clock.Millis, team string) (used float64) {
	c.do(func(m *Machine) { used = m.Used(now, team) })
	return used
}

// Refused returns the number of a team's requests that any gateway refused since the start.
func (c *Counter) Refused(team string) (refused int64) {
	c.do(func(m *Machine) { refused = m.Refused(team) })
	return refused
}

// Window returns the window length.
func (c *Counter) Window() (window clock.Millis) {
	c.do(func(m *Machine) { window = m.config.Window })
	return window
}

func toProto(usage []TeamUsage) []*toucanhingev1.TeamUse {
	var list []*toucanhingev1.TeamUse
	for _, u := range usage {
		list = append(list, &toucanhingev1.TeamUse{Team: uint32(u.Team), Count: u.Count, Refused: u.Refused, Used: uint32(max(u.Used, 0)), Recent: uint32(max(u.Recent, 0))})
	}
	return list
}

func fromProto(list []*toucanhingev1.TeamUse) []TeamUsage {
	var usage []TeamUsage
	for _, u := range list {
		usage = append(usage, TeamUsage{Team: ID(u.GetTeam()), Count: u.GetCount(), Refused: u.GetRefused(), Used: int64(u.GetUsed()), Recent: int64(u.GetRecent())})
	}
	return usage
}
