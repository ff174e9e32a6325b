// Package replay simulates recorded or generated loads against the decision code of
// gateways and of the core, with runners that occupy slots for a given time. It simulates
// seconds of load in milliseconds of processor time, opens no sockets and is deterministic
// for a seed, so that a policy can be compared with a simpler one.
package replay

import (
	"math"
	"math/rand/v2"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/control/pkg/dispatch"
)

// Placement is the policy by which gateways choose a runner.
type Placement int

const (
	// AllCounts uses the load that all daemons report.
	AllCounts Placement = iota
	// OwnCounts uses only the gateway's own running requests.
	OwnCounts
	// Random chooses a runner at random.
	Random
)

// Config describes a load and the fleet that serves it. All times are in milliseconds.
type Config struct {
	Runners  int
	Slots    int
	Gateways int
	// Hold is how long an online request holds its slot, Run the total running time
	// of an item, and Resume the running time that an item loses when paused.
	Hold   clock.Millis
	Run    clock.Millis
	Resume clock.Millis
	// DigestDelay is how long a load digest takes to reach the other daemons.
	DigestDelay clock.Millis
	// Objective is the longest wait that still counts as in time, Timeout how long a
	// caller waits.
	Objective clock.Millis
	Timeout   clock.Millis
	Arrivals  []clock.Millis
	// Teams holds the team of each arrival, nil without teams. Weights holds the weights of the teams; if nil, there
	// are no shares.
	Teams     []string
	Weights   map[string]float64
	Items     []Item
	Placement Placement
	// Admit enables admission: gateways refuse requests and queue retried ones. Without
	// it every request goes to a runner's queue at once.
	Admit bool
	// Yield lets items yield to online requests.
	Yield bool
	// FIFO starts items in the order of arrival instead of by urgency.
	FIFO bool
	// HideTeams hides the items' teams from the dispatcher.
	HideTeams bool
	// MaxRetries is how often callers retry refused requests: once if it is 0, never if
	// it is negative.
	MaxRetries int
	// Outage is the period in which no gateway accepts requests.
	Outage Outage
	// Loss configures the failure of the daemon that dispatches the items.
	Loss Loss
	// Speeds configures runners that differ in speed.
	Speeds Speeds
	// Weight returns the weights of the items' teams, as the dispatcher knows them.
	Weight func(team string) float64
	Seed   uint64
	// GatewayWeights holds the part of the requests that each gateway receives relative to the others; all receive
	// the same if it is empty.
	GatewayWeights []float64
	// FleetQueue lets gateways report their contention and use one wait queue for the fleet.
	FleetQueue bool
}

// Item is a batch item.
type Item struct {
	At       clock.Millis
	Deadline clock.Millis
	// Run is the running time of the item. If it is 0, Config.Run applies and the dispatcher
	// isn't given a size.
	Run clock.Millis
	// Team is the team that submits the item, Priority its priority, 0 for the most urgent.
	Team     string
	Priority uint32
}

// Outage is a period in which no gateway accepts requests. Callers retry once, after
// RetryDelay.
type Outage struct {
	From, Until clock.Millis
	RetryDelay  clock.Millis
}

// Result counts the outcomes of requests and items.
type Result struct {
	InTime int
	// InTimeOnRetry is the part of InTime that was refused at first.
	InTimeOnRetry int
	Late          int
	Refused       int
	// Waits holds the sorted waits of served requests, from their first arrival.
	Waits []clock.Millis
	// Worth is the total value of the requests to the teams: 1 in time, lateAnswerWorth
	// if late, and the mean of both if refused at first and in time on a retry.
	Worth       float64
	ItemsInTime int
	ItemsLate   int
	// TeamItems counts the items in time by team.
	TeamItems map[string]int
	// TeamAttempts counts the attempts of callers by team, including the retries.
	TeamAttempts map[string]Attempts
	Pauses       int
	// Moves counts how often each item moved between runners.
	Moves map[dispatch.Key]int
	// Gateways counts the requests of each gateway by outcome.
	Gateways []GatewayResult
}

// lateAnswerWorth is the value of a late answer relative to one in time, as stated in
// the users' requirements.
const lateAnswerWorth = 0.15

// MeanWorth returns the mean worth over all requests.
func (r Result) MeanWorth() float64 {
	return r.Worth / float64(max(r.InTime+r.Late+r.Refused, 1))
}

// InTimeShare returns the fraction of requests that were served in time.
func (r Result) InTimeShare() float64 {
	return float64(r.InTime) / float64(max(r.InTime+r.Late+r.Refused, 1))
}

// ServedShare returns the fraction of requests that were served, in time or late.
func (r Result) ServedShare() float64 {
	return float64(r.InTime+r.Late) / float64(max(r.InTime+r.Late+r.Refused, 1))
}

// Wait returns a percentile of the waits.
func (r Result) Wait(percent float64) clock.Millis {
	if len(r.Waits) == 0 {
		return 0
	}
	return r.Waits[min(int(float64(len(r.Waits))*percent/100), len(r.Waits)-1)]
}

// Step is an arrival rate that applies from a given time.
type Step struct {
	From clock.Millis
	// Rate is in requests per second.
	Rate float64
}

// Arrivals draws the arrival times of a load whose rate changes in steps, with independent
// arrivals (a Poisson process).
func Arrivals(seed uint64, until clock.Millis, steps ...Step) []clock.Millis {
	random := rand.New(rand.NewPCG(seed, 1))
	var times []clock.Millis
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
			times = append(times, clock.Millis(at))
		}
	}
	slices.Sort(times)
	return times
}

// Bursts returns the load of the users' deployments: bursts of 2.8 s with 1.84 times the
// mean rate every 6.6 s, and 0.377 times the mean rate in between.
func Bursts(mean float64, until clock.Millis) []Step {
	var steps []Step
	for at := clock.Millis(0); at < until; at += 6_600 {
		steps = append(steps, Step{at, 0.377 * mean}, Step{at + 3_800, 1.84 * mean})
	}
	return steps
}
