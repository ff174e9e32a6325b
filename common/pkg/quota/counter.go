package quota

import (
	"sync"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Counter is a machine for several goroutines. A nil counter counts nothing.
type Counter struct {
	config Config

	mu      sync.Mutex
	machine *Machine
}

// NewCounter makes a counter that knows nothing yet.
func NewCounter(config Config) *Counter {
	return &Counter{config: config, machine: New(config)}
}

// do runs a step on the machine.
func (c *Counter) do(step func(*Machine)) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	step(c.machine)
}

// Reset forgets everything; from a point on, the requests of all gateways will be heard.
func (c *Counter) Reset(from clock.Millis) {
	c.do(func(m *Machine) {
		*m = *New(c.config)
		m.Begin(from, 0)
	})
}

// Begin notes that the requests of all gateways are heard from now on.
func (c *Counter) Begin(now clock.Millis) { c.do(func(m *Machine) { m.Begin(now, 0) }) }

// Admit lets one request of a team in, or says when it fits.
func (c *Counter) Admit(now clock.Millis, l Limit, around Peers) (v Verdict) {
	c.do(func(m *Machine) { v = m.Admit(now, l, around) })
	return v
}

// Release takes a request back that was let in at a moment and never ran.
func (c *Counter) Release(now, at clock.Millis, team string) {
	c.do(func(m *Machine) { m.Release(now, at, team) })
}

// Republish tells all counts of the last while once more.
func (c *Counter) Republish(now clock.Millis) { c.do(func(m *Machine) { m.Republish(now) }) }

// MarkAlive notes that this process runs, and says whether there is anything to tell.
func (c *Counter) MarkAlive(now clock.Millis) (untold bool) {
	c.do(func(m *Machine) {
		m.MarkAlive(now)
		untold = m.HasUnpublished()
	})
	return untold
}

// Publish lists what other daemons may not know, for the own data centre or the others, as it
// travels.
func (c *Counter) Publish(centre bool) (uses []*toucanhingev1.TeamUse) {
	c.do(func(m *Machine) { uses = wire(m.tell(centre)) })
	return uses
}

// Receive takes over what a digest tells; centre says that it sums up another data centre.
func (c *Counter) Receive(now clock.Millis, d *toucanhingev1.LoadDigest, centre bool) {
	c.do(func(m *Machine) {
		r := Report{
			Source: d.GetSource(), Epoch: d.GetEpoch(), Sequence: d.GetSequence(), CountingFor: clock.Millis(d.GetCountingMs()),
			Usage: unwire(d.GetUses()),
		}
		if !centre {
			m.Receive(now, r)
			return
		}
		// The relay tells its own requests too, under its name.
		r.Source = d.GetDataCentre() + " by " + d.GetSource()
		m.ReceiveCentre(now, r)
	})
}

// Snapshot lists what is in the windows, and for how long a span all is known.
func (c *Counter) Snapshot(now clock.Millis) (uses []*toucanhingev1.TeamUse, known clock.Millis) {
	c.do(func(m *Machine) {
		list, span := m.Snapshot(now)
		uses, known = wire(list), span
	})
	return uses, known
}

// Restore takes over a snapshot, at the start.
func (c *Counter) Restore(now clock.Millis, uses []*toucanhingev1.TeamUse, known clock.Millis) {
	c.do(func(m *Machine) { m.Restore(now, unwire(uses), known) })
}

// Used is the number of a team's requests in the window.
func (c *Counter) Used(now clock.Millis, team string) (used float64) {
	c.do(func(m *Machine) { used = m.Used(now, team) })
	return used
}

// Refused is the number of a team's requests that were refused anywhere since the start.
func (c *Counter) Refused(team string) (refused int64) {
	c.do(func(m *Machine) { refused = m.Refused(team) })
	return refused
}

// Window is the length of the windows, a span.
func (c *Counter) Window() (window clock.Millis) {
	c.do(func(m *Machine) { window = m.config.Window })
	return window
}

func wire(uses []TeamUsage) []*toucanhingev1.TeamUse {
	var list []*toucanhingev1.TeamUse
	for _, use := range uses {
		list = append(list, &toucanhingev1.TeamUse{Team: uint32(use.Team), Count: use.Count, Refused: use.Refused})
	}
	return list
}

func unwire(list []*toucanhingev1.TeamUse) []TeamUsage {
	var uses []TeamUsage
	for _, use := range list {
		uses = append(uses, TeamUsage{Team: ID(use.GetTeam()), Count: use.GetCount(), Refused: use.GetRefused()})
	}
	return uses
}
