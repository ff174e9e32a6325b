// Package regress plays days of deployments on two versions of the code side by side, and
// tells by how much the second is better or worse on each.
package regress

import "fmt"

// Deployment is one to play, with the days and how often each.
type Deployment struct {
	// File describes it to the bench; Name is for tables.
	File, Name string
	Days       []string
	Seeds      int
}

// Plan is what to play.
type Plan struct {
	Deployments []Deployment
	// FirstSeed is the one of each day's first pair.
	FirstSeed int
	// MaxDrop is how far a deployment may fall on the mean, in worth.
	MaxDrop float64
}

// Pair is one day with one seed, to be played on both versions.
type Pair struct {
	Deployment Deployment
	Day        string
	Seed       int
}

// Pairs lists what to play, the seeds of a day one after the other.
func (p Plan) Pairs() []Pair {
	var pairs []Pair
	for _, d := range p.Deployments {
		for _, day := range d.Days {
			for n := range d.Seeds {
				pairs = append(pairs, Pair{Deployment: d, Day: day, Seed: p.FirstSeed + n})
			}
		}
	}
	return pairs
}

// String names the pair.
func (p Pair) String() string {
	return fmt.Sprintf("%s %s --seed %d", p.Deployment.Name, p.Day, p.Seed)
}
