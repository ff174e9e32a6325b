// Package regress runs benchmark days of deployments on two versions of the code side by side and
// computes the difference in worth for each deployment.
package regress

import "fmt"

// Deployment is a deployment to benchmark, with its days and the number of seeds per day.
type Deployment struct {
	// File is the bench's description of the deployment; Name is shown in tables.
	File, Name string
	Days       []string
	Seeds      int
}

// Plan lists the deployments to benchmark.
type Plan struct {
	Deployments []Deployment
	// FirstSeed is the seed of each day's first pair.
	FirstSeed int
	// MaxDrop is the largest allowed decrease of a deployment's mean worth.
	MaxDrop float64
}

// Pair is one day with one seed, to be run on both versions.
type Pair struct {
	Deployment Deployment
	Day        string
	Seed       int
}

// Pairs lists all pairs, grouped by day.
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

// String returns the deployment's name, the day and the seed.
func (p Pair) String() string {
	return fmt.Sprintf("%s %s --seed %d", p.Deployment.Name, p.Day, p.Seed)
}
