// Package replay plays recorded or drawn loads against the decisions of gateways
// and of the core, with runners that hold places for a time. It takes seconds of
// load in milliseconds of processor time, needs no socket, and says the same for
// the same seed, so that a policy can be compared with a simpler one.
package replay

import (
	"math"
	"math/rand/v2"
	"slices"

	"toucanhinge.example/common/pkg/clock"
)

// Placement is how gateways choose a runner.
type Placement int

const (
	// AllCounts takes what all daemons told that they have under way.
	AllCounts Placement = iota
	// OwnCounts takes only what the gateway itself has under way.
	OwnCounts
	// Random takes any.
	Random
)

// Config describes a load and the fleet under it. All times are in milliseconds.
type Config struct {
	Runners  int
	Slots    int
	Gateways int
	// Hold is how long an online request holds its place, Run how long an item
	// does in all, and Resume what an item loses by a pause.
	Hold   clock.Millis
	Run    clock.Millis
	Resume clock.Millis
	// DigestDelay is how long a change takes to be known elsewhere.
	DigestDelay clock.Millis
	// Objective is the longest wait of a request in time, Patience how long its
	// caller stays.
	Objective clock.Millis
	Timeout  clock.Millis
	Arrivals  []clock.Millis
	Items     []Item
	Placement   Placement
	// Admit lets the gateways turn requests away and let returned ones wait; without
	// it every request goes to a runner's queue at once.
	Admit bool
	// Yield lets items give way to online requests.
	Yield bool
	// FIFO starts items in the order of arrival in place of urgency.
	FIFO bool
	// HideTeams keeps from whoever orders the items whose they are.
	HideTeams bool
	// MaxRetries is how often callers come back who were turned away: once if it is 0, never
	// if it is negative.
	MaxRetries int
	// Outage is when no gateway takes requests.
	Outage Outage
	// Loss is when the daemon that runs the items vanishes.
	Loss Loss
	Seed uint64
}

// Item is a batch item.
type Item struct {
	At  clock.Millis
	Deadline clock.Millis
	// Run is how long it runs, a span; 0 takes the load's Run and says nothing of its size.
	Run clock.Millis
	// Team hands it in, with a rank of 0 for the most urgent.
	Team string
	Priority uint32
}

// Outage is a span in which no gateway takes requests. Callers notice after ComeBack
// and come back once.
type Outage struct {
	From, Until clock.Millis
	RetryDelay    clock.Millis
}

// Result is what callers and teams got.
type Result struct {
	InTime int
	// InTimeOnRetry is the part of InTime that was turned away first.
	InTimeOnRetry int
	Late     int
	Refused  int
	// Waits of the requests that were served, sorted, from their first arrival.
	Waits []clock.Millis
	// Worth is what the requests are worth to the teams together: 1 in time, lateWorth
	// late, the mean of both for one that was turned away at once and then in time.
	Worth       float64
	ItemsInTime int
	ItemsLate   int
	// TeamItems are those in time of each team.
	TeamItems map[string]int
	Pauses    int
}

// lateWorth is what a late answer is worth on the sheets, in parts of one in time.
const lateWorth = 0.15

// MeanWorth is the mean over all requests.
func (r Result) MeanWorth() float64 {
	return r.Worth / float64(max(r.InTime+r.Late+r.Refused, 1))
}

// InTimeShare is the part of the requests that was served in time.
func (r Result) InTimeShare() float64 {
	return float64(r.InTime) / float64(max(r.InTime+r.Late+r.Refused, 1))
}

// ServedShare is the part of the requests that was served at all.
func (r Result) ServedShare() float64 {
	return float64(r.InTime+r.Late) / float64(max(r.InTime+r.Late+r.Refused, 1))
}

// Wait is a percentile of the waits.
func (r Result) Wait(percent float64) clock.Millis {
	if len(r.Waits) == 0 {
		return 0
	}
	return r.Waits[min(int(float64(len(r.Waits))*percent/100), len(r.Waits)-1)]
}

// Step is a rate that holds from a moment on.
type Step struct {
	From clock.Millis
	// Rate is in requests a second.
	Rate float64
}

// Arrivals draws the moments of a load whose rate changes in steps, each request
// independent of the others.
func Arrivals(seed uint64, until clock.Millis, steps ...Step) []clock.Millis {
	random := rand.New(rand.NewPCG(seed, 1))
	var moments []clock.Millis
	for i, s := range steps {
		end := float64(until)
		if i+1 < len(steps) {
			end = float64(steps[i+1].From)
		}
		at := float64(s.From)
		for {
			at -= math.Log(1-random.Float64()) / s.Rate * 1000
			if at >= end {
				break
			}
			moments = append(moments, clock.Millis(at))
		}
	}
	slices.Sort(moments)
	return moments
}

// Bursts is the load on the users' sheets: bursts of 2.8 s with 1.84 times the
// mean rate every 6.6 s, and 0.377 times the mean in between.
func Bursts(mean float64, until clock.Millis) []Step {
	var steps []Step
	for at := clock.Millis(0); at < until; at += 6_600 {
		steps = append(steps, Step{at, 0.377 * mean}, Step{at + 3_800, 1.84 * mean})
	}
	return steps
}
