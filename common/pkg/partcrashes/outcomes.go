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

// outcomes counts how this daemon's recent runs of all requests ended: answered, at least in part, or by a crash.
type outcomes struct {
	counts [buckets]outcomeCounts
}

// outcomeCounts counts the outcomes in one bucket of time. unanswered are those of crashed that had no answer.
type outcomeCounts struct {
	bucket                        clock.Millis
	answered, crashed, unanswered int
}

// at returns the counts of the time of an outcome.
func (o *outcomes) at(at clock.Millis) *outcomeCounts {
	bucket := at / bucketSpan
	c := &o.counts[bucket%buckets]
	if c.bucket != bucket {
		*c = outcomeCounts{bucket: bucket}
	}
	return c
}

func (o *outcomes) recordAnswer(at clock.Millis) { o.at(at).answered++ }

func (o *outcomes) recordCrash(at clock.Millis, unanswered bool) {
	c := o.at(at)
	c.crashed++
	if unanswered {
		c.unanswered++
	}
}

// rates are the probabilities that a run of another request than those of a suspect ends in a crash: before its answer
// begins, and at all.
type rates struct{ unanswered, any float64 }

// crashRates estimates the rates from the last half minute or, if that is more, from the time of the suspect's crashes: in
// waves of unrelated crashes the rates are much higher than over a longer time.
func (m *Machine) crashRates(now clock.Millis, s *suspect, e evidence) rates {
	usual, beside := m.outcomes.rates(now, e), m.ratesBeside(s, e)
	unanswered := max(usual.unanswered, beside.unanswered)
	return rates{unanswered: unanswered, any: max(usual.any, beside.any, unanswered)}
}

// rates estimates the rates from the last half minute, without the runs of a suspect that ended in crashes. If it was at every
// runner that crashed, it may be why the other runs ended there, too.
func (o *outcomes) rates(now clock.Millis, e evidence) rates {
	answered, crashed, unanswered := 0, -e.ownCrashes, -e.ownCrashes
	if e.beside == 0 {
		crashed = -e.ownRuns
	}
	for _, c := range o.counts {
		if now/bucketSpan-c.bucket < buckets {
			answered += c.answered
			crashed += c.crashed
			unanswered += c.unanswered
		}
	}
	return rates{unanswered: estimate(unanswered, answered), any: estimate(crashed, answered)}
}

// estimate estimates a probability from the numbers of crashed and answered runs.
func estimate(crashed, answered int) float64 {
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

// ratesBeside estimates the rates from the time of the crashes of a suspect alone, if there were others meanwhile.
func (m *Machine) ratesBeside(s *suspect, e evidence) rates {
	if e.beside == 0 {
		return rates{}
	}
	from, to, crashed, unanswered := e.first-bucketSpan, e.newest+bucketSpan, 0, 0
	for id, c := range m.crashes {
		if c.at < from || c.at > to {
			continue
		}
		crashed += c.ownRuns
		unanswered += c.ownUnanswered
		if found := s.sightings[id]; found != nil && found.own {
			crashed--
			unanswered--
		}
	}
	answered := float64(m.outcomes.answered(from, to))
	ratio := func(crashed int) float64 { return float64(max(crashed, 0)) / max(float64(max(crashed, 0))+answered, 1) }
	return rates{unanswered: ratio(unanswered), any: ratio(crashed)}
}

// chance returns the probability that a number of runs with a harmless part all end in crashes.
func chance(rate float64, runs int) float64 { return math.Pow(rate, float64(runs)) }
