// Package quota enforces the request rate of each team across all gateways.
//
// The expected load is thousands of teams, nearly all of them far below their limit. Each has a
// few callers that stay with one gateway and move to another one when that fails. Now and then a
// team sends many times its usual load, or an operator lowers its limit. Requests within the
// limit must not be refused, not even while the core elects a leader. Requests beyond the limit
// must not run in any time window, however they are spread over the gateways. Each gateway
// therefore decides alone, from the admitted requests of all gateways, which the gateways
// exchange in their load digests some milliseconds later. The overrun margin above the limit
// covers requests that a gateway can't know of yet.
//
// Machine has no goroutine, socket or clock.
package quota

import (
	"hash/fnv"

	"toucanhinge.example/common/pkg/clock"
)

const (
	// defaultWindow is the window length if the configuration sets none.
	defaultWindow clock.Millis = 5_000
	// unknownMarginShare is the share of the margin that may be used while the requests before the
	// start are unknown. The rest is left for requests that other gateways admit at the same time.
	unknownMarginShare = 0.7
	// assumedUsage is the share of its limit that a team is assumed to have used before the start.
	// Callers within their quota use less.
	assumedUsage = 0.6
	// excessRateFactor and excessBurstFactor are the factors of rate and burst above which the
	// requests since the start mark a team as far above its limit. Such a team was probably above
	// its limit before the start as well, and may just have used its whole limit.
	excessRateFactor  = 1.5
	excessBurstFactor = 0.5
	// isolatedGateways is the number of gateways that may be cut off from all others at the same
	// time; each may use an equal share of the margin.
	isolatedGateways = 8
	// paceIntervals is the number of equal intervals of a window over which the requests of a team
	// at its limit are spread.
	paceIntervals = 10
	// paceSlack lets an interval hold more than its share. Otherwise the team would lose the
	// unused share of intervals with fewer requests.
	paceSlack = 1.2
	// roundWait is how long a request waits if it must not be admitted before other gateways know
	// of the requests admitted in this round.
	roundWait clock.Millis = 5
	// pauseThreshold is the longest gap between two MarkAlive calls of a running process.
	// resumePeriod is how long after a longer gap datagrams from before it are still being read.
	pauseThreshold clock.Millis = 1_000
	resumePeriod   clock.Millis = 200
	// expiryWindows is the number of windows after which a team without requests is removed.
	expiryWindows = 3
)

// Config sets the window length and the overrun margin.
type Config struct {
	// Window is the window length; 0 means five seconds.
	Window clock.Millis
	// OverrunRatio and OverrunRequests are the margin by which the admitted requests may exceed
	// the limit: a fraction of the limit plus a number of requests.
	OverrunRatio    float64
	OverrunRequests float64
}

// Limit is the request limit of a team in the routing table.
type Limit struct {
	Team string
	// Rate is in requests per second. Burst is the number of additional requests per window.
	Rate, Burst float64
}

// Peers is the state of the other gateways as one gateway sees it.
type Peers struct {
	// Gateways is the number of gateways.
	Gateways int
	// Age is the lag of the counts received from the other gateways.
	Age clock.Millis
	// Isolated is set if nothing was received from any peer for too long.
	Isolated bool
}

// Verdict is the decision on a request.
type Verdict struct {
	Admitted bool
	// Wait, if set, is the delay after which Admit must be called again for the request.
	Wait clock.Millis
	// RetryAfter is the time until a refused request fits.
	RetryAfter clock.Millis
	// Used and Limit are the inputs of the decision: the requests in the window, and the most
	// that it may hold.
	Used, Limit float64
}

// ID is a short hash of a team's name. Two teams with the same ID would share their quota.
type ID uint32

// IDOf returns the ID of a team.
func IDOf(team string) ID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(team))
	return ID(h.Sum32())
}

// Machine counts the requests of all gateways and admits those of its own gateway. It is not
// safe for concurrent use.
type Machine struct {
	config Config
	// knownSince is the time from which on all requests are known; valid once started.
	knownSince clock.Millis
	started    bool
	teams      map[ID]*account
	sources    map[string]*source
	prunedAt   clock.Millis
	// lastAlive is the time of the last MarkAlive call. resumedAt is when the process ran again
	// after its last long pause, and pausedFor is the length of that pause.
	lastAlive, resumedAt, pausedFor clock.Millis
	// incompleteUntil is the end of the time in which this process may not have counted all
	// requests in the window.
	incompleteUntil clock.Millis
}

// account is the state of one team.
type account struct {
	all *window
	own *window
	// counted is the sum of all changes of the window all, reported the use that other daemons
	// report.
	counted  float64
	reported reportedUse
	// limit is the limit that the counts were last scaled to, 0 before the first request.
	limit float64
	// retryAt is the retry time returned for the last refused request.
	retryAt  clock.Millis
	lastUsed clock.Millis
	// local counts the requests at this gateway since the start, and centre those of the whole
	// data centre. localPending and centrePending are how many times each must still be published.
	local, centre               tally
	localPending, centrePending int
	// requests counts the requests at this gateway since the start, admitted or not.
	requests int
	// refusedTotal counts the requests that any gateway refused.
	refusedTotal int64
	// lastRefusal is the time of the last refusal at this gateway, 0 before the first.
	lastRefusal clock.Millis
	// roundStart is the start of the current round. Other gateways may not know yet of the requests
	// admitted in it. roundAdmitted is the number of those requests, and roundShare the most
	// allowed.
	roundStart    clock.Millis
	roundAdmitted int
	roundShare    float64
}

// tally counts admitted and refused requests.
type tally struct{ admitted, refused int64 }

func (t tally) plus(change tally) tally {
	return tally{t.admitted + change.admitted, t.refused + change.refused}
}

// New returns a machine without any counts.
func New(config Config) *Machine {
	if config.Window == 0 {
		config.Window = defaultWindow
	}
	return &Machine{config: config, teams: map[ID]*account{}, sources: map[string]*source{}}
}

// Begin starts a machine that receives the counts of all gateways from now on. All requests of
// the duration known before now are counted already.
func (m *Machine) Begin(now, known clock.Millis) {
	if !m.started {
		m.knownSince, m.started = now-known, true
	}
}

// MarkAlive records that this process runs. It must be called at least four times a second.
// After a pause, the process receives the counts of the whole pause at once.
func (m *Machine) MarkAlive(now clock.Millis) {
	if m.lastAlive > 0 && now-m.lastAlive > pauseThreshold {
		m.resumedAt, m.pausedFor = now, now-m.lastAlive
		m.incompleteUntil = now + m.config.Window
	}
	m.lastAlive = now
}

// limitOf returns the number of a team's requests that fit into a window.
func (m *Machine) limitOf(l Limit) float64 {
	return l.Rate*float64(m.config.Window)/1_000 + l.Burst
}

// margin returns the number of requests by which a limit may be exceeded.
func (m *Machine) margin(limit float64) float64 {
	return limit*m.config.OverrunRatio + m.config.OverrunRequests
}

// Admit decides on one request of a team. A request that is admitted and then certainly doesn't
// run must be released.
func (m *Machine) Admit(now clock.Millis, l Limit, peers Peers) Verdict {
	limit := m.limitOf(l)
	a := m.account(now, IDOf(l.Team))
	a.rescale(limit)
	a.requests++
	used, allowed := m.used(now, a), limit
	if unknown := m.unknown(now); unknown > 0 {
		allowed += unknownMarginShare * m.margin(limit)
		if m.farAboveLimit(now, a, l) {
			used += limit
		} else {
			used += limit * (1 - assumedUsage*(1-unknown))
		}
	}
	a.startRound(now, limit+m.margin(limit)-used, peers)
	verdict := Verdict{Used: used, Limit: allowed}
	switch {
	case (peers.Isolated || !m.started) && a.own.sum(now)+1 > m.margin(limit)/isolatedGateways:
		verdict.Limit = m.margin(limit) / isolatedGateways
		verdict.RetryAfter = m.retryAfter(now, a, l, peers, a.own, verdict.Limit)
	case used+1 > allowed || m.paced(now, a, limit):
		verdict.RetryAfter = m.retryAfter(now, a, l, peers, a.all, allowed-(used-a.all.sum(now)))
	case float64(a.roundAdmitted+1) > a.roundShare:
		verdict.Wait = roundWait
	default:
		verdict.Admitted = true
		a.admit(now)
	}
	return verdict
}

// Release removes a request that was admitted at the given time and never ran.
func (m *Machine) Release(now, at clock.Millis, team string) {
	a := m.account(now, IDOf(team))
	a.add(now, at, -1)
	a.own.add(now, at, -1)
	a.count(tally{admitted: -1})
}

// Refused returns the number of a team's requests refused since the start.
func (m *Machine) Refused(team string) int64 {
	if a := m.teams[IDOf(team)]; a != nil {
		return a.refusedTotal
	}
	return 0
}

// Used returns the number of a team's requests in the window.
func (m *Machine) Used(now clock.Millis, team string) float64 {
	if a := m.teams[IDOf(team)]; a != nil {
		return a.all.sum(now)
	}
	return 0
}

// farAboveLimit reports whether a team has sent so many requests since the start that it must have
// been refused before.
func (m *Machine) farAboveLimit(now clock.Millis, a *account, l Limit) bool {
	return float64(a.requests) > excessRateFactor*l.Rate*float64(now-m.knownSince)/1_000+excessBurstFactor*l.Burst+unknownMarginShare*m.config.OverrunRequests
}

// unknown returns the share of the window for which the requests aren't known.
func (m *Machine) unknown(now clock.Millis) float64 {
	if !m.started {
		return 1
	}
	return min(max(1-float64(now-m.knownSince)/float64(m.config.Window), 0), 1)
}

func (m *Machine) account(now clock.Millis, id ID) *account {
	a := m.teams[id]
	if a == nil {
		a = &account{all: newWindow(m.config.Window), own: newWindow(m.config.Window)}
		m.teams[id] = a
	}
	a.lastUsed = now
	m.prune(now)
	return a
}

// prune removes teams without requests, and sources that no longer report.
func (m *Machine) prune(now clock.Millis) {
	if now-m.prunedAt < m.config.Window {
		return
	}
	m.prunedAt = now
	for id, a := range m.teams {
		if now-a.lastUsed > expiryWindows*m.config.Window && a.local == (tally{}) && a.centre == (tally{}) {
			delete(m.teams, id)
		}
	}
	for name, s := range m.sources {
		if now-s.lastSeen > 2*expiryWindows*m.config.Window {
			delete(m.sources, name)
		}
	}
}

// rescale applies a changed limit. When the limit drops, the counts are scaled down with it, so
// that the used share of the limit stays the same. Without that, a team whose limit drops to a
// tenth would be refused for a whole window.
func (a *account) rescale(limit float64) {
	if a.limit > 0 && limit < a.limit {
		for _, w := range []*window{a.all, a.own} {
			w.scale(float32(limit / a.limit))
		}
		a.reported.scale(limit / a.limit)
	}
	a.limit = limit
}

// paced reports whether a request of a recently refused team must be refused, so that the team's
// requests are admitted at an even pace. If they were admitted as soon as the window permits,
// the requests of each window would run together at its beginning, and a gateway that starts
// couldn't know how much had been used just before.
func (m *Machine) paced(now clock.Millis, a *account, limit float64) bool {
	if a.lastRefusal == 0 || now-a.lastRefusal >= m.config.Window/2 {
		return false
	}
	return a.all.recent(now, buckets/paceIntervals)+1 > max(paceSlack*limit/paceIntervals, 1)
}

// startRound starts a round unless the current one is younger than the lag of the counts: only
// after that time do the other gateways know of its requests. All gateways may admit requests at
// the same time. Each may use a share of the remaining limit that corresponds to its share of
// the team's requests so far, but at least one request.
func (a *account) startRound(now clock.Millis, remaining float64, peers Peers) {
	if a.roundStart > 0 && now-a.roundStart < peers.Age {
		return
	}
	share := (a.own.sum(now) + 1) / (a.all.sum(now) + float64(max(peers.Gateways, 1)))
	a.roundStart, a.roundAdmitted, a.roundShare = now, 0, max(remaining*share, 1)
}

func (a *account) admit(now clock.Millis) {
	a.roundAdmitted++
	a.add(now, now, 1)
	a.own.add(now, now, 1)
	a.count(tally{admitted: 1})
}

// count changes the counts that are published to other daemons.
func (a *account) count(change tally) {
	a.local = a.local.plus(change)
	a.centre = a.centre.plus(change)
	a.refusedTotal += change.refused
	a.localPending, a.centrePending = publishRepeats, publishRepeats
}

// retryAfter records a refusal and returns the time until the request fits. Consecutive refusals
// get retry times with a gap between them. The gap grows with the number of gateways, since all
// of them return retry times in this way.
func (m *Machine) retryAfter(now clock.Millis, a *account, l Limit, peers Peers, w *window, limit float64) clock.Millis {
	gap := clock.Millis(1_000 * float64(max(peers.Gateways, 1)) / l.Rate)
	first := now + w.timeToFit(now, limit, 1)
	a.lastRefusal = now
	a.count(tally{refused: 1})
	a.retryAt = min(max(first, a.retryAt+gap), now+m.config.Window)
	return max(a.retryAt-now, 1)
}
