package pace

import (
	"slices"

	"toucanhinge.example/common/pkg/clock"
)

// Spread is the smallest, the middle and the largest of some values; all are 0 if there is none.
type Spread struct {
	Min, Median, Max float64
}

// Summary describes the estimates of all runners that have reported their pace, for metrics.
type Summary struct {
	// Reporting is the number of these runners, and Overruled that of those whose requests contradict
	// their reports.
	Reporting, Overruled int
	// Usual and Present are paces relative to the mean of the runner's service.
	Usual, Present Spread
	// Age is the time since the last report, in milliseconds.
	Age Spread
}

// Summary returns the spread of what is known of the runners.
func (t *Table) Summary(now clock.Millis) Summary {
	s := Summary{}
	var usual, present, ages []float64
	for id, m := range t.models {
		if m.usual == 0 {
			continue
		}
		s.Reporting++
		if m.doubted {
			s.Overruled++
		}
		usual = append(usual, t.Usual(id))
		present = append(present, t.Present(now, id))
		ages = append(ages, float64(max(now-m.reportedAt, 0)))
	}
	s.Usual, s.Present, s.Age = spreadOf(usual), spreadOf(present), spreadOf(ages)
	return s
}

func spreadOf(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	slices.Sort(values)
	return Spread{Min: values[0], Median: values[(len(values)-1)/2], Max: values[len(values)-1]}
}
