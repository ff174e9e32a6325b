package partcrashes

import (
	"math"

	"toucanhinge.example/common/pkg/clock"
)

// bucketSpan and buckets determine the period over which the outcomes of runs are counted: half a minute.
const (
	bucketSpan clock.Millis = 1_000
	buckets    clock.Millis = 30
)

// outcomes counts how this daemon's recent runs of all requests ended: answered, or unanswered by a crash.
type outcomes struct {
	counts [buckets]struct {
		bucket            clock.Millis
		answered, crashed int
	}
}

func (o *outcomes) record(at clock.Millis, crashed bool) {
	bucket := at / bucketSpan
	c := &o.counts[bucket%buckets]
	if c.bucket != bucket {
		c.bucket, c.answered, c.crashed = bucket, 0, 0
	}
	if crashed {
		c.crashed++
	} else {
		c.answered++
	}
}

// crashRate estimates the probability that a run of another request than those of a suspect ended in a crash before its
// answer began. own is the number of such runs with the suspect.
func (o *outcomes) crashRate(now clock.Millis, own int) float64 {
	answered, crashed := 0, -own
	for _, c := range o.counts {
		if now/bucketSpan-c.bucket < buckets {
			answered += c.answered
			crashed += c.crashed
		}
	}
	crashed = max(crashed, 0)
	return float64(crashed+1) / float64(answered+crashed+2)
}

// answered counts the runs that were answered in a period.
func (o *outcomes) answered(from, to clock.Millis) (count int) {
	for _, c := range o.counts {
		if c.bucket >= from/bucketSpan && c.bucket <= to/bucketSpan {
			count += c.answered
		}
	}
	return count
}

// rateBeside estimates the same probability from the time of the crashes of a suspect alone: the runs that ended in
// crashes without the suspect, of all that ended meanwhile. In waves of unrelated crashes it is much higher than over a
// longer time.
func (m *Machine) rateBeside(s *suspect, e evidence) float64 {
	from, to, crashed := e.first-bucketSpan, e.newest+bucketSpan, 0
	for _, c := range m.crashes {
		if !c.suspects[s.part] && c.at >= from && c.at <= to {
			crashed += c.ownUnanswered
		}
	}
	if crashed == 0 {
		return 0
	}
	return float64(crashed) / float64(crashed+m.outcomes.answered(from, to))
}

// chance returns the probability that a number of runs with a harmless part all end in crashes.
func chance(rate float64, runs int) float64 { return math.Pow(rate, float64(runs)) }
