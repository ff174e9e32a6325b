package replay

import (
	"fmt"
	"io"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/lab/pkg/plots"
)

// Overload is a fleet under a load that is a multiple of what it can serve, for some
// seconds, with half of that before and a third after.
type Overload struct {
	// Load is in fleets' capacities.
	Load float64
	// Items says that as many items wait as use half of the places.
	Items bool
	Seed  uint64
}

// The moments of an overload.
const (
	overloadFrom  clock.Millis = 2_000
	overloadUntil clock.Millis = 8_000
	overloadEnds  clock.Millis = 12_000
)

// Run plays it on 54 runners with 7 places behind 27 gateways; requests hold a place for
// 740 ms, items for 5 s.
func (o Overload) Run() Result {
	c := Config{
		Runners: 54, Slots: 7, Gateways: 27, Hold: 740, Run: 5_000, Resume: 30, DigestDelay: 12, Objective: 300, Timeout: 5_000,
		Admit: true, Yield: true, Seed: o.Seed,
	}
	capacity := float64(c.Runners*c.Slots) / float64(c.Hold) * 1_000
	c.Arrivals = Arrivals(o.Seed, overloadEnds,
		Step{0, capacity / 2}, Step{overloadFrom, o.Load * capacity}, Step{overloadUntil, capacity / 3})
	if o.Items {
		const jobsDue = 18_000
		c.Items = SteadyItems(o.Seed, overloadEnds, float64(c.Runners*c.Slots)/2/float64(c.Run)*1_000, jobsDue)
	}
	return Run(c)
}

// loads are the multiples that are played.
var loads = []float64{0.8, 1, 1.2, 1.5, 2, 3}

// Curve plays all loads, writes what callers see as a table in Markdown, and returns the
// picture of it.
func Curve(w io.Writer, seed uint64) (plots.Picture, error) {
	picture := plots.Picture{Title: "Callers under overload", X: "load, in capacities of the fleet", Y: "share of requests"}
	shares := []struct {
		name  string
		count func(Result) int
	}{
		{"in time at once", func(r Result) int { return r.InTime - r.InTimeOnRetry }},
		{"turned away, then in time", func(r Result) int { return r.InTimeOnRetry }},
		{"late", func(r Result) int { return r.Late }},
		{"not served", func(r Result) int { return r.Refused }},
	}
	lines := make([]plots.Line, len(shares))
	text := "| load |"
	for i, s := range shares {
		lines[i].Name = s.name
		text += " " + s.name + " |"
	}
	text += " items in time |\n|---|---|---|---|---|---|\n"
	for _, load := range loads {
		r := Overload{Load: load, Items: true, Seed: seed}.Run()
		all := float64(max(r.InTime+r.Late+r.Refused, 1))
		text += fmt.Sprintf("| %.1f |", load)
		for i, s := range shares {
			share := float64(s.count(r)) / all
			lines[i].Points = append(lines[i].Points, plots.Point{X: load, Y: share})
			text += fmt.Sprintf(" %.3f |", share)
		}
		text += fmt.Sprintf(" %.3f |\n", float64(r.ItemsInTime)/float64(max(r.ItemsInTime+r.ItemsLate, 1)))
	}
	picture.Lines = lines
	if _, err := io.WriteString(w, text); err != nil {
		return picture, fmt.Errorf("write table: %w", err)
	}
	return picture, nil
}
