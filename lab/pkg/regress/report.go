package regress

import (
	"fmt"
	"io"
	"math"

	"toucanhinge.example/lab/pkg/plots"
)

// Gain is by how much a version is better than another.
type Gain struct {
	Pairs int
	Mean  float64
	// Error is the standard error of the mean, 0 for a single pair.
	Error float64
	Worst float64
}

func gainOf(differences []float64) Gain {
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

// Summary is what all pairs say.
type Summary struct {
	Deployments, Days, Classes []Row
	// Broken are the pairs in which a rule was broken, Failed those without a figure.
	Broken, Failed []Result
	most           float64
}

// Summarize sums results up, in the order of their deployments, days and classes.
func (p Plan) Summarize(results []Result) Summary {
	s := Summary{most: p.MaxDrop}
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

// series collects pairs of figures by name.
type series struct {
	list []*figures
}

type figures struct {
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
	s.list = append(s.list, &figures{deployment, part, []float64{before}, []float64{after}})
}

func (s *series) rows() []Row {
	var rows []Row
	for _, f := range s.list {
		differences := make([]float64, len(f.before))
		for i := range f.before {
			differences[i] = f.after[i] - f.before[i]
		}
		rows = append(rows, Row{f.deployment, f.part, gainOf(f.before).Mean, gainOf(f.after).Mean, gainOf(differences)})
	}
	return rows
}

// Regressions lists the deployments that fell by more than they may.
func (s Summary) Regressions() []Row {
	var fell []Row
	for _, row := range s.Deployments {
		if row.Gain.Mean < -s.most {
			fell = append(fell, row)
		}
	}
	return fell
}

// Passed says whether no rule was broken by the second version, every pair gave figures, and no
// deployment fell too far.
func (s Summary) Passed() bool {
	for _, r := range s.Broken {
		if r.After.BrokenRules != "" {
			return false
		}
	}
	return len(s.Failed) == 0 && len(s.Regressions()) == 0
}

// Write prints the tables.
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
		if _, err := fmt.Fprintf(w, "\nno figure: %s: %v\n", r.Pair, r.Err); err != nil {
			return fmt.Errorf("write a failure: %w", err)
		}
	}
	for _, r := range s.Regressions() {
		if _, err := fmt.Fprintf(w, "\nfell by more than %.3f: %s\n", s.most, r.Deployment); err != nil {
			return fmt.Errorf("write a fall: %w", err)
		}
	}
	return nil
}

// Picture draws the worth of each day before and after, the days side by side.
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
