package route

import (
	"toucanhinge.example/common/pkg/clock"
)

// Endpoint is one back end as the configuration describes it.
type Endpoint struct {
	Name        string
	Address     string
	DataCentre  string
	Incarnation uint64
	Slots       int
	Draining     bool
	// LatencyUS is the usual one-way time from this gateway, microseconds.
	LatencyUS uint32
}

// Load is what a sidecar last said of its endpoint.
type Load struct {
	Running int
	Queued  int
	Slots   int
	Foreign int
	// Wait expected for a new online request, a span.
	Wait    clock.Millis
	Draining bool
	Healthy bool
}

// Outcome says how an attempt at an endpoint ended.
type Outcome uint8

// Outcomes of attempts.
const (
	// OutcomeComplete is a whole answer.
	OutcomeComplete Outcome = iota + 1
	// OutcomeRefused is a refusal that says not run.
	OutcomeRefused
	// OutcomeFailed is an answer that broke, stalled or made no sense.
	OutcomeFailed
	// OutcomeUnreachable is an endpoint that can't be reached at all.
	OutcomeUnreachable
	// OutcomeNeutral says nothing of the endpoint: the caller left or ran out of time.
	OutcomeNeutral
)

// state is what this gateway knows of one endpoint.
type state struct {
	Endpoint
	hash uint64

	// own requests under way, and how many there were when the load was told.
	own      int
	ownThen  int
	load     Load
	loadAt   clock.Millis
	nextPoll clock.Millis
	// fullUntil holds after a refusal, whatever the endpoint says of its load.
	fullUntil clock.Millis

	// failures of requests and silent polls, each in a row.
	failures  int
	silent    int
	ejections int
	// ejectedUntil is the end of the present ejection; probing follows it.
	ejectedUntil clock.Millis
	probing      bool
	// unreachable ejections end with the first answered poll.
	unreachable bool
	returnedAt  clock.Millis

	// first is the moving mean of the time to the first piece, milliseconds.
	first   float64
	samples int
}

// slots the endpoint runs at once; the sidecar's word goes before the configuration's.
func (s *state) slots() int {
	if s.load.Slots > 0 {
		return s.load.Slots
	}
	return max(s.Slots, 1)
}

// online estimates the online requests at the endpoint now: what it said, and
// what we sent and ended since. Never less than our own, which we know.
func (s *state) online() int {
	told := s.load.Running + s.load.Queued + s.own - s.ownThen
	return max(told, s.own)
}

// startShare is the part of its capacity that a returning endpoint gets at first.
const startShare = 0.1

// capacity in requests: less what others use, and less while it warms up.
func (s *state) capacity(now, slowStart clock.Millis) float64 {
	c := float64(max(s.slots()-s.load.Foreign, 1))
	if s.returnedAt == 0 || now >= s.returnedAt+slowStart {
		return c
	}
	warm := float64(now-s.returnedAt) / float64(slowStart)
	return c * max(startShare, warm)
}

// usable says whether new work may go there at all.
func (s *state) usable(now clock.Millis) bool {
	if s.Draining || s.load.Draining || now < s.ejectedUntil {
		return false
	}
	return s.loadAt == 0 || s.load.Healthy
}
