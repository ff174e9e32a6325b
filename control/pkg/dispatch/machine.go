// Package dispatch decides which batch items run on which runners. It is designed for this load:
// online requests arrive in bursts that need nearly all slots for some seconds and leave most of
// them free in between, while items run for seconds and have deadlines within some tens of seconds.
//
// Items therefore fill all slots that online work leaves free. They yield a slot as soon as online
// work waits for it, and later resume from their last event. Items that can still meet their
// deadline go first; under overload, those with the least remaining time go first, and slots are
// shared by weight among the teams.
//
// Runners may differ in speed by a factor of two or more. The pace of a runner is how long work
// takes on it, relative to the mean of its service's runners. Run times are estimated at pace 1,
// and items take the fastest free slots.
//
// The cost of a decision has to depend on what changed: on fleets of hundreds of runners with
// thousands of waiting items, up to 200 decisions are requested a second. The package has no
// goroutines, sockets or clocks.
package dispatch

import (
	"maps"
	"math"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Key identifies an item.
type Key struct {
	Job   string
	Index uint32
}

// Item is an item to run.
type Item struct {
	Key Key
	// Deadline is when the result should be available. Expires is when an item without a result fails.
	Deadline clock.Millis
	Expires  clock.Millis
	// Tokens is the size of the prompt and of the longest possible answer; 0 if unknown.
	Tokens int64
	// Team is the team that submitted the item; empty if none did. Priority is 0 for the most
	// urgent items.
	Team     string
	Priority uint32
	// Version is the software version that wrote the text so far, empty if there is none. Only runners of that version
	// can continue it.
	Version string
}

// Load is the other work on a runner: online requests, and items that other daemons still run.
type Load struct {
	Online int
	Batch  int
	// Foreign is work that no daemon counts, for example requests of another system. It can't be
	// preempted.
	Foreign int
	// Unresponsive reports whether a daemon with calls to the runner has received nothing from it
	// for too long.
	Unresponsive bool
}

// total returns the sum of all other work.
func (l Load) total() int { return l.Online + l.Batch + l.Foreign }

// Environment is the input of a decision.
type Environment struct {
	Runners []*toucanhingev1.Runner
	Load    func(runner string) Load
	// Services returns the services on which the items of a job may run; none if its route was
	// removed.
	Services func(job string) []string
	// Near reports whether a runner is in the same data centre.
	Near func(*toucanhingev1.Runner) bool
	// MaxStarts limits the items that are started or moved by the decision; nil means no limit.
	MaxStarts *int
	// Pace returns how long work usually takes on a runner, relative to the mean of its service's
	// runners. All runners are equally fast if it is nil.
	Pace func(runner string) float64
	// Weight returns the weight of a team, a finite number of at least 0. While items can't all be in
	// time, the slots are shared among the teams by weight. All weights are equal and slots aren't
	// shared if it is nil.
	Weight func(team string) float64
}

// Start is an item to start or resume on a runner.
type Start struct {
	Key    Key
	Runner *toucanhingev1.Runner
}

// Actions is the result of a decision.
type Actions struct {
	Start []Start
	// Pause lists the items whose calls have to be stopped, to be resumed later.
	Pause []Key
	// Move lists the running items whose calls have to be stopped and resumed at once on another
	// runner.
	Move []Start
	// Expired lists the items whose expiry time has passed. They have been removed from the machine.
	Expired []Key
}

// mayStart reports whether the decision may start or move another item.
func (a *Actions) mayStart(env Environment) bool {
	return env.MaxStarts == nil || len(a.Start)+len(a.Move) < *env.MaxStarts
}

// item is an item that waits or runs.
type item struct {
	Item
	// sequence is the item's position in the order of arrival.
	sequence uint64
	// runner is where the item has run since startedAt at the given pace; empty while the item waits.
	runner    string
	startedAt clock.Millis
	pace      float64
	// ranFor is how long the item ran before startedAt, in milliseconds at pace 1.
	ranFor float64
	// software is the software version of the runner where the item runs or ran last, and version that of its text.
	software, version string
	// passedOverSince is when the item first couldn't use a free slot for its software version, 0 if it could.
	passedOverSince clock.Millis
	// moved reports that the item has moved from a slow runner to a fast one.
	moved bool
	// notBefore is the earliest time of the next start.
	notBefore clock.Millis
	// crashes counts the crashes of the item's runners since it last ran for long.
	crashes int
	// waitIndex is the item's index among the waiting items, -1 while it runs.
	waitIndex int
	// estimate caches the expected total run time. estimateVersion is one more than the number of recorded
	// runs from which it was computed.
	estimate        clock.Millis
	estimateVersion int
	team            *team
	submission      *submission
}

// Machine is a state machine that holds the waiting and running items and decides which of them run.
type Machine struct {
	items map[Key]*item
	// waiting holds the items that don't run, in no particular order.
	waiting     []*item
	submissions map[submissionKey]*submission
	teams       map[string]*team
	sequence    uint64
	running     map[string][]*item
	blocked     map[string]clock.Millis
	failing     failingRunners
	// weightsReadAt is when the weights of all teams were last read.
	weightsReadAt clock.Millis
	// paces is the range of the runners' paces in the last full decision.
	paces paceRange
	// nextExpiry is a lower bound of the time at which the next item expires.
	nextExpiry clock.Millis
	runTimes   runTimeModel
	overload   overload
}

// New returns an empty machine.
func New() *Machine {
	return &Machine{
		items: map[Key]*item{}, submissions: map[submissionKey]*submission{}, teams: map[string]*team{}, running: map[string][]*item{}, blocked: map[string]clock.Millis{}, failing: newFailingRunners(),
		nextExpiry: never, paces: equalPaces,
	}
}

// Add adds an item to run. It has no effect if the item is already known.
func (m *Machine) Add(i Item) {
	if m.items[i.Key] != nil {
		return
	}
	m.sequence++
	joined := m.joinSubmission(i)
	added := &item{Item: i, sequence: m.sequence, team: joined.team, submission: joined, pace: 1, version: i.Version}
	m.items[i.Key] = added
	m.addWaiting(added)
	m.nextExpiry = min(m.nextExpiry, i.Expires)
}

// Has reports whether an item waits or runs.
func (m *Machine) Has(key Key) bool { return m.items[key] != nil }

// Lateness returns how far an item is past its deadline; negative before the deadline.
func (m *Machine) Lateness(now clock.Millis, key Key) clock.Millis {
	if i := m.items[key]; i != nil {
		return now - i.Deadline
	}
	return 0
}

// Remaining returns the expected remaining run time of an item at the pace of its runner, or at pace 1
// if it waits.
func (m *Machine) Remaining(now clock.Millis, key Key) clock.Millis {
	if i := m.items[key]; i != nil {
		if i.runner == "" {
			return m.runTimes.remaining(now, i)
		}
		return atPace(m.runTimes.remaining(now, i), i.pace)
	}
	return 0
}

// Drop removes an item and reports whether it was running.
func (m *Machine) Drop(key Key) bool {
	i := m.items[key]
	if i == nil {
		return false
	}
	ran := i.runner != ""
	m.remove(i)
	return ran
}

// remove removes an item.
func (m *Machine) remove(i *item) {
	m.unassign(i.startedAt, i)
	m.removeWaiting(i)
	delete(m.items, i.Key)
	m.leaveSubmission(i.submission)
}

// Finished records the run time of an item that ran to its end, and removes the item.
func (m *Machine) Finished(now clock.Millis, key Key) {
	if i := m.items[key]; i != nil {
		m.runTimes.record(i, i.work(now))
		m.failing.recordSuccess(now, i.runner)
	}
	m.Drop(key)
}

// Failed records that a runner failed an item, and reports whether the runner gets no items for some time now because
// it fails many. The item waits again and is not restarted before the backoff is over.
func (m *Machine) Failed(now clock.Millis, key Key, backoff clock.Millis) (blocked bool) {
	if i := m.items[key]; i != nil && i.runner != "" {
		blocked = m.failing.recordFailure(now, i.runner)
	}
	m.Stopped(now, key, backoff)
	return blocked
}

// FailingRunners lists the runners that get no items because they fail many of them.
func (m *Machine) FailingRunners(now clock.Millis) []string { return m.failing.blocked(now) }

// Stopped records that an item's call ended early. The item waits again and is not restarted
// before the backoff is over.
func (m *Machine) Stopped(now clock.Millis, key Key, backoff clock.Millis) {
	i := m.items[key]
	if i == nil || i.runner == "" {
		return
	}
	i.notBefore = now + backoff
	m.unassign(now, i)
}

// Hold keeps a waiting item from starting until Release.
func (m *Machine) Hold(key Key) {
	if i := m.items[key]; i != nil && i.runner == "" {
		i.notBefore = math.MaxInt64
	}
}

// Release lets a held item start after the backoff.
func (m *Machine) Release(now clock.Millis, key Key, backoff clock.Millis) {
	if i := m.items[key]; i != nil {
		i.notBefore = min(i.notBefore, now+backoff)
	}
}

// Block excludes a runner that refused an item or can't be reached from new items until the given
// time.
func (m *Machine) Block(runner string, until clock.Millis) {
	m.blocked[runner] = max(m.blocked[runner], until)
}

// Jobs returns the jobs with items that wait or run.
func (m *Machine) Jobs() []string {
	jobs := make(map[string]bool, len(m.submissions))
	for key := range m.submissions {
		jobs[key.job] = true
	}
	return slices.Collect(maps.Keys(jobs))
}

// Counts returns the numbers of waiting and running items.
func (m *Machine) Counts() (waiting, running int) {
	return len(m.waiting), len(m.items) - len(m.waiting)
}

// Overloaded reports whether more items wait than can meet their deadlines.
func (m *Machine) Overloaded() bool { return m.overload.active }

// unassign moves a running item back to the waiting items and counts its work until now.
func (m *Machine) unassign(now clock.Millis, i *item) {
	if i.runner == "" {
		return
	}
	i.ranFor += float64(now-i.startedAt) / i.pace
	m.running[i.runner] = slices.DeleteFunc(m.running[i.runner], func(other *item) bool { return other == i })
	if len(m.running[i.runner]) == 0 {
		delete(m.running, i.runner)
	}
	i.runner = ""
	if i.version == "" {
		// The call has probably brought events; SetVersion corrects it if it hasn't.
		i.version = i.software
	}
	i.team.running--
	i.submission.running--
	m.addWaiting(i)
}

// addWaiting adds an item to the waiting items.
func (m *Machine) addWaiting(i *item) {
	i.waitIndex = len(m.waiting)
	m.waiting = append(m.waiting, i)
}

// removeWaiting removes an item from the waiting items and moves the last one to its index.
func (m *Machine) removeWaiting(i *item) {
	last := len(m.waiting) - 1
	moved := m.waiting[last]
	m.waiting[i.waitIndex], moved.waitIndex = moved, i.waitIndex
	m.waiting[last] = nil
	m.waiting = m.waiting[:last]
	i.waitIndex = -1
}

// Step makes a full decision.
func (m *Machine) Step(now clock.Millis, env Environment) Actions {
	var actions Actions
	m.expire(now, &actions)
	if m.overload.checkDue(now) {
		m.failing.prune(now)
		m.overload.check(now, m, env)
	}
	m.updatePaces(now, env)
	m.updateTeamDelays(now, env)
	order := m.orderAt(now)
	for _, r := range env.Runners {
		m.yield(now, r, env, order, &actions)
	}
	m.place(now, env, order, &actions)
	return actions
}

// Yield decides only which items yield on the given runners. Step includes this for all runners.
func (m *Machine) Yield(now clock.Millis, runners []*toucanhingev1.Runner, env Environment) Actions {
	var actions Actions
	order := m.orderAt(now)
	for _, r := range runners {
		m.yield(now, r, env, order, &actions)
	}
	return actions
}

// expire removes the expired items.
func (m *Machine) expire(now clock.Millis, actions *Actions) {
	if now < m.nextExpiry {
		return
	}
	m.nextExpiry = never
	for key, i := range m.items {
		if now < i.Expires {
			m.nextExpiry = min(m.nextExpiry, i.Expires)
			continue
		}
		actions.Expired = append(actions.Expired, key)
		m.remove(i)
	}
}
