package quota

import (
	"slices"

	"toucanhinge.example/common/pkg/clock"
)

// tells is how often each count is told: datagrams are lost now and then, and a count that
// doesn't change any more isn't told again.
const tells = 3

// TeamUsage is how many requests of a team were let in, and refused, somewhere since a start.
type TeamUsage struct {
	Team    ID
	Count   int64
	Refused int64
}

// Report is what a gateway, or the relay of a data centre, tells of its counts.
type Report struct {
	// Source names who counted, Epoch its start and Sequence the datagram.
	Source          string
	Epoch, Sequence uint64
	// CountingFor is how long it has counted, a span.
	CountingFor clock.Millis
	Usage     []TeamUsage
}

// source is another gateway, or a data centre.
type source struct {
	epoch, sequence uint64
	// since is when it was heard first, heard when last.
	since, heard clock.Millis
	counts       map[ID]TeamUsage
}

// Publish lists the counts that others don't know for sure yet.
func (m *Machine) Publish() []TeamUsage { return m.tell(false) }

// PublishCentre lists the counts of the whole data centre that other data centres don't know for
// sure yet.
func (m *Machine) PublishCentre() []TeamUsage { return m.tell(true) }

func (m *Machine) tell(centre bool) []TeamUsage {
	var uses []TeamUsage
	for id, a := range m.teams {
		left, tally := &a.hereLeft, a.here
		if centre {
			left, tally = &a.centreLeft, a.centre
		}
		if *left > 0 {
			*left--
			uses = append(uses, TeamUsage{Team: id, Count: tally.let, Refused: tally.refused})
		}
	}
	slices.SortFunc(uses, func(a, b TeamUsage) int { return int(int64(a.Team) - int64(b.Team)) })
	return uses
}

// HasUnpublished says whether there is anything to tell.
func (m *Machine) HasUnpublished() bool {
	for _, a := range m.teams {
		if a.hereLeft > 0 {
			return true
		}
	}
	return false
}

// Receive takes over what another gateway of the data centre counted, or, where there are no
// sums, any other one.
func (m *Machine) Receive(now clock.Millis, r Report) { m.take(now, r, true) }

// ReceiveCentre takes over what the gateways of another data centre counted.
func (m *Machine) ReceiveCentre(now clock.Millis, r Report) { m.take(now, r, false) }

func (m *Machine) take(now clock.Millis, r Report, near bool) {
	s := m.sources[r.Source]
	if s != nil && (r.Epoch < s.epoch || r.Epoch == s.epoch && r.Sequence <= s.sequence) {
		return
	}
	if s == nil || s.epoch != r.Epoch {
		s = &source{epoch: r.Epoch, since: now, heard: now, counts: map[ID]TeamUsage{}}
		m.sources[r.Source] = s
	}
	s.sequence = r.Sequence
	for _, use := range r.Usage {
		m.note(now, s, r, use, near)
	}
	s.heard = now
}

// note counts what is new of one team at a source.
func (m *Machine) note(now clock.Millis, s *source, r Report, use TeamUsage, near bool) {
	before, known := s.counts[use.Team]
	s.counts[use.Team] = use
	added, refused := use.Count-before.Count, use.Refused-before.Refused
	if !known && r.CountingFor > m.config.Window && now-s.since < m.config.Window {
		// It counted long before it was heard here. What was told at the start holds that
		// already, but for the newest.
		added, refused = min(added, 1), min(refused, 1)
	}
	if added == 0 && refused == 0 {
		return
	}
	a := m.account(now, use.Team)
	a.refusedAll += refused
	if near {
		a.centre.let += added
		a.centre.refused += refused
		a.centreLeft = tells
	}
	switch {
	case added < 0:
		a.all.takeBack(now, float32(-added))
	case now-m.thawed <= thawSpan:
		// They came at any moment while this process was frozen. Counted as new, a team far
		// below its limit would seem to be above it.
		a.all.spread(now, m.frozen, float32(added))
	default:
		a.all.add(now, now, float32(added))
	}
}

// Republish tells all counts of the last while once more: there are daemons that may not have
// heard them.
func (m *Machine) Republish(now clock.Millis) {
	for _, a := range m.teams {
		if a.here != (tally{}) && now-a.touched <= m.config.Window {
			a.hereLeft = tells
		}
		if a.centre != (tally{}) && now-a.touched <= m.config.Window {
			a.centreLeft = tells
		}
	}
}

// Snapshot lists what is in the window now, for a gateway that starts, and of how long a span
// all is known.
func (m *Machine) Snapshot(now clock.Millis) (uses []TeamUsage, known clock.Millis) {
	for id, a := range m.teams {
		if in := int64(a.all.in(now) + 0.5); in > 0 {
			uses = append(uses, TeamUsage{Team: id, Count: in})
		}
	}
	if m.started {
		known = min(max(now-m.since, 0), m.config.Window)
	}
	return uses, known
}

// Restore takes a snapshot over. When each request of it came isn't known: they are taken to
// have come evenly.
func (m *Machine) Restore(now clock.Millis, uses []TeamUsage, known clock.Millis) {
	if m.started {
		return
	}
	for _, use := range uses {
		m.account(now, use.Team).all.spread(now, max(known, 1), float32(use.Count))
	}
	m.Begin(now, known)
}
