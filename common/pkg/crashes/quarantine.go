package crashes

import (
	"cmp"
	"slices"

	"toucanhinge.example/common/pkg/clock"
)

// How long a quarantine lasts.
const (
	// firstTerm is how long a request is quarantined at first. Callers give up after some
	// seconds, so this is about the next ones who ask the same; whether a repaired runner
	// bears it is found out at the price of one crash.
	firstTerm clock.Millis = 5 * 60_000
	// longestTerm bounds the doubling of the term with each crash after it.
	longestTerm clock.Millis = 60 * 60_000
	// recent crashes are told again and again, lest somebody missed them.
	recent clock.Millis = 5_000
)

// Quarantine keeps a request from all runners for a while.
type Quarantine struct {
	Fingerprint Fingerprint
	Since   clock.Millis
	Until   clock.Millis
	// Count counts how often the request was quarantined.
	Count int
}

// Clearance says that a request ran without a crash.
type Clearance struct {
	Fingerprint Fingerprint
	At      clock.Millis
}

// blame lets a quarantined request explain a crash: the others that ran there had no part.
func (m *Machine) blame(q *suspect, c *crash) {
	c.blamed, c.cause = true, q.content
}

func (m *Machine) quarantine(now clock.Millis, q *suspect) {
	terms := q.quarantine.Count + 1
	m.impose(q, Quarantine{Fingerprint: q.content, Since: now, Until: now + term(terms), Count: terms})
	m.found = append(m.found, q.quarantine)
}

// PopNewQuarantines takes the quarantines that this machine found due since it was asked last.
func (m *Machine) PopNewQuarantines() []Quarantine {
	found := m.found
	m.found = nil
	return found
}

func (m *Machine) impose(q *suspect, imposed Quarantine) {
	q.quarantine = imposed
	q.touched = max(q.touched, imposed.Until)
	for at := range q.crashes {
		m.blame(q, m.crashes[at])
	}
}

func term(terms int) clock.Millis {
	span := firstTerm
	for range terms - 1 {
		span = min(2*span, longestTerm)
	}
	return span
}

// ApplyQuarantine takes over a quarantine that another daemon found due; it says whether it is news.
func (m *Machine) ApplyQuarantine(now clock.Millis, told Quarantine) bool {
	told.Until = min(told.Until, now+longestTerm)
	if told.Until <= now || m.cleared[told.Fingerprint] > 0 && m.cleared[told.Fingerprint] >= told.Since-settle {
		return false
	}
	q := m.suspect(now, told.Fingerprint)
	if q.quarantine.Count > told.Count || q.quarantine.Until >= told.Until {
		return false
	}
	news := q.quarantine.Until <= now
	m.impose(q, told)
	return news
}

// Quarantines lists those in force.
func (m *Machine) Quarantines(now clock.Millis) []Quarantine {
	var list []Quarantine
	for _, q := range m.suspects {
		if q.quarantine.Until > now {
			list = append(list, q.quarantine)
		}
	}
	return list
}

// Reports lists runs that ended with a crash and that no quarantined request explains:
// those of the last seconds, and those of requests that more than one crash speaks against.
// The newest come first, at most so many.
func (m *Machine) Reports(now clock.Millis, most int) []Report {
	var list []Report
	for at, c := range m.crashes {
		if c.blamed {
			continue
		}
		for content, sign := range c.suspects {
			if now-c.at <= recent || len(m.suspects[content].crashes) >= doubtful {
				list = append(list, Report{Crash: at, Fingerprint: content, Phase: sign, At: c.at})
			}
		}
	}
	slices.SortFunc(list, func(a, b Report) int { return cmp.Compare(b.At, a.At) })
	return list[:min(len(list), most)]
}
