// Package quota keeps the requests of each team within its rate at all gateways together.
//
// The load that it answers: thousands of teams, nearly all of them far below their limit, each
// with a few callers that keep to one gateway and move to another one when that fails; now
// and then a team that sends many times its usual, or whose limit an operator lowers. What
// is within the limit must not be refused, also not while the core elects a leader; what is
// beyond must not run, however the requests are spread over the gateways, in any window of
// time. So each gateway decides by itself, from the requests that all gateways let in: they
// tell one another with their load digests, some milliseconds later. The bound leaves a
// margin above the limit for what they can't know yet.
//
// It holds no goroutine, socket or clock.
package quota

import (
	"hash/fnv"

	"toucanhinge.example/common/pkg/clock"
)

const (
	// defaultWindow is the length of the windows if none is set.
	defaultWindow clock.Millis = 5_000
	// unknownPart is the part of the margin that may be used while it isn't known what ran before
	// the start. The rest is left for what is let in at the same moment elsewhere.
	unknownPart = 0.7
	// unknownUse is how much of its limit a team is taken to have used before the start: callers
	// within their quota use less.
	unknownUse = 0.6
	// hotRate and hotBurst tell a team that asks for far more than its limit, by its requests
	// since the start: it did so before, and may have used all of its limit a moment ago.
	hotRate  = 1.5
	hotBurst = 0.5
	// isolatedGateways is the number of gateways that may be cut off from all others at once,
	// each with its part of the margin.
	isolatedGateways = 8
	// paces is the number of equal parts of a window among which a team at its limit is spread.
	paces = 10
	// paceSlack lets such a part hold more than its share: parts that got fewer requests would
	// else be lost to the team.
	paceSlack = 1.2
	// roundWait is how long a request waits that must not be let in before others know of those
	// that were.
	roundWait clock.Millis = 5
	// frozenAfter is the longest pause between two signs of life of this process; thawSpan is
	// how long after a longer one the datagrams of before are still being read.
	frozenAfter clock.Millis = 1_000
	thawSpan    clock.Millis = 200
	// forgetAfter is the number of windows after which a team without requests is forgotten.
	forgetAfter = 3
)

// Config sets the windows and their margin.
type Config struct {
	// Window is the length of the windows, a span; 0 means five seconds.
	Window clock.Millis
	// OverrunRatio and Slack are the margin between the limit and what may run at most: a part of
	// the limit, and a number of requests.
	OverrunRatio float64
	OverrunRequests   float64
}

// Limit is a team's, as the routing table has it.
type Limit struct {
	Team string
	// Rate is in requests a second, Burst how many more may come in a window.
	Rate, Burst float64
}

// Peers is what a gateway knows of the others.
type Peers struct {
	// Gateways is how many there are.
	Gateways int
	// Age is how old the newest that is known of them is, a span.
	Age clock.Millis
	// Isolated says that nothing was heard of anybody for too long.
	Isolated bool
}

// Verdict is what becomes of a request.
type Verdict struct {
	Admitted bool
	// Wait is set if the request must be asked for once more after that span.
	Wait clock.Millis
	// RetryAfter is when a refused request fits, a span.
	RetryAfter clock.Millis
	// Used and Limit are what decided: the requests in the window, and how many may be.
	Used, Limit float64
}

// ID names a team in few bytes. Two teams of one ID would share their quota.
type ID uint32

// IDOf is a team's.
func IDOf(team string) ID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(team))
	return ID(h.Sum32())
}

// Machine counts the requests of all gateways. It is not safe for concurrent use.
type Machine struct {
	config Config
	// since is the point from which on all requests are known, set once started.
	since   clock.Millis
	started bool
	teams   map[ID]*account
	sources map[string]*source
	pruned  clock.Millis
	// awake is when this process was known to run last; thawed when it ran again after a
	// silence of frozen, a span.
	awake, thawed, frozen clock.Millis
}

// account is what is known of one team.
type account struct {
	all *window
	own *window
	// limit is the one that the counts were scaled to last, 0 before the first.
	limit float64
	// promised is the point at which the last refused request was told to come back.
	promised clock.Millis
	touched  clock.Millis
	// here counts the requests here since the start, centre those of the whole data centre;
	// hereLeft and centreLeft say how often each must still be told.
	here, centre         tally
	hereLeft, centreLeft int
	// asked counts the requests since the start, let in or not.
	asked int
	// refusedAll counts those that were refused anywhere.
	refusedAll int64
	// refused is when the last one was refused, 0 before the first.
	refused clock.Millis
	// round is when the present round of requests began, of which others may not know yet;
	// inRound is how many were let in since, and share how many may be.
	round   clock.Millis
	inRound int
	share   float64
}

// tally counts requests that were let in and that were refused.
type tally struct{ let, refused int64 }

func (t tally) plus(change tally) tally { return tally{t.let + change.let, t.refused + change.refused} }

// New makes a machine that knows nothing yet.
func New(config Config) *Machine {
	if config.Window == 0 {
		config.Window = defaultWindow
	}
	return &Machine{config: config, teams: map[ID]*account{}, sources: map[string]*source{}}
}

// Begin notes that from now on the requests of all gateways are heard, and that some of before
// are known: all of a span.
func (m *Machine) Begin(now, known clock.Millis) {
	if !m.started {
		m.since, m.started = now-known, true
	}
}

// MarkAlive notes that this process runs; it is called four times a second at least. A process
// that was frozen hears at once of all that ran meanwhile.
func (m *Machine) MarkAlive(now clock.Millis) {
	if m.awake > 0 && now-m.awake > frozenAfter {
		m.thawed, m.frozen = now, now-m.awake
	}
	m.awake = now
}

// limitOf is how many requests of a team a window may hold.
func (m *Machine) limitOf(l Limit) float64 {
	return l.Rate*float64(m.config.Window)/1_000 + l.Burst
}

// margin is how many more may run at most.
func (m *Machine) margin(limit float64) float64 { return limit*m.config.OverrunRatio + m.config.OverrunRequests }

// Admit lets one request of a team in, or says when it fits. One that is let in and then
// certainly doesn't run must be given back.
func (m *Machine) Admit(now clock.Millis, l Limit, around Peers) Verdict {
	limit := m.limitOf(l)
	a := m.account(now, IDOf(l.Team))
	a.rescale(limit)
	a.asked++
	used, most := a.all.in(now), limit
	if unknown := m.unknown(now); unknown > 0 {
		most += unknownPart * m.margin(limit)
		if m.hot(now, a, l) {
			used += limit
		} else {
			used += limit * (1 - unknownUse*(1-unknown))
		}
	}
	a.begin(now, limit+m.margin(limit)-used, around)
	verdict := Verdict{Used: used, Limit: most}
	switch {
	case (around.Isolated || !m.started) && a.own.in(now)+1 > m.margin(limit)/isolatedGateways:
		verdict.Limit = m.margin(limit) / isolatedGateways
		verdict.RetryAfter = m.retryAfter(now, a, l, around, a.own, verdict.Limit)
	case used+1 > most || m.paced(now, a, limit):
		verdict.RetryAfter = m.retryAfter(now, a, l, around, a.all, most-(used-a.all.in(now)))
	case float64(a.inRound+1) > a.share:
		verdict.Wait = roundWait
	default:
		verdict.Admitted = true
		a.admit(now)
	}
	return verdict
}

// Release takes a request back that was let in at a moment and never ran.
func (m *Machine) Release(now, at clock.Millis, team string) {
	a := m.account(now, IDOf(team))
	for _, w := range []*window{a.all, a.own} {
		w.add(now, at, -1)
	}
	a.count(tally{let: -1})
}

// Refused is the number of a team's requests that were refused since the start.
func (m *Machine) Refused(team string) int64 {
	if a := m.teams[IDOf(team)]; a != nil {
		return a.refusedAll
	}
	return 0
}

// Used is the number of a team's requests in the window.
func (m *Machine) Used(now clock.Millis, team string) float64 {
	if a := m.teams[IDOf(team)]; a != nil {
		return a.all.in(now)
	}
	return 0
}

// hot says whether a team asks for so much since the start that it must have been refused
// before.
func (m *Machine) hot(now clock.Millis, a *account, l Limit) bool {
	return float64(a.asked) > hotRate*l.Rate*float64(now-m.since)/1_000+hotBurst*l.Burst+unknownPart*m.config.OverrunRequests
}

// unknown is the part of the window of which isn't known what ran in it.
func (m *Machine) unknown(now clock.Millis) float64 {
	if !m.started {
		return 1
	}
	return min(max(1-float64(now-m.since)/float64(m.config.Window), 0), 1)
}

func (m *Machine) account(now clock.Millis, id ID) *account {
	a := m.teams[id]
	if a == nil {
		a = &account{all: newWindow(m.config.Window), own: newWindow(m.config.Window)}
		m.teams[id] = a
	}
	a.touched = now
	m.prune(now)
	return a
}

// prune forgets teams without requests, and gateways that are gone.
func (m *Machine) prune(now clock.Millis) {
	if now-m.pruned < m.config.Window {
		return
	}
	m.pruned = now
	for id, a := range m.teams {
		if now-a.touched > forgetAfter*m.config.Window && a.here == (tally{}) && a.centre == (tally{}) {
			delete(m.teams, id)
		}
	}
	for name, s := range m.sources {
		if now-s.heard > 2*forgetAfter*m.config.Window {
			delete(m.sources, name)
		}
	}
}

// rescale follows a change of the limit. After a lower one the team's use counts as the same
// part of the limit as before: counted as it was, a team whose limit drops to a tenth would
// get nothing for a whole window.
func (a *account) rescale(limit float64) {
	if a.limit > 0 && limit < a.limit {
		for _, w := range []*window{a.all, a.own} {
			w.scale(float32(limit / a.limit))
		}
	}
	a.limit = limit
}

// paced says whether a team that was refused a moment ago must wait for its turn. Its
// requests are let in evenly then: let in as soon as the window has room, all of one window
// would come together at the beginning of the next, again and again, and a gateway that
// starts couldn't tell how much had been used just before.
func (m *Machine) paced(now clock.Millis, a *account, limit float64) bool {
	if a.refused == 0 || now-a.refused >= m.config.Window/2 {
		return false
	}
	return a.all.last(now, buckets/paces)+1 > max(paceSlack*limit/paces, 1)
}

// begin begins a round, if it is time: the span after which the others know of the requests of
// the last one. All gateways may be letting requests in at the same moment; each may use a
// part of what is left, by its part of the team's requests so far, or one request.
func (a *account) begin(now clock.Millis, left float64, around Peers) {
	if a.round > 0 && now-a.round < around.Age {
		return
	}
	part := (a.own.in(now) + 1) / (a.all.in(now) + float64(max(around.Gateways, 1)))
	a.round, a.inRound, a.share = now, 0, max(left*part, 1)
}

func (a *account) admit(now clock.Millis) {
	a.inRound++
	a.all.add(now, now, 1)
	a.own.add(now, now, 1)
	a.count(tally{let: 1})
}

// count changes the number that others are told.
func (a *account) count(change tally) {
	a.here = a.here.plus(change)
	a.centre = a.centre.plus(change)
	a.refusedAll += change.refused
	a.hereLeft, a.centreLeft = tells, tells
}

// retryAfter is when a refused request fits, a span. Those that were refused before it come
// first, and the other gateways tell theirs the same.
func (m *Machine) retryAfter(now clock.Millis, a *account, l Limit, around Peers, w *window, limit float64) clock.Millis {
	gap := clock.Millis(1_000 * float64(max(around.Gateways, 1)) / l.Rate)
	first := now + w.room(now, limit, 1)
	a.refused = now
	a.count(tally{refused: 1})
	a.promised = min(max(first, a.promised+gap), now+m.config.Window)
	return max(a.promised-now, 1)
}
