package replay

import (
	"fmt"
	"io"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/lab/pkg/plots"
)

// Overload is a fleet under a load that is a multiple of its capacity for 6 s. The load is half
// of the capacity before, and a third of it afterwards.
type Overload struct {
	// Load is the load as a multiple of the fleet's capacity.
	Load float64
	// Items adds batch items that use half of the slots.
	Items bool
	Seed  uint64
}

// Start and end of the overload, and end of the arrivals.
const (
	overloadFrom  clock.Millis = 2_000
	overloadUntil clock.Millis = 8_000
	overloadEnd   clock.Millis = 12_000
)

// Run simulates the overload on 54 runners with 7 slots behind 27 gateways. Requests hold a slot
// for 740 ms, items for 5 s.
func (o Overload) Run() Result {
	c := Config{
		Runners: 54, Slots: 7, Gateways: 27, Hold: 740, Run: 5_000, Resume: 30, DigestDelay: 12, Objective: 300, Timeout: 5_000,
		Admit: true, Yield: true, Seed: o.Seed,
	}
	capacity := float64(c.Runners*c.Slots) / float64(c.Hold) * 1_000
	c.Arrivals = Arrivals(o.Seed, overloadEnd,
		Step{0, capacity / 2}, Step{overloadFrom, o.Load * capacity}, Step{overloadUntil, capacity / 3})
	if o.Items {
		const jobDeadline = 18_000
		c.Items = SteadyItems(o.Seed, overloadEnd, float64(c.Runners*c.Slots)/2/float64(c.Run)*1_000, jobDeadline)
	}
	return Run(c)
}

// loadFactors are the simulated multiples of the capacity.
var loadFactors = []float64{0.8, 1, 1.2, 1.5, 2, 3}

// Curve simulates all load factors, writes the outcomes for callers as a Markdown table and
// returns a plot of them.
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
	for _, load := range loadFactors {
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
