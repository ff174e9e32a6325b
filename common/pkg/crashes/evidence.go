package crashes

import (
	"math"

	"toucanhinge.example/common/pkg/clock"
)

// How many crashes quarantine a request.
const (
	// fewest prove it where crashes are rare, if nobody else who was there has met nearly as
	// many: a sound request that waits in the same queues as a crashing one, and is sent on
	// with it, shares two of its crashes now and then. Margin is what it must be ahead.
	fewest = 3
	margin = 2
	// crowded are enough if it is ahead of all others at all.
	crowded = 5
	// most are enough in any case, those of young runs included, but for an hour with so many
	// other crashes that even that happens to sound requests: then mostRough are.
	most      = 6
	mostRough = 8
	// mostShared are enough even if another request explains some of them: several that crash
	// runners at the same time would else cover for one another.
	mostShared = 7
	// chance is the highest probability that a sound request meets as many crashes, one
	// after the other, before its first event.
	chance = 2e-6
	// exposed is how long a request waits for its first event, queues included.
	exposed clock.Millis = 150
	// window is the span over which crashes for other reasons are counted.
	window clock.Millis = 10_000
	// settle is how long after a crash all gateways have told what they had under way there:
	// datagrams travel a few milliseconds, small VMs are tens of milliseconds late, and a lost
	// one comes again after 40 ms.
	settle clock.Millis = 100
)

// evidence is what speaks against a request: numbers of crashes that nothing else explains.
type evidence struct {
	// all counts every one, silent those before a first event.
	all    int
	silent int
	// shared counts the silent crashes that something else explains, too.
	shared int
	// likeliest counts the silent ones for which nobody else is as likely the cause, counted
	// those for which nobody else is by far.
	likeliest int
	counted   int
	// newest is when the newest crash was.
	newest clock.Millis
}

// proves says whether the evidence is enough where so many crashes are needed.
func (e evidence) proves(needed int) bool {
	if e.counted >= needed || e.likeliest >= max(needed, crowded) || e.silent >= most || e.shared >= mostShared {
		return true
	}
	if needed == fewest {
		return e.all >= most
	}
	return e.all >= mostRough
}

// needed is how many crashes prove that a request is their cause. In an hour when runners
// crash for other reasons, by waves or one after the other, sound requests that are sent
// again and again meet three of them now and then.
func (m *Machine) needed(now clock.Millis, q *suspect) int {
	others := 0
	for at, c := range m.crashes {
		if now-c.at <= window && !c.blamed && !q.crashes[at] {
			others++
		}
	}
	once := float64(others+1) * float64(exposed) / (float64(window) * float64(max(m.runners, 1)))
	// The first two come close together, so they count as one.
	meets := math.Pow(once, fewest-1)
	for crashes := fewest; crashes < most; crashes++ {
		if meets <= chance {
			return crashes
		}
		meets *= once
	}
	return most
}

func (m *Machine) evidence(now clock.Millis, q *suspect) evidence {
	e := evidence{silent: m.silent(q)}
	for at := range q.crashes {
		c := m.crashes[at]
		if c.suspects[q.content] == BeforeFirstEvent {
			e.shared++
		}
		if c.blamed {
			continue
		}
		e.all++
		e.newest = max(e.newest, c.at)
		if c.at+settle > now || c.suspects[q.content] != BeforeFirstEvent {
			continue
		}
		rival := m.rival(c, q.content)
		if rival < e.silent {
			e.likeliest++
		}
		if rival <= e.silent-margin {
			e.counted++
		}
	}
	return e
}

// silent counts the silent crashes of a request that no quarantined one explains.
func (m *Machine) silent(q *suspect) int {
	count := 0
	for at := range q.crashes {
		if c := m.crashes[at]; !c.blamed && c.suspects[q.content] == BeforeFirstEvent {
			count++
		}
	}
	return count
}

// rival is the number of silent crashes of the likeliest other cause of a crash.
func (m *Machine) rival(c *crash, content Fingerprint) int {
	likeliest := 0
	for other := range c.suspects {
		if other != content {
			likeliest = max(likeliest, m.silent(m.suspects[other]))
		}
	}
	return likeliest
}
