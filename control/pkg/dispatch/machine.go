// Package dispatch decides which batch items run where. The load that it
// answers: online requests come in bursts that need nearly every place for some
// seconds and leave most of them free in between, while items run for seconds
// and are due within some tens of seconds. So items fill every place that online
// work leaves, at once; they give a place back as soon as online work stands
// before it, and go on later from their last event; those that can still be in
// time go first, and when there are more of them than places, those with the least
// left. A decision costs what changes: on fleets of hundreds of runners with
// thousands of waiting items it is asked for up to 200 times a second. It holds no
// goroutine, socket or clock.
package dispatch

import (
	"slices"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Key names an item.
type Key struct {
	Job   string
	Index uint32
}

// Item is an item to run.
type Item struct {
	Key Key
	// Deadline is when the result should be there, Expires when it may be given up.
	Deadline     clock.Millis
	Expires clock.Millis
	// Tokens is its size, of the prompt and the longest answer; 0 if it isn't known.
	Tokens int64
	// Team handed it in, empty if none did; Rank is its priority, 0 for the most urgent.
	Team string
	Priority uint32
}

// Load is what other work there is at a runner: online requests and items that
// another daemon still runs.
type Load struct {
	Online int
	Batch  int
	// Foreign work is nobody's here; it ends when it ends.
	Foreign int
	// Unresponsive says that a daemon with calls there has heard nothing for too long.
	Unresponsive bool
}

func (l Load) all() int { return l.Online + l.Batch + l.Foreign }

// Environment is what the machine can see when it decides.
type Environment struct {
	Runners []*toucanhingev1.Runner
	Load    func(runner string) Load
	// Services lists where the items of a job may run; none if its route is gone.
	Services func(job string) []string
	// Near says whether a runner is in the same data centre.
	Near func(*toucanhingev1.Runner) bool
	// MaxStarts bounds the items that begin now; nil for no bound.
	MaxStarts *int
}

// Start is an item that begins, or goes on, at a runner.
type Start struct {
	Key    Key
	Runner *toucanhingev1.Runner
}

// Actions is what a step asks for.
type Actions struct {
	Start []Start
	// Pause items: break their calls off, they go on later.
	Pause []Key
	// GiveUp items that may be given up.
	GiveUp []Key
}

type item struct {
	Item
	order     uint64
	runner    string
	began     clock.Millis
	ran       clock.Millis
	notBefore clock.Millis
	// at is its index among the waiting items, -1 while it runs.
	at int
	// whole is its expected running time, judged by so many measured runs and one.
	whole  clock.Millis
	judged int
	team   *team
}

// Machine keeps the items that wait or run.
type Machine struct {
	items map[Key]*item
	// waiting are the items that don't run, in no order.
	waiting []*item
	// perJob counts the items of each job.
	perJob  map[string]int
	teams   map[string]*team
	order   uint64
	running map[string][]*item
	blocked map[string]clock.Millis
	// expires is when the first item may be given up, at the earliest.
	expires  clock.Millis
	measured measured
	pressure pressure
}

// New makes an empty machine.
func New() *Machine {
	return &Machine{
		items: map[Key]*item{}, perJob: map[string]int{}, teams: map[string]*team{}, running: map[string][]*item{}, blocked: map[string]clock.Millis{},
		expires: never,
	}
}

// Add takes an item to run.
func (m *Machine) Add(i Item) {
	if m.items[i.Key] != nil {
		return
	}
	m.order++
	added := &item{Item: i, order: m.order, team: m.join(i.Team)}
	m.items[i.Key] = added
	m.wait(added)
	m.perJob[i.Key.Job]++
	m.expires = min(m.expires, i.Expires)
}

// Has says whether the item waits or runs.
func (m *Machine) Has(key Key) bool { return m.items[key] != nil }

// Lateness is how long after its due time an item would end now, a span; negative if it is
// in time.
func (m *Machine) Lateness(now clock.Millis, key Key) clock.Millis {
	if i := m.items[key]; i != nil {
		return now - i.Deadline
	}
	return 0
}

// Remaining is how long an item is expected to run on, a span.
func (m *Machine) Remaining(now clock.Millis, key Key) clock.Millis {
	if i := m.items[key]; i != nil {
		return m.measured.left(now, i)
	}
	return 0
}

// Drop forgets an item, and says whether it ran.
func (m *Machine) Drop(key Key) bool {
	i := m.items[key]
	if i == nil {
		return false
	}
	ran := i.runner != ""
	m.forget(i)
	return ran
}

func (m *Machine) forget(i *item) {
	m.leave(i)
	m.unwait(i)
	delete(m.items, i.Key)
	m.part(i.team)
	m.perJob[i.Key.Job]--
	if m.perJob[i.Key.Job] == 0 {
		delete(m.perJob, i.Key.Job)
	}
}

// Finished notes that an item ran to its end, and forgets it.
func (m *Machine) Finished(now clock.Millis, key Key) {
	if i := m.items[key]; i != nil {
		m.measured.note(i, i.ran+now-i.began)
	}
	m.Drop(key)
}

// Stopped notes that an item's call ended early. It waits again, at the earliest
// after the pause.
func (m *Machine) Stopped(now clock.Millis, key Key, pause clock.Millis) {
	i := m.items[key]
	if i == nil || i.runner == "" {
		return
	}
	i.ran += now - i.began
	i.notBefore = now + pause
	m.leave(i)
}

// Block keeps new items off a runner until a time: it refused one, or can't be
// reached.
func (m *Machine) Block(runner string, until clock.Millis) {
	m.blocked[runner] = max(m.blocked[runner], until)
}

// Jobs lists the jobs that have items here.
func (m *Machine) Jobs() []string {
	jobs := make([]string, 0, len(m.perJob))
	for job := range m.perJob {
		jobs = append(jobs, job)
	}
	return jobs
}

// Counts are the items that wait and that run.
func (m *Machine) Counts() (waiting, running int) {
	return len(m.waiting), len(m.items) - len(m.waiting)
}

// Overloaded says whether more items wait than can be in time.
func (m *Machine) Overloaded() bool { return m.pressure.pressed }

func (m *Machine) leave(i *item) {
	if i.runner == "" {
		return
	}
	m.running[i.runner] = slices.DeleteFunc(m.running[i.runner], func(other *item) bool { return other == i })
	if len(m.running[i.runner]) == 0 {
		delete(m.running, i.runner)
	}
	i.runner = ""
	i.team.running--
	m.wait(i)
}

func (m *Machine) wait(i *item) {
	i.at = len(m.waiting)
	m.waiting = append(m.waiting, i)
}

// unwait takes an item out of those that wait; the last one takes its index.
func (m *Machine) unwait(i *item) {
	last := len(m.waiting) - 1
	moved := m.waiting[last]
	m.waiting[i.at], moved.at = moved, i.at
	m.waiting[last] = nil
	m.waiting = m.waiting[:last]
	i.at = -1
}

// Step decides.
func (m *Machine) Step(now clock.Millis, around Environment) Actions {
	var actions Actions
	m.expire(now, &actions)
	if m.pressure.due(now) {
		m.pressure.look(now, m, around)
	}
	m.share()
	order := m.orderAt(now)
	for _, r := range around.Runners {
		m.yield(now, r, around, order, &actions)
	}
	m.fill(now, around, order, &actions)
	return actions
}

// Yield decides only which items give way at some runners; Step decides that for all.
func (m *Machine) Yield(now clock.Millis, runners []*toucanhingev1.Runner, around Environment) Actions {
	var actions Actions
	order := m.orderAt(now)
	for _, r := range runners {
		m.yield(now, r, around, order, &actions)
	}
	return actions
}

func (m *Machine) expire(now clock.Millis, actions *Actions) {
	if now < m.expires {
		return
	}
	m.expires = never
	for key, i := range m.items {
		if now < i.Expires {
			m.expires = min(m.expires, i.Expires)
			continue
		}
		actions.GiveUp = append(actions.GiveUp, key)
		m.forget(i)
	}
}

// yield pauses items while a runner has more work than places. Engines run what
// they get in the order of arrival, so an online request would else wait for an
// item's end, seconds later. The items that would be started last give way.
func (m *Machine) yield(now clock.Millis, r *toucanhingev1.Runner, around Environment, order order, actions *Actions) {
	mine := m.running[r.GetId()]
	if len(mine) == 0 {
		return
	}
	load := around.Load(r.GetId())
	over := min(load.all()+len(mine)-int(r.GetSlots()), len(mine))
	if over <= 0 {
		return
	}
	patient := slices.Clone(mine)
	slices.SortFunc(patient, func(a, b *item) int { return order.compare(b, a) })
	for _, i := range patient[:over] {
		i.ran += now - i.began
		m.leave(i)
		actions.Pause = append(actions.Pause, i.Key)
	}
}
