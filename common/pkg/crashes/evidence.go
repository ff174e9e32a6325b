package crashes

import (
	"cmp"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/lateruns"
)

// Numbers of crashes that are sufficient for a quarantine, and limits used to derive them.
const (
	// minCrashes are sufficient while crashes are rare, if the request leads every other suspect
	// of these crashes by minLead. A harmless request in the same queues as a crashing one, which
	// is retried together with it, sometimes shares two of its crashes.
	minCrashes = 3
	minLead    = 2
	// sufficientLikeliest crashes are sufficient with any lead over the other suspects.
	sufficientLikeliest = 5
	// sufficientMany crashes are sufficient with any lead and maxManyFalsePositive: several requests that crash runners late
	// must be found soon, too.
	sufficientMany       = 6
	maxManyFalsePositive = 1e-4
	// sufficientSilent crashes before the first event are sufficient without a lead.
	sufficientSilent = 6
	// sufficientAll crashes are sufficient without a lead if they are no chance.
	sufficientAll = 8
	// sufficientShared crashes before the first event are sufficient even if a quarantined request explains some of
	// them. Otherwise several requests that crash runners at the same time would hide one another.
	sufficientShared = 7
	// knownCrashes is the number of crashes after which all daemons must know a request. Few more runs may begin later.
	knownCrashes = 3
	// maxSpentFalsePositive is the maximum probability that a harmless request meets the crashes that end what may run before a
	// quarantine.
	maxSpentFalsePositive = 1e-4
	// maxFalsePositive is the maximum probability that a harmless request meets all these crashes.
	maxFalsePositive = 2e-6
	// minExposure is the shortest time for which a run counts as exposed to crashes: queues and the wait for the first
	// event.
	minExposure clock.Millis = 150
	// crashWindow is the period over which crashes for other reasons are counted.
	crashWindow clock.Millis = 10_000
	// waveSpan is the time before and after a crash within which other crashes belong to the same wave.
	waveSpan clock.Millis = 300
	// propagationDelay is the time after a crash until all gateways have received the reports of
	// it. Datagrams take a few milliseconds, small VMs are tens of milliseconds late, and a lost
	// datagram is sent again after 40 ms.
	propagationDelay clock.Millis = 100
)

// evidence holds the crashes of a suspect. Crashes explained by a quarantined request count only in shared.
type evidence struct {
	// likeliest are the crashes for which no other suspect is as likely, leading those for which this suspect leads by
	// minLead.
	all, likeliest, leading []metCrash
	// silent counts the crashes before the first event, shared the same including explained ones.
	silent, shared int
	// newest is the time of the newest crash.
	newest clock.Millis
}

// sufficient reports whether the evidence justifies a quarantine. While runners crash for other reasons, in waves or one
// after the other, a harmless request that is retried several times may meet three of them, the sooner the longer it runs.
func (e evidence) sufficient() bool {
	return e.silent >= sufficientSilent || e.shared >= sufficientShared ||
		len(e.leading) >= minCrashes && falsePositive(e.leading) <= maxFalsePositive ||
		len(e.likeliest) >= sufficientLikeliest && falsePositive(e.likeliest) <= maxFalsePositive ||
		len(e.likeliest) >= sufficientMany && falsePositive(e.likeliest) <= maxManyFalsePositive ||
		len(e.all) >= sufficientAll && falsePositive(e.all) <= maxFalsePositive
}

// isSpent reports whether so many late runs have begun that the remaining one is kept for the end of a quarantine.
func (e evidence) isSpent(late int) bool {
	return late >= lateruns.Max-1 && len(e.all) >= knownCrashes && falsePositive(e.all) <= maxSpentFalsePositive
}

// metCrash is a crash of a suspect, with the probability that a harmless request meets it during its run.
type metCrash struct {
	at     clock.Millis
	chance float64
}

// falsePositive returns the probability that a harmless request meets all these crashes. Those of one wave count as one,
// and if there is one in each wave, the likeliest doesn't count, since the first two are often close together.
func falsePositive(crashes []metCrash) float64 {
	slices.SortFunc(crashes, func(a, b metCrash) int { return cmp.Compare(a.at, b.at) })
	product, likeliest, waves := 1.0, 0.0, 0
	for i := 0; i < len(crashes); waves++ {
		chance, end := 0.0, crashes[i].at+waveSpan
		for ; i < len(crashes) && crashes[i].at < end; i++ {
			chance = max(chance, crashes[i].chance)
		}
		product *= chance
		likeliest = max(likeliest, chance)
	}
	if waves == len(crashes) {
		return product / likeliest
	}
	return product
}

// evidence collects the crashes of a suspect. Crashes whose reports may still be incomplete don't count as likeliest or
// leading.
func (m *Machine) evidence(now clock.Millis, s *suspect) evidence {
	e := evidence{}
	own := map[Phase]int{Answering: m.countCrashes(s, Answering), BeforeFirstEvent: m.countCrashes(s, BeforeFirstEvent)}
	e.silent = own[BeforeFirstEvent]
	for id := range s.crashes {
		c := m.crashes[id]
		found := c.suspects[s.fingerprint]
		if found.phase == BeforeFirstEvent {
			e.shared++
		}
		if c.explained {
			continue
		}
		met := metCrash{at: c.at, chance: m.chance(now, s, c)}
		e.all = append(e.all, met)
		e.newest = max(e.newest, c.at)
		if c.at+propagationDelay > now {
			continue
		}
		others := m.maxOtherCount(c, s.fingerprint, found.phase)
		if others < own[found.phase] {
			e.likeliest = append(e.likeliest, met)
		}
		if others <= own[found.phase]-minLead {
			e.leading = append(e.leading, met)
		}
	}
	return e
}

// chance returns the probability that a harmless request meets a crash during its run, from the unrelated crashes of the
// last seconds or, if there were more, from those around the crash.
func (m *Machine) chance(now clock.Millis, s *suspect, c *crash) float64 {
	recent, around := 1, 0
	for id, other := range m.crashes {
		if other.explained || s.crashes[id] {
			continue
		}
		if now-other.at <= crashWindow {
			recent++
		}
		if max(other.at-c.at, c.at-other.at) <= waveSpan {
			around++
		}
	}
	rate := max(float64(recent)/float64(crashWindow), float64(around)/float64(2*waveSpan)) / float64(max(m.runnerCount, 1))
	return min(rate*float64(c.suspects[s.fingerprint].exposure), 1)
}

// countCrashes counts the crashes of a suspect in a phase or an earlier one that no quarantined request explains.
func (m *Machine) countCrashes(s *suspect, phase Phase) int {
	count := 0
	for id := range s.crashes {
		if c := m.crashes[id]; !c.explained && c.suspects[s.fingerprint].phase >= phase {
			count++
		}
	}
	return count
}

// maxOtherCount returns the highest number of crashes in a phase or an earlier one among the other suspects of a crash.
func (m *Machine) maxOtherCount(c *crash, fingerprint Fingerprint, phase Phase) int {
	maxCount := 0
	for other := range c.suspects {
		if other != fingerprint {
			maxCount = max(maxCount, m.countCrashes(m.suspects[other], phase))
		}
	}
	return maxCount
}
