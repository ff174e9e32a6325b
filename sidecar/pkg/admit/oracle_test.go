package admit

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
)

// oracle is a simple model of the state seen by the engine and the callers. It checks
// the actions of a Machine against this state.
type oracle struct {
	t            *rapid.T
	machine      *Machine
	now          clock.Millis
	lastID       ID
	slots        int
	minSlots     int
	foreignSlots int
	closed       bool
	draining     bool
	// Online requests by state.
	queued        map[ID]Arrive
	running       map[ID]bool
	ended         map[ID]bool
	items         map[ID]itemState
	stopRequested map[ID]bool
}

func newOracle(t *rapid.T) *oracle {
	slots := rapid.IntRange(1, 6).Draw(t, "slots")
	o := &oracle{
		t: t, slots: slots, minSlots: rapid.IntRange(0, slots).Draw(t, "floor"), now: 1_000,
		queued: map[ID]Arrive{}, running: map[ID]bool{}, ended: map[ID]bool{}, items: map[ID]itemState{}, stopRequested: map[ID]bool{},
	}
	o.machine = New(Config{
		Policy: Yield, Slots: slots, MinSlots: o.minSlots, QueueLimit: rapid.IntRange(1, 8).Draw(t, "queue"),
		BatchSlots: slots, MaxPrefillTokens: 100, BatchWeight: rapid.IntRange(0, 100).Draw(t, "weight"),
		BurstWindow: 50, BurstHalfLife: 500,
	})
	return o
}

func (o *oracle) capacity() int {
	return max(o.slots-o.foreignSlots, o.minSlots)
}

func (o *oracle) activeItems() (all, remaining int) {
	for _, s := range o.items {
		switch s {
		case itemRunning:
			all, remaining = all+1, remaining+1
		case itemSuspending, itemStopping:
			all++
		case itemWaiting, itemSuspended:
		}
	}
	return all, remaining
}

func (o *oracle) used() int {
	all, _ := o.activeItems()
	return len(o.running) + all
}

func (o *oracle) step(e Event) {
	for _, a := range o.machine.Step(o.now, e) {
		o.apply(a)
	}
	o.check()
}

func (o *oracle) apply(a Action) {
	if _, isItem := o.items[a.ID]; isItem {
		o.applyItem(a)
		return
	}
	arrive, queued := o.queued[a.ID]
	switch a.Verb {
	case Start:
		o.requiref(queued, "request %d started without being queued", a.ID)
		o.requiref(o.now < arrive.Deadline, "request %d started after its deadline", a.ID)
		o.requiref(!o.closed, "request %d started while the gate is closed", a.ID)
		o.checkOrder(arrive)
		delete(o.queued, a.ID)
		o.running[a.ID] = true
		o.requiref(o.used() <= o.capacity(), "%d in use of %d slots after an online start", o.used(), o.capacity())
	case Refuse:
		o.requiref(queued, "request %d refused after it was started or ended", a.ID)
		o.requiref(a.RetryAfter > 0 && a.Reason != "", "refusal without reason or retry time")
		delete(o.queued, a.ID)
		o.ended[a.ID] = true
	case Stop:
		o.requiref(o.running[a.ID], "request %d stopped without running", a.ID)
	default:
		o.requiref(false, "unexpected verb %d for an online request", a.Verb)
	}
}

// checkOrder checks that the started request has the earliest deadline of the queue,
// or of its team if the queue is long.
func (o *oracle) checkOrder(started Arrive) {
	long := len(o.queued) > o.capacity()
	for _, other := range o.queued {
		if long && other.Team != started.Team {
			continue
		}
		o.requiref(started.Deadline <= other.Deadline, "request %d started before %d, which has an earlier deadline", started.ID, other.ID)
	}
}

func (o *oracle) applyItem(a Action) {
	state := o.items[a.ID]
	switch a.Verb {
	case Start, Resume:
		want := itemWaiting
		if a.Verb == Resume {
			want = itemSuspended
		}
		o.requiref(state == want, "verb %d for an item in state %d", a.Verb, state)
		o.requiref(!o.closed && !o.draining, "item started while closed or draining")
		o.requiref(len(o.queued) == 0, "item started while online requests are queued")
		o.items[a.ID] = itemRunning
		o.requiref(o.used() <= o.capacity(), "%d in use of %d slots after a batch start", o.used(), o.capacity())
	case Suspend:
		o.requiref(state == itemRunning, "item suspended in state %d", state)
		o.items[a.ID] = itemSuspending
	case Stop:
		o.requiref(state == itemRunning || state == itemSuspending, "item stopped in state %d", state)
		o.items[a.ID] = itemStopping
		o.stopRequested[a.ID] = true
	case Return:
		o.requiref(state == itemWaiting || state == itemSuspended || o.stopRequested[a.ID], "item returned in state %d", state)
		delete(o.items, a.ID)
	default:
		o.requiref(false, "unexpected verb %d for an item", a.Verb)
	}
}

// check verifies the invariants after a step.
func (o *oracle) check() {
	all, remaining := o.activeItems()
	free := max(o.capacity()-len(o.running)-all, 0)
	if !o.closed {
		o.requiref(len(o.queued) == 0 || free == 0, "%d requests queued with %d free slots", len(o.queued), free)
	}
	yielding := all - remaining
	o.requiref(remaining == 0 || free+yielding >= len(o.queued),
		"%d requests queued, %d items yielding, %d items still running", len(o.queued), yielding, remaining)
	over := len(o.running) + remaining - o.capacity()
	o.requiref(remaining == 0 || over <= 0, "items still run on slots used by foreign load")
	o.requiref(!o.draining || remaining == 0, "items still run while draining")
	s := o.machine.Snapshot(o.now)
	o.requiref(s.Online == len(o.running) && s.Queued == len(o.queued) && s.Batch == all,
		"online/queued/batch: machine %d/%d/%d, oracle %d/%d/%d", s.Online, s.Queued, s.Batch, len(o.running), len(o.queued), all)
}

func (o *oracle) requiref(holds bool, format string, args ...any) {
	if !holds {
		o.t.Fatalf("%s", fmt.Sprintf(format, args...))
	}
}

func pick[T any](t *rapid.T, from map[ID]T, name string) (ID, bool) {
	if len(from) == 0 {
		return 0, false
	}
	lowest, highest := ID(1<<60), ID(0)
	for id := range from {
		lowest, highest = min(lowest, id), max(highest, id)
	}
	picked := ID(rapid.Uint64Range(uint64(lowest), uint64(highest)).Draw(t, name))
	for ; picked <= highest; picked++ {
		if _, found := from[picked]; found {
			return picked, true
		}
	}
	return highest, true
}

// Requests and items arrive, end, are cancelled, withdrawn and suspended in random
// order, foreign load changes, the engine stops answering and the process drains.
// After every step the slots in use don't exceed the capacity, no online request
// waits for a slot that a batch item holds, and a refused request was never started.
// At the end every request got exactly one decision, and batch fills an idle engine.
func TestRapidAdmission(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive":    o.arrive,
			"offer":     o.offer,
			"cancel":    o.cancel,
			"finish":    o.finish,
			"item":      o.endItem,
			"withdraw":  o.withdraw,
			"token":     o.firstToken,
			"foreign":   o.setForeignSlots,
			"gate":      o.setGate,
			"leave":     o.drain,
			"time":      o.advanceTime,
			"duplicate": o.duplicate,
		})
		o.finishAll()
	})
}

func (o *oracle) arrive(t *rapid.T) {
	o.lastID++
	a := Arrive{
		ID: o.lastID, Team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
		Weight: rapid.IntRange(0, 3).Draw(t, "share"), Deadline: o.now + clock.Millis(rapid.IntRange(-5, 2_000).Draw(t, "budget")),
	}
	o.queued[a.ID] = a
	o.step(a)
	if o.draining || o.closed {
		o.requiref(o.ended[a.ID], "request accepted while closed or draining")
	}
}

// duplicate submits a running request again. The first one must keep running.
func (o *oracle) duplicate(t *rapid.T) {
	id, found := pick(t, o.running, "again")
	if !found {
		t.Skip("no running request")
	}
	actions := append([]Action(nil), o.machine.Step(o.now, Arrive{ID: id, Deadline: o.now + 100})...)
	o.requiref(len(actions) > 0 && actions[0].Verb == Refuse && actions[0].Reason == ReasonDuplicate, "duplicate request was not refused")
	for _, a := range actions[1:] {
		o.apply(a)
	}
	o.check()
}

func (o *oracle) offer(t *rapid.T) {
	o.lastID++
	o.items[o.lastID] = itemWaiting
	o.step(Offer{ID: o.lastID, PrefillTokens: rapid.IntRange(1, 150).Draw(t, "prefill")})
}

func (o *oracle) cancel(t *rapid.T) {
	if id, found := pick(t, o.queued, "queued"); found {
		o.step(Cancel{ID: id})
		o.requiref(o.ended[id], "cancelled request is still queued")
		return
	}
	if id, found := pick(t, o.running, "running"); found {
		o.step(Cancel{ID: id})
	}
}

func (o *oracle) finish(t *rapid.T) {
	id, found := pick(t, o.running, "running")
	if !found {
		t.Skip("no running request")
	}
	delete(o.running, id)
	o.ended[id] = true
	o.step(Finished{ID: id, Complete: rapid.Bool().Draw(t, "sound")})
}

func (o *oracle) endItem(t *rapid.T) {
	id, found := pick(t, o.items, "item")
	if !found {
		t.Skip("no item")
	}
	switch o.items[id] {
	case itemWaiting:
		t.Skip("item holds no slot")
	case itemSuspended:
		// The last token was in flight when the engine confirmed the suspension.
	case itemSuspending:
		if rapid.Bool().Draw(t, "suspended") {
			o.items[id] = itemSuspended
			o.step(Suspended{ID: id})
			return
		}
	case itemRunning, itemStopping:
	}
	delete(o.items, id)
	o.step(Finished{ID: id, Complete: true})
}

func (o *oracle) withdraw(t *rapid.T) {
	id, found := pick(t, o.items, "item")
	if !found {
		t.Skip("no item")
	}
	o.step(Withdraw{ID: id})
	o.requiref(o.items[id] == 0 || o.items[id] == itemStopping, "withdrawn item keeps running")
}

func (o *oracle) firstToken(t *rapid.T) {
	if id, found := pick(t, o.running, "running"); found {
		o.step(FirstToken{ID: id})
	}
	if id, found := pick(t, o.items, "item"); found && o.items[id] == itemRunning {
		o.step(FirstToken{ID: id})
	}
}

func (o *oracle) setForeignSlots(t *rapid.T) {
	o.foreignSlots = rapid.IntRange(0, o.slots+2).Draw(t, "foreign")
	o.step(ForeignLoad{Slots: o.foreignSlots})
}

func (o *oracle) setGate(t *rapid.T) {
	o.closed = rapid.IntRange(0, 2).Draw(t, "closed") == 0
	o.step(Gate{Open: !o.closed, Reason: ReasonUnhealthy})
	o.requiref(!o.closed || len(o.queued) == 0, "requests queued at a closed endpoint")
}

func (o *oracle) drain(t *rapid.T) {
	if rapid.IntRange(0, 20).Draw(t, "leave") > 0 {
		t.Skip("no drain")
	}
	o.draining = true
	o.step(Drain{})
}

func (o *oracle) advanceTime(t *rapid.T) {
	o.now += clock.Millis(rapid.IntRange(0, 300).Draw(t, "passed"))
	o.step(Tick{})
	for _, a := range o.queued {
		o.requiref(o.now < a.Deadline, "request %d queued past its deadline", a.ID)
	}
}

// finishAll ends all running requests and items and checks that no request is left
// undecided.
func (o *oracle) finishAll() {
	o.foreignSlots, o.closed = 0, false
	o.step(ForeignLoad{})
	o.step(Gate{Open: true})
	for o.finishOne() {
	}
	o.requiref(len(o.queued) == 0, "%d requests without a decision", len(o.queued))
	// Long after the last arrival there is no headroom any more, so only the number
	// of slots limits batch.
	o.now += 60_000
	for id, s := range o.items {
		if s == itemRunning {
			o.step(FirstToken{ID: id})
		}
	}
	o.step(Tick{})
	o.checkBatchFillsSlots()
}

// finishOne ends one running online request or one suspending or stopping item.
func (o *oracle) finishOne() bool {
	for id := ID(1); id <= o.lastID; id++ {
		s := o.items[id]
		if !o.running[id] && s != itemSuspending && s != itemStopping {
			continue
		}
		o.ended[id] = o.running[id]
		delete(o.running, id)
		delete(o.items, id)
		o.step(Finished{ID: id, Complete: true})
		return true
	}
	return false
}

func (o *oracle) checkBatchFillsSlots() {
	all, _ := o.activeItems()
	for id, s := range o.items {
		if s == itemWaiting || s == itemSuspended {
			o.requiref(all == o.slots || o.machine.prefillTokens > 0, "item %d waits although slots are free", id)
		}
	}
}
