package regress

import (
	"fmt"
	"io"
	"math"

	"toucanhinge.example/lab/pkg/plots"
)

// Gain is the difference in worth between two versions.
type Gain struct {
	Pairs int
	Mean  float64
	// Error is the standard error of the mean, 0 for a single pair.
	Error float64
	Worst float64
}

func computeGain(differences []float64) Gain {
	g := Gain{Pairs: len(differences), Worst: math.Inf(1)}
	for _, d := range differences {
		g.Mean += d / float64(len(differences))
		g.Worst = min(g.Worst, d)
	}
	if g.Pairs > 1 {
		squares := 0.0
		for _, d := range differences {
			squares += (d - g.Mean) * (d - g.Mean)
		}
		g.Error = math.Sqrt(squares / float64(g.Pairs-1) / float64(g.Pairs))
	}
	return g
}

// Row sums up one deployment, or one of its days or classes.
type Row struct {
	Deployment, Part string
	Before, After    float64
	Gain             Gain
}

// Summary holds the results of all pairs, grouped by deployment, day and class.
type Summary struct {
	Deployments, Days, Classes []Row
	// Broken holds the pairs in which a rule was broken, Failed those without a result.
	Broken, Failed []Result
	maxDrop        float64
}

// Summarize groups results by deployment, day and class, in the order of their first occurrence.
func (p Plan) Summarize(results []Result) Summary {
	s := Summary{maxDrop: p.MaxDrop}
	var all, days, classes series
	for _, r := range results {
		if r.Err != nil {
			s.Failed = append(s.Failed, r)
			continue
		}
		if r.Before.BrokenRules != "" || r.After.BrokenRules != "" {
			s.Broken = append(s.Broken, r)
		}
		all.add(r.Deployment.Name, "all", r.Before.Worth, r.After.Worth)
		days.add(r.Deployment.Name, r.Day, r.Before.Worth, r.After.Worth)
		for i, c := range r.Before.Classes {
			if i < len(r.After.Classes) {
				classes.add(r.Deployment.Name, c.Class, c.Worth, r.After.Classes[i].Worth)
			}
		}
	}
	s.Deployments, s.Days, s.Classes = all.rows(), days.rows(), classes.rows()
	return s
}

// series collects the worth before and after by deployment and part.
type series struct {
	list []*samples
}

type samples struct {
	deployment, part string
	before, after    []float64
}

func (s *series) add(deployment, part string, before, after float64) {
	for _, f := range s.list {
		if f.deployment == deployment && f.part == part {
			f.before, f.after = append(f.before, before), append(f.after, after)
			return
		}
	}
	s.list = append(s.list, &samples{deployment, part, []float64{before}, []float64{after}})
}

func (s *series) rows() []Row {
	var rows []Row
	for _, f := range s.list {
		differences := make([]float64, len(f.before))
		for i := range f.before {
			differences[i] = f.after[i] - f.before[i]
		}
		rows = append(rows, Row{f.deployment, f.part, computeGain(f.before).Mean, computeGain(f.after).Mean, computeGain(differences)})
	}
	return rows
}

// Regressions returns the deployments whose mean worth fell by more than the allowed drop.
func (s Summary) Regressions() []Row {
	var regressions []Row
	for _, row := range s.Deployments {
		if row.Gain.Mean < -s.maxDrop {
			regressions = append(regressions, row)
		}
	}
	return regressions
}

// Passed reports whether the second version broke no rule, every pair has a result and no
// deployment fell by more than the allowed drop.
func (s Summary) Passed() bool {
	for _, r := range s.Broken {
		if r.After.BrokenRules != "" {
			return false
		}
	}
	return len(s.Failed) == 0 && len(s.Regressions()) == 0
}

// Write writes the results as Markdown tables, followed by broken rules, failed pairs and
// regressions.
func (s Summary) Write(w io.Writer) error {
	for _, t := range []struct {
		title string
		rows  []Row
	}{{"days", s.Deployments}, {"day", s.Days}, {"class", s.Classes}} {
		if _, err := fmt.Fprintf(w, "\n| deployment | %s | pairs | before | after | gain | standard error | worst pair |\n|---|---|---|---|---|---|---|---|\n", t.title); err != nil {
			return fmt.Errorf("write a table: %w", err)
		}
		for _, r := range t.rows {
			if _, err := fmt.Fprintf(w, "| %s | %s | %d | %.3f | %.3f | %+.4f | %.4f | %+.3f |\n",
				r.Deployment, r.Part, r.Gain.Pairs, r.Before, r.After, r.Gain.Mean, r.Gain.Error, r.Gain.Worst); err != nil {
				return fmt.Errorf("write a row: %w", err)
			}
		}
	}
	for _, r := range s.Broken {
		if _, err := fmt.Fprintf(w, "\nrule broken: %s: before %q, after %q\n", r.Pair, r.Before.BrokenRules, r.After.BrokenRules); err != nil {
			return fmt.Errorf("write a broken rule: %w", err)
		}
	}
	for _, r := range s.Failed {
		if _, err := fmt.Fprintf(w, "\nno result: %s: %v\n", r.Pair, r.Err); err != nil {
			return fmt.Errorf("write a failure: %w", err)
		}
	}
	for _, r := range s.Regressions() {
		if _, err := fmt.Fprintf(w, "\nfell by more than %.3f: %s\n", s.maxDrop, r.Deployment); err != nil {
			return fmt.Errorf("write a regression: %w", err)
		}
	}
	return nil
}

// Picture plots the worth of each day before and after.
func (s Summary) Picture() plots.Picture {
	before, after := plots.Line{Name: "before"}, plots.Line{Name: "after"}
	for i, r := range s.Days {
		before.Points = append(before.Points, plots.Point{X: float64(i), Y: r.Before})
		after.Points = append(after.Points, plots.Point{X: float64(i), Y: r.After})
	}
	return plots.Picture{
		Title: "worth by deployment and day", X: "day, in the order of the table", Y: "worth", Lines: []plots.Line{before, after},
	}
}
