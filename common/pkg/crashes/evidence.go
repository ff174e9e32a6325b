package crashes

import (
	"math"

	"toucanhinge.example/common/pkg/clock"
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
	// sufficientCrashes are sufficient without a lead. Crashes of early runs are included. While
	// runners crash often for other reasons, a harmless request may meet sufficientCrashes
	// crashes. Then only crashes before the first event count, or sufficientUnstable crashes with
	// those of early runs are needed.
	sufficientCrashes  = 6
	sufficientUnstable = 8
	// sufficientShared crashes are sufficient even if a quarantined request explains some of
	// them. Otherwise several requests that crash runners at the same time would hide one another.
	sufficientShared = 7
	// maxFalsePositive is the maximum probability that a harmless request meets the needed number
	// of consecutive crashes before its first event.
	maxFalsePositive = 2e-6
	// firstEventWait is how long a request waits for its first event, queues included.
	firstEventWait clock.Millis = 150
	// crashWindow is the period over which crashes for other reasons are counted.
	crashWindow clock.Millis = 10_000
	// propagationDelay is the time after a crash until all gateways have received the reports of
	// it. Datagrams take a few milliseconds, small VMs are tens of milliseconds late, and a lost
	// datagram is sent again after 40 ms.
	propagationDelay clock.Millis = 100
)

// evidence counts the crashes of a suspect. Crashes explained by a quarantined request count only
// in shared.
type evidence struct {
	// all counts every crash, beforeFirstEvent those before the first event of the run.
	all              int
	beforeFirstEvent int
	// shared counts the crashes before the first event, including explained ones.
	shared int
	// likeliest counts the crashes before the first event for which no other suspect is as
	// likely, leading those for which this suspect leads by minLead.
	likeliest int
	leading   int
	// newest is the time of the newest crash.
	newest clock.Millis
}

// sufficient reports whether the evidence justifies a quarantine if needed crashes are required.
func (e evidence) sufficient(needed int) bool {
	if e.leading >= needed || e.likeliest >= max(needed, sufficientLikeliest) ||
		e.beforeFirstEvent >= sufficientCrashes || e.shared >= sufficientShared {
		return true
	}
	if needed == minCrashes {
		return e.all >= sufficientCrashes
	}
	return e.all >= sufficientUnstable
}

// crashesNeeded returns the number of crashes required for a quarantine. While runners crash for
// other reasons, in waves or one after the other, a harmless request that is retried several times
// may meet three of them.
func (m *Machine) crashesNeeded(now clock.Millis, s *suspect) int {
	otherCrashes := 0
	for id, c := range m.crashes {
		if now-c.at <= crashWindow && !c.explained && !s.crashes[id] {
			otherCrashes++
		}
	}
	probability := float64(otherCrashes+1) * float64(firstEventWait) / (float64(crashWindow) * float64(max(m.runnerCount, 1)))
	// The first two crashes are often close together, so they count as one.
	falsePositive := math.Pow(probability, minCrashes-1)
	for crashes := minCrashes; crashes < sufficientCrashes; crashes++ {
		if falsePositive <= maxFalsePositive {
			return crashes
		}
		falsePositive *= probability
	}
	return sufficientCrashes
}

// evidence counts the crashes of a suspect. Crashes whose reports may still be incomplete don't
// count as likeliest or leading.
func (m *Machine) evidence(now clock.Millis, s *suspect) evidence {
	e := evidence{beforeFirstEvent: m.countBeforeFirstEvent(s)}
	for id := range s.crashes {
		c := m.crashes[id]
		if c.suspects[s.fingerprint] == BeforeFirstEvent {
			e.shared++
		}
		if c.explained {
			continue
		}
		e.all++
		e.newest = max(e.newest, c.at)
		if c.at+propagationDelay > now || c.suspects[s.fingerprint] != BeforeFirstEvent {
			continue
		}
		otherCount := m.maxOtherCount(c, s.fingerprint)
		if otherCount < e.beforeFirstEvent {
			e.likeliest++
		}
		if otherCount <= e.beforeFirstEvent-minLead {
			e.leading++
		}
	}
	return e
}

// countBeforeFirstEvent counts the crashes of a suspect before the first event of its run that no
// quarantined request explains.
func (m *Machine) countBeforeFirstEvent(s *suspect) int {
	count := 0
	for id := range s.crashes {
		if c := m.crashes[id]; !c.explained && c.suspects[s.fingerprint] == BeforeFirstEvent {
			count++
		}
	}
	return count
}

// maxOtherCount returns the highest beforeFirstEvent count among the other suspects of a crash.
func (m *Machine) maxOtherCount(c *crash, fingerprint Fingerprint) int {
	maxCount := 0
	for other := range c.suspects {
		if other != fingerprint {
			maxCount = max(maxCount, m.countBeforeFirstEvent(m.suspects[other]))
		}
	}
	return maxCount
}
