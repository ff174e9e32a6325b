package partcrashes

import (
	"math"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/crashes"
	"toucanhinge.example/common/pkg/lateruns"
	"toucanhinge.example/common/pkg/prompt"
)

// Numbers of crashes and requests that are sufficient for a quarantine. Several requests are always needed: if all
// crashes were those of one request, it is suspected as a whole instead.
const (
	minRequests = 2
	// sufficientRequests with minCrashes are sufficient, or minRequests with sufficientCrashes.
	sufficientRequests = 3
	minCrashes         = 3
	sufficientCrashes  = 4
	// maxChance is the maximum probability that all these runs ended in crashes if the part is harmless. While runners
	// crash often for other reasons, it takes more crashes.
	maxChance = 1e-5
	// maxBegunChance is this probability if answers had begun: runs that last long meet crashes more often.
	maxBegunChance = 1e-6
	// sufficientMany crashes are sufficient with maxManyChance: a part that crashes runners must be found soon even if
	// they crash often for other reasons.
	sufficientMany = 8
	maxManyChance  = 1e-4
	// sufficientTied crashes are sufficient although another suspect shares all of them: the two parts never come apart.
	sufficientTied = 5
	// minBegun crashes are sufficient if answers had begun before some of them.
	minBegun = 7
	// sufficientAlone crashes are needed if no other request was answered since the first of them: then all requests
	// may crash runners, whatever their parts.
	sufficientAlone = 6
	// sufficientRecent crashes are needed if a request with the part was answered up to recentAnswer before the first
	// of them. Without answers in between, the part has begun to crash runners.
	sufficientRecent = 8
	// recentAnswer is long enough for a part that a few callers use.
	recentAnswer clock.Millis = 10_000
	// minMoments are the moments in which a part must have crashed runners, minMomentsAlone if no other request was
	// answered since, minMomentsRecent if the part was answered shortly before. Crashes for other reasons often end many
	// runners in one moment, under all requests that they run.
	minMoments       = 2
	minMomentsAlone  = 3
	minMomentsRecent = 5
	// minMomentsBegunAlone are needed if nothing else was answered since, and answers had begun.
	minMomentsBegunAlone = 8
	// momentSpan is the span of one moment.
	momentSpan clock.Millis = 200
	// knownCrashes is the number of crashes after which all daemons must know a part. Few more runs may begin later.
	knownCrashes = 5
	// maxSpentChance is the maximum probability that a harmless part meets the crashes that end what may run before a
	// quarantine.
	maxSpentChance = 1e-5
	// propagationDelay is the time after a crash until all daemons have received the reports of it and the answers
	// that contradict them. Datagrams take a few milliseconds, small VMs are tens of milliseconds late, and a lost
	// datagram is sent again after 40 ms.
	propagationDelay clock.Millis = 100
	// retryDelay is the time from a crash until the first event of a request that is sent after it.
	retryDelay clock.Millis = 150
	// settleDelay is the time after a crash until the answers that began after it are known to all daemons. Many runners
	// may crash in one moment, and until then it looks as if nothing with a part were answered any more, however common
	// the part is.
	settleDelay = retryDelay + crashes.ConfirmedAnswer + propagationDelay
)

// evidence counts the crashes of a suspect since the newest answer to a request with it. Crashes that a quarantined
// part explains don't count.
type evidence struct {
	// all counts the crashes, unbegun those with an unanswered run since which no answer has begun.
	all, unbegun int
	// requests counts the different requests of the runs, moments the different moments of the crashes.
	requests int
	moments  int
	// first and newest are the times of the first and the newest crash.
	first, newest clock.Millis
	// recent is set if a request with the part was answered shortly before the first crash, recentBegin if an answer has
	// begun shortly before the first unbegun one.
	recent, recentBegin bool
	// contrast is set if a request without the part was answered since the first crash.
	contrast bool
	// beside counts the crashes between the first and the newest one without the part.
	beside int
	// own is set if a run of the newest crash was this daemon's, ownCrashes counts the crashes with such runs, and ownRuns
	// all runs of this daemon that ended in them, with the part or not.
	own                 bool
	ownCrashes, ownRuns int
}

// sufficient reports whether the evidence justifies a quarantine.
func (e evidence) sufficient(r rates) bool {
	switch {
	case e.requests < minRequests || e.moments < minMoments:
		return false
	case e.recent:
		return e.moments >= minMomentsRecent && e.requests >= sufficientRequests && e.all >= sufficientRecent && chance(r.any, e.all) <= maxChance*maxChance
	case !e.contrast:
		return e.moments >= minMomentsAlone && e.unbegun >= sufficientAlone ||
			e.moments >= minMomentsBegunAlone && e.requests >= sufficientRequests && e.all >= sufficientMany
	default:
		return e.sufficientUnanswered(r.unanswered) || e.sufficientBegun(r.any)
	}
}

// isBlamed reports whether the evidence against a suspect justifies a quarantine. The crashes must be known to all, and
// so must the answers that began after them if the part was answered shortly before or nothing else is answered.
func (m *Machine) isBlamed(now clock.Millis, s *suspect, e evidence, crashRate rates) bool {
	until := now
	if e.recent || !e.contrast {
		until = now - settleDelay
		e = m.fullEvidence(s, until)
	}
	return e.sufficient(crashRate) && e.newest+propagationDelay <= now && m.leads(s, e, until)
}

// isSpent reports whether so many late runs with a part have begun that the remaining one is kept for the end of a quarantine.
// alone is set if no other request was answered since its first crash. Crashes that another part explains count here: the
// two parts may never have come apart.
func (m *Machine) isSpent(now clock.Millis, s *suspect, c Candidate) (spent, alone bool) {
	if len(s.History.Late(now)) < lateruns.Max-1 {
		return false, false
	}
	e := m.collect(s, now, func(*crash) bool { return true })
	if e.requests < minRequests || e.all < knownCrashes || e.recent {
		return false, false
	}
	e.beside = m.countBeside(s, e)
	if !e.contrast {
		return !c.startsWith(s), true
	}
	return chance(m.crashRates(now, s, e).any, e.independent()) <= maxSpentChance, false
}

// sufficientUnanswered reports whether the crashes under unanswered runs are sufficient. An answer that has begun since, or
// shortly before, shows that the part doesn't crash all runners before they answer.
func (e evidence) sufficientUnanswered(crashRate float64) bool {
	if e.recentBegin || e.unbegun < minCrashes || e.requests < sufficientRequests && e.unbegun < sufficientCrashes {
		return false
	}
	// A request that is retried at once may meet two crashes of one wave.
	c := chance(crashRate, min(e.unbegun, max(e.requests, e.unbegun-1)))
	return c <= maxChance || e.unbegun >= sufficientMany && c <= maxManyChance
}

// sufficientBegun reports whether the crashes are sufficient although some answers had begun before.
func (e evidence) sufficientBegun(crashRate float64) bool {
	if e.requests < sufficientRequests || e.all < minBegun {
		return false
	}
	return chance(crashRate, e.independent()) <= maxBegunChance
}

// independent returns the number of crashes that count. Long runs meet unrelated crashes often, and several of one wave, so
// each moment counts once. If the part was at every runner that crashed, each request does.
func (e evidence) independent() int {
	if e.beside > 0 {
		return e.moments
	}
	return max(e.moments, min(e.all, e.requests))
}

// fullEvidence counts the crashes up to a time, and those beside them.
func (m *Machine) fullEvidence(s *suspect, until clock.Millis) evidence {
	e := m.evidence(s, until)
	e.beside = m.countBeside(s, e)
	return e
}

// evidence counts the crashes up to a time that no quarantined part explains.
func (m *Machine) evidence(s *suspect, until clock.Millis) evidence {
	return m.collect(s, until, func(c *crash) bool { return c.cause == "" })
}

// collect counts the crashes up to a time for which counts returns true.
func (m *Machine) collect(s *suspect, until clock.Millis, counts func(*crash) bool) evidence {
	e := evidence{}
	requests := map[crashes.Fingerprint]bool{}
	var times []clock.Millis
	firstUnbegun := clock.Millis(math.MaxInt64)
	for id, found := range s.sightings {
		c := m.crashes[id]
		if !counts(c) || c.at > until {
			continue
		}
		e.all++
		times = append(times, c.at)
		if found.unanswered && c.at > s.begunAt {
			e.unbegun++
			firstUnbegun = min(firstUnbegun, c.at)
		}
		if found.own {
			e.ownCrashes++
		}
		e.ownRuns += c.ownRuns
		if e.first == 0 || c.at < e.first {
			e.first = c.at
		}
		if c.at >= e.newest {
			e.newest, e.own = c.at, found.own
		}
		for request := range found.requests {
			requests[request] = true
		}
	}
	e.requests, e.moments = len(requests), countMoments(times)
	e.recent = e.all > 0 && s.answeredAt > 0 && e.first-s.answeredAt < recentAnswer
	e.recentBegin = e.unbegun > 0 && s.begunAt > 0 && firstUnbegun-s.begunAt < recentAnswer
	e.contrast = max(s.otherAt, m.elsewhereAt(s)) > e.first
	return e
}

// countBeside counts the crashes between the first and the newest one of a suspect without it.
func (m *Machine) countBeside(s *suspect, e evidence) (count int) {
	for id, c := range m.crashes {
		if s.sightings[id] == nil && c.cause == "" && c.at >= e.first-momentSpan && c.at <= e.newest {
			count++
		}
	}
	return count
}

// countMoments counts the moments of some times.
func countMoments(times []clock.Millis) (count int) {
	slices.Sort(times)
	end := clock.Millis(0)
	for _, at := range times {
		if at >= end {
			count++
			end = at + momentSpan
		}
	}
	return count
}

// leads reports whether no other suspect of the same crashes has as many of them up to a time. A part that another one always
// accompanies needs more crashes. A part that was answered shortly before comes after those that weren't.
func (m *Machine) leads(s *suspect, e evidence, until clock.Millis) bool {
	for other := range m.rivals(s) {
		o := m.evidence(m.suspects[other], until)
		if o.recent || o.requests < minRequests {
			continue
		}
		if o.all > e.all || o.all == e.all && e.all < sufficientTied || e.recent && 2*o.all >= e.all {
			return false
		}
	}
	return true
}

// rivals returns the other suspects of the crashes of a suspect.
func (m *Machine) rivals(s *suspect) map[prompt.PartID]bool {
	found := map[prompt.PartID]bool{}
	for id := range s.sightings {
		if c := m.crashes[id]; c.cause == "" {
			for other := range c.suspects {
				found[other] = true
			}
		}
	}
	delete(found, s.part)
	return found
}
