// Package dispatch decides which batch items run where. The load that it
// answers: online requests come in bursts that need nearly every place for some
// seconds and leave most of them free in between, while items run for seconds
// and are due within some tens of seconds. So items fill every place that online
// work leaves, at once; they give a place back as soon as online work stands
// before it, and go on later from their last event; and those that can still be
// in time go first. It holds no goroutine, socket or clock.
package dispatch

import (
	"cmp"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// firstRun is the running time that is expected of an item before any has
	// been measured.
	firstRun clock.Millis = 3_000
	// runWeight is the weight of the newest measured run in the mean: the last
	// ten or so count.
	runWeight = 0.1
)

// Key names an item.
type Key struct {
	Job   string
	Index uint32
}

// Item is an item to run.
type Item struct {
	Key Key
	// Due is when the result should be there, Expires when it may be given up.
	Due     clock.Millis
	Expires clock.Millis
	// Tokens is its size, of the prompt and the longest answer; 0 if it isn't known.
	Tokens int64
}

// Load is what other work there is at a runner: online requests and items that
// another daemon still runs.
type Load struct {
	Online int
	Batch  int
	// Foreign work is nobody's here; it ends when it ends.
	Foreign int
	// Silent says that a daemon with calls there has heard nothing for too long.
	Silent bool
}

func (l Load) all() int { return l.Online + l.Batch + l.Foreign }

// Surroundings is what the machine can see when it decides.
type Surroundings struct {
	Runners []*toucanhingev1.Runner
	Load    func(runner string) Load
	// Services lists where the items of a job may run; none if its route is gone.
	Services func(job string) []string
	// Near says whether a runner is in the same data centre.
	Near func(*toucanhingev1.Runner) bool
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
}

// Machine keeps the items that wait or run.
type Machine struct {
	items   map[Key]*item
	order   uint64
	running map[string][]*item
	blocked map[string]clock.Millis
	meanRun clock.Millis
	// perToken is the mean running time for a token in milliseconds, 0 until an item has
	// been measured.
	perToken float64
}

// New makes an empty machine.
func New() *Machine {
	return &Machine{
		items: map[Key]*item{}, running: map[string][]*item{}, blocked: map[string]clock.Millis{}, meanRun: firstRun,
	}
}

// Add takes an item to run.
func (m *Machine) Add(i Item) {
	if m.items[i.Key] == nil {
		m.order++
		m.items[i.Key] = &item{Item: i, order: m.order}
	}
}

// Has says whether the item waits or runs.
func (m *Machine) Has(key Key) bool { return m.items[key] != nil }

// Lateness is how long after its due time an item would end now, a span; negative if it is
// in time.
func (m *Machine) Lateness(now clock.Millis, key Key) clock.Millis {
	if i := m.items[key]; i != nil {
		return now - i.Due
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
	m.leave(i)
	delete(m.items, key)
	return ran
}

// Finished notes that an item ran to its end, and forgets it.
func (m *Machine) Finished(now clock.Millis, key Key) {
	if i := m.items[key]; i != nil {
		m.measure(i, i.ran+now-i.began)
	}
	m.Drop(key)
}

func (m *Machine) measure(i *item, whole clock.Millis) {
	m.meanRun += clock.Millis(runWeight * float64(whole-m.meanRun))
	if i.Tokens <= 0 {
		return
	}
	perToken := float64(whole) / float64(i.Tokens)
	if m.perToken == 0 {
		m.perToken = perToken
	}
	m.perToken += runWeight * (perToken - m.perToken)
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
	var jobs []string
	for key := range m.items {
		if !slices.Contains(jobs, key.Job) {
			jobs = append(jobs, key.Job)
		}
	}
	return jobs
}

// Counts are the items that wait and that run.
func (m *Machine) Counts() (waiting, running int) {
	for _, list := range m.running {
		running += len(list)
	}
	return len(m.items) - running, running
}

func (m *Machine) leave(i *item) {
	if i.runner == "" {
		return
	}
	m.running[i.runner] = slices.DeleteFunc(m.running[i.runner], func(other *item) bool { return other == i })
	if len(m.running[i.runner]) == 0 {
		delete(m.running, i.runner)
	}
	i.runner = ""
}

// Step decides.
func (m *Machine) Step(now clock.Millis, around Surroundings) Actions {
	var actions Actions
	m.expire(now, &actions)
	for _, r := range around.Runners {
		m.yield(now, r, around, &actions)
	}
	m.fill(now, around, &actions)
	return actions
}

func (m *Machine) expire(now clock.Millis, actions *Actions) {
	for key, i := range m.items {
		if now >= i.Expires {
			actions.GiveUp = append(actions.GiveUp, key)
			m.leave(i)
			delete(m.items, key)
		}
	}
}

// yield pauses items while a runner has more work than places. Engines run what
// they get in the order of arrival, so an online request would else wait for an
// item's end, seconds later. The items that can wait longest give way.
func (m *Machine) yield(now clock.Millis, r *toucanhingev1.Runner, around Surroundings, actions *Actions) {
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
	slices.SortFunc(patient, func(a, b *item) int { return cmp.Compare(m.latest(now, b), m.latest(now, a)) })
	for _, i := range patient[:over] {
		i.ran += now - i.began
		m.leave(i)
		actions.Pause = append(actions.Pause, i.Key)
	}
}

// place is a runner with the places that are free there.
type place struct {
	runner *toucanhingev1.Runner
	free   int
	near   bool
}

func (m *Machine) fill(now clock.Millis, around Surroundings, actions *Actions) {
	places := m.places(now, around)
	if len(places) == 0 {
		return
	}
	for _, i := range m.waiting(now) {
		services := around.Services(i.Key.Job)
		p := best(places, services)
		if p == nil {
			continue
		}
		p.free--
		i.runner, i.began = p.runner.GetId(), now
		m.running[i.runner] = append(m.running[i.runner], i)
		actions.Start = append(actions.Start, Start{Key: i.Key, Runner: p.runner})
	}
}

func (m *Machine) places(now clock.Millis, around Surroundings) []*place {
	var places []*place
	for _, r := range around.Runners {
		if r.GetLeaving() || m.blocked[r.GetId()] > now {
			continue
		}
		load := around.Load(r.GetId())
		if load.Silent {
			continue
		}
		free := int(r.GetSlots()) - load.all() - len(m.running[r.GetId()])
		if free > 0 {
			places = append(places, &place{runner: r, free: free, near: around.Near(r)})
		}
	}
	return places
}

// best is the place with the most room, a near one if there is as much.
func best(places []*place, services []string) *place {
	var found *place
	for _, p := range places {
		if p.free <= 0 || !slices.Contains(services, p.runner.GetService()) {
			continue
		}
		if found == nil || p.free > found.free || p.free == found.free && p.near && !found.near {
			found = p
		}
	}
	return found
}

// waiting lists the items to start, in order: first those that can still be in
// time, by when they must begin at the latest; then the late ones. Under overload the
// other way round each place would go to an item that is late already, and all would be.
// By when they are due, long items began too late: see TestLongItemsBeginSooner.
func (m *Machine) waiting(now clock.Millis) []*item {
	var list []*item
	for _, i := range m.items {
		if i.runner == "" && i.notBefore <= now {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b *item) int {
		return cmp.Or(
			compareBool(m.late(now, a), m.late(now, b)),
			cmp.Compare(m.latest(now, a), m.latest(now, b)),
			cmp.Compare(a.order, b.order),
		)
	})
	return list
}

func (m *Machine) late(now clock.Millis, i *item) bool { return now > m.latest(now, i) }

// latest is when an item must run on at the latest to be in time.
func (m *Machine) latest(now clock.Millis, i *item) clock.Millis {
	whole := m.meanRun
	if m.perToken > 0 && i.Tokens > 0 {
		whole = clock.Millis(m.perToken * float64(i.Tokens))
	}
	ran := i.ran
	if i.runner != "" {
		ran += now - i.began
	}
	return i.Due - max(whole-ran, 0)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
