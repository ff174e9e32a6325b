package route

import (
	"toucanhinge.example/common/pkg/clock"
)

// Endpoint describes an endpoint as it is configured.
type Endpoint struct {
	Name        string
	Address     string
	DataCentre  string
	Incarnation uint64
	Slots       int
	Draining    bool
	// LatencyUS is the usual one-way latency from this gateway, in microseconds.
	LatencyUS uint32
}

// Load is the load that a sidecar last reported for its endpoint.
type Load struct {
	Running int
	Queued  int
	Slots   int
	Foreign int
	// Wait is the expected wait of a new online request.
	Wait     clock.Millis
	Draining bool
	Healthy  bool
	// Software is the version of the engine's software, empty if unknown.
	Software string
}

// Outcome classifies how an attempt at an endpoint ended.
type Outcome uint8

// Outcomes of attempts.
const (
	// OutcomeComplete is a complete answer.
	OutcomeComplete Outcome = iota + 1
	// OutcomeRefused is a refusal of a request that was not run.
	OutcomeRefused
	// OutcomeFailed is an answer that broke off, stalled or was malformed.
	OutcomeFailed
	// OutcomeUnreachable is an endpoint that can't be reached or does not answer at all.
	OutcomeUnreachable
	// OutcomeNeutral is no evidence about the endpoint: the caller disconnected, or the deadline passed.
	OutcomeNeutral
)

// endpointState holds what this gateway knows about one endpoint.
type endpointState struct {
	Endpoint
	hash uint64

	// inFlight counts this gateway's requests at the endpoint; inFlightAtLoad is the count
	// when the load was last reported.
	inFlight       int
	inFlightAtLoad int
	load           Load
	loadAt         clock.Millis
	nextPoll       clock.Millis
	// fullUntil is set after a refusal and applies whatever load the endpoint reports.
	fullUntil clock.Millis

	// failures counts consecutive failed requests, missedPolls consecutive polls without an answer.
	failures    int
	missedPolls int
	ejections   int
	// ejectedUntil is the end of the current ejection. The endpoint is probed after it.
	ejectedUntil clock.Millis
	probing      bool
	// unreachable is true for an ejection that ends with the first answered poll.
	unreachable bool
	returnedAt  clock.Millis

	// firstChunkMean is the moving mean of the time to the first chunk, in milliseconds.
	firstChunkMean float64
	samples        int
}

// slots returns the endpoint's slot count; the sidecar's value takes precedence over the configured one.
func (s *endpointState) slots() int {
	if s.load.Slots > 0 {
		return s.load.Slots
	}
	return max(s.Slots, 1)
}

// onlineRequests estimates the number of online requests at the endpoint: the reported count,
// corrected by the requests that this gateway has sent and ended since. It is never less than
// the gateway's own requests in flight, which are known exactly.
func (s *endpointState) onlineRequests() int {
	reported := s.load.Running + s.load.Queued + s.inFlight - s.inFlightAtLoad
	return max(reported, s.inFlight)
}

// slowStartShare is the share of its capacity that a returning endpoint starts with.
const slowStartShare = 0.1

// capacity returns the number of requests the endpoint can run: its slots less foreign work,
// reduced during slow start.
func (s *endpointState) capacity(now, slowStart clock.Millis) float64 {
	c := float64(max(s.slots()-s.load.Foreign, 1))
	if s.returnedAt == 0 || now >= s.returnedAt+slowStart {
		return c
	}
	warm := float64(now-s.returnedAt) / float64(slowStart)
	return c * max(slowStartShare, warm)
}

// usable reports whether the endpoint may receive new requests.
func (s *endpointState) usable(now clock.Millis) bool {
	if s.Draining || s.load.Draining || now < s.ejectedUntil {
		return false
	}
	return s.loadAt == 0 || s.load.Healthy
}
