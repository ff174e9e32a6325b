package quota

import (
	"slices"

	"toucanhinge.example/common/pkg/clock"
)

// publishRepeats is how many times each count is published. Datagrams can be lost, and a count
// that no longer changes isn't published again.
const publishRepeats = 3

// maxIgnored is the number of requests in a source's first report up to which the others that it
// may contain are ignored. The margin has room for so few.
const maxIgnored = 3

// TeamUsage is the number of a team's requests that a source admitted and refused since its start.
type TeamUsage struct {
	Team    ID
	Count   int64
	Refused int64
	// Used is the number of the team's requests at all gateways in the last window, as far as the
	// source counted them. Recent is the part in the newer half of the window.
	Used, Recent int64
}

// Report holds the counts that a gateway, or the relay of a data centre, publishes.
type Report struct {
	// Source is the name of the process that counted, Epoch identifies its start, and Sequence
	// the datagram.
	Source          string
	Epoch, Sequence uint64
	// CountingFor is how long the source has counted.
	CountingFor clock.Millis
	Usage       []TeamUsage
}

// source is the state of another gateway or data centre.
type source struct {
	epoch, sequence uint64
	// firstSeen and lastSeen are the times of its first and last report.
	firstSeen, lastSeen clock.Millis
	counts              map[ID]TeamUsage
}

// Publish returns the counts of this gateway that must still be published, and counts them as
// published once more.
func (m *Machine) Publish() []TeamUsage { return m.publish(false) }

// PublishCentre returns the counts of the whole data centre that must still be published to
// other data centres, and counts them as published once more.
func (m *Machine) PublishCentre() []TeamUsage { return m.publish(true) }

func (m *Machine) publish(centre bool) []TeamUsage {
	var usage []TeamUsage
	for id, a := range m.teams {
		pending, tally := &a.localPending, a.local
		if centre {
			pending, tally = &a.centrePending, a.centre
		}
		if *pending > 0 {
			*pending--
			usage = append(usage, TeamUsage{
				Team: id, Count: tally.admitted, Refused: tally.refused,
				Used: int64(a.all.sum(m.lastAlive) + 0.5), Recent: int64(a.all.recent(m.lastAlive, buckets/2) + 0.5),
			})
		}
	}
	slices.SortFunc(usage, func(a, b TeamUsage) int { return int(int64(a.Team) - int64(b.Team)) })
	return usage
}

// HasUnpublished reports whether this gateway has counts to publish.
func (m *Machine) HasUnpublished() bool {
	for _, a := range m.teams {
		if a.localPending > 0 {
			return true
		}
	}
	return false
}

// Receive applies the counts of another gateway of the data centre or, without relayed sums, of
// any other gateway.
func (m *Machine) Receive(now clock.Millis, r Report) { m.receive(now, r, true) }

// ReceiveCentre applies the summed counts of the gateways of another data centre.
func (m *Machine) ReceiveCentre(now clock.Millis, r Report) { m.receive(now, r, false) }

func (m *Machine) receive(now clock.Millis, r Report, sameCentre bool) {
	s := m.sources[r.Source]
	if s != nil && (r.Epoch < s.epoch || r.Epoch == s.epoch && r.Sequence <= s.sequence) {
		return
	}
	if s == nil || s.epoch != r.Epoch {
		s = &source{epoch: r.Epoch, firstSeen: now, lastSeen: now, counts: map[ID]TeamUsage{}}
		m.sources[r.Source] = s
	}
	s.sequence = r.Sequence
	for _, u := range r.Usage {
		m.record(now, s, r, u, sameCentre)
	}
	s.lastSeen = now
}

// record applies the change of one team's counts at a source.
func (m *Machine) record(now clock.Millis, s *source, r Report, u TeamUsage, sameCentre bool) {
	m.countChange(now, s, r, u, sameCentre)
	// The reported use contains the requests that were just counted.
	a := m.account(now, u.Team)
	a.reported.update(now, reportedUse{
		older: float64(u.Used - u.Recent), recent: float64(u.Recent), at: now, counted: a.counted, window: m.config.Window,
	})
}

// countChange counts the requests that a source reports for the first time.
func (m *Machine) countChange(now clock.Millis, s *source, r Report, u TeamUsage, sameCentre bool) {
	previous, known := s.counts[u.Team]
	s.counts[u.Team] = u
	added, refused := u.Count-previous.Count, u.Refused-previous.Refused
	if !known && r.CountingFor > m.config.Window && now-s.firstSeen < m.config.Window {
		// The source counted long before its first report arrived here. The snapshot received at
		// the start contains its requests already, except for the newest. Without a snapshot, as when
		// another daemon sums up a data centre now, some of them may be missing.
		if added > maxIgnored {
			m.incompleteUntil = now + m.config.Window
		}
		added, refused = min(added, 1), min(refused, 1)
	}
	if added == 0 && refused == 0 {
		return
	}
	a := m.account(now, u.Team)
	a.refusedTotal += refused
	if sameCentre {
		a.centre.admitted += added
		a.centre.refused += refused
		a.centrePending = publishRepeats
	}
	switch {
	case added < 0:
		a.subtract(now, float64(-added))
	case now-m.resumedAt <= resumePeriod:
		// The requests arrived at unknown times while this process was paused. If they counted as
		// new, a team far below its limit would seem to be above it.
		a.spread(now, m.pausedFor, float64(added))
	default:
		a.add(now, now, float64(added))
	}
}

// Republish marks all counts that changed within the last window for publication, because new
// daemons may not have received them.
func (m *Machine) Republish(now clock.Millis) {
	for _, a := range m.teams {
		if a.local != (tally{}) && now-a.lastUsed <= m.config.Window {
			a.localPending = publishRepeats
		}
		if a.centre != (tally{}) && now-a.lastUsed <= m.config.Window {
			a.centrePending = publishRepeats
		}
	}
}

// Snapshot returns the requests in the window for a gateway that starts, and for how long before
// now all requests are known.
func (m *Machine) Snapshot(now clock.Millis) (usage []TeamUsage, known clock.Millis) {
	for id, a := range m.teams {
		if count := int64(a.all.sum(now) + 0.5); count > 0 {
			usage = append(usage, TeamUsage{Team: id, Count: count})
		}
	}
	if m.started {
		known = min(max(now-m.knownSince, 0), m.config.Window)
	}
	return usage, known
}

// Restore applies a snapshot. The times of its requests are unknown and assumed to be spread
// evenly.
func (m *Machine) Restore(now clock.Millis, usage []TeamUsage, known clock.Millis) {
	if m.started {
		return
	}
	for _, u := range usage {
		a := m.account(now, u.Team)
		a.spread(now, max(known, 1), float64(u.Count))
		// Earlier reports of other daemons contain the requests of the snapshot.
		a.reported = reportedUse{}
	}
	m.Begin(now, known)
}
