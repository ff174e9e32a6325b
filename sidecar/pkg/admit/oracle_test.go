package admit

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
)

// oracle holds, in the plainest way, what the engine and the callers see.
type oracle struct {
	t       *rapid.T
	m       *Machine
	now     clock.Millis
	next    ID
	slots   int
	floor   int
	foreign int
	closed  bool
	leaving bool
	// queued, running and ended online requests.
	queued  map[ID]Arrive
	running map[ID]bool
	ended   map[ID]bool
	items   map[ID]itemState
	stopped map[ID]bool
}

func newOracle(t *rapid.T) *oracle {
	slots := rapid.IntRange(1, 6).Draw(t, "slots")
	o := &oracle{
		t: t, slots: slots, floor: rapid.IntRange(0, slots).Draw(t, "floor"), now: 1_000,
		queued: map[ID]Arrive{}, running: map[ID]bool{}, ended: map[ID]bool{}, items: map[ID]itemState{}, stopped: map[ID]bool{},
	}
	o.m = New(Config{
		Policy: Yield, Slots: slots, MinSlots: o.floor, QueueLimit: rapid.IntRange(1, 8).Draw(t, "queue"),
		BatchSlots: slots, MaxPrefillTokens: 100, BatchWeight: rapid.IntRange(0, 100).Draw(t, "weight"),
		BurstWindow: 50, BurstHalfLife: 500,
	})
	return o
}

func (o *oracle) capacity() int {
	return max(o.slots-o.foreign, o.floor)
}

func (o *oracle) holding() (all, staying int) {
	for _, s := range o.items {
		switch s {
		case itemRunning:
			all, staying = all+1, staying+1
		case itemSuspending, itemStopping:
			all++
		case itemWaiting, itemSuspended:
		}
	}
	return all, staying
}

func (o *oracle) used() int {
	all, _ := o.holding()
	return len(o.running) + all
}

func (o *oracle) step(e Event) {
	for _, a := range o.m.Step(o.now, e) {
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
		o.need(queued, "%d started that does not wait", a.ID)
		o.need(o.now < arrive.Deadline, "%d started after its deadline", a.ID)
		o.need(!o.closed, "%d started while closed", a.ID)
		o.checkOrder(arrive)
		delete(o.queued, a.ID)
		o.running[a.ID] = true
		o.need(o.used() <= o.capacity(), "%d on %d slots after an online start", o.used(), o.capacity())
	case Refuse:
		o.need(queued, "%d refused as not run, but it was started or ended", a.ID)
		o.need(a.RetryAfter > 0 && a.Reason != "", "a refusal without reason or time")
		delete(o.queued, a.ID)
		o.ended[a.ID] = true
	case Stop:
		o.need(o.running[a.ID], "%d stopped that does not run", a.ID)
	default:
		o.need(false, "verb %d for an online request", a.Verb)
	}
}

// checkOrder compares with all that wait: the earliest deadline goes first, and
// with a long queue the earliest of its team.
func (o *oracle) checkOrder(started Arrive) {
	long := len(o.queued) > o.capacity()
	for _, other := range o.queued {
		if long && other.Team != started.Team {
			continue
		}
		o.need(started.Deadline <= other.Deadline, "%d started before %d, which is due earlier", started.ID, other.ID)
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
		o.need(state == want, "verb %d for an item in state %d", a.Verb, state)
		o.need(!o.closed && !o.leaving, "an item started while closed or leaving")
		o.need(len(o.queued) == 0, "an item started while online requests wait")
		o.items[a.ID] = itemRunning
		o.need(o.used() <= o.capacity(), "%d on %d slots after a batch start", o.used(), o.capacity())
	case Suspend:
		o.need(state == itemRunning, "an item in state %d suspended", state)
		o.items[a.ID] = itemSuspending
	case Stop:
		o.need(state == itemRunning || state == itemSuspending, "an item in state %d stopped", state)
		o.items[a.ID] = itemStopping
		o.stopped[a.ID] = true
	case Return:
		o.need(state == itemWaiting || state == itemSuspended || o.stopped[a.ID], "an item in state %d returned", state)
		delete(o.items, a.ID)
	default:
		o.need(false, "verb %d for an item", a.Verb)
	}
}

// check holds after every step.
func (o *oracle) check() {
	all, staying := o.holding()
	free := max(o.capacity()-len(o.running)-all, 0)
	if !o.closed {
		o.need(len(o.queued) == 0 || free == 0, "%d wait beside %d free slots", len(o.queued), free)
	}
	leaving := all - staying
	o.need(staying == 0 || free+leaving >= len(o.queued), "%d wait, %d items leave, %d items stay", len(o.queued), leaving, staying)
	over := len(o.running) + staying - o.capacity()
	o.need(staying == 0 || over <= 0, "items stay on slots that others use")
	o.need(!o.leaving || staying == 0, "items stay while leaving")
	s := o.m.Snapshot(o.now)
	o.need(s.Online == len(o.running) && s.Queued == len(o.queued) && s.Batch == all,
		"the machine counts %d/%d/%d, the oracle %d/%d/%d", s.Online, s.Queued, s.Batch, len(o.running), len(o.queued), all)
}

func (o *oracle) need(holds bool, format string, args ...any) {
	if !holds {
		o.t.Fatalf("%s", fmt.Sprintf(format, args...))
	}
}

func pick[T any](t *rapid.T, from map[ID]T, name string) (ID, bool) {
	if len(from) == 0 {
		return 0, false
	}
	least, most := ID(1<<60), ID(0)
	for id := range from {
		least, most = min(least, id), max(most, id)
	}
	wanted := ID(rapid.Uint64Range(uint64(least), uint64(most)).Draw(t, name))
	for ; wanted <= most; wanted++ {
		if _, found := from[wanted]; found {
			return wanted, true
		}
	}
	return most, true
}

// Requests and items come, end, are cancelled, withdrawn and suspended in any
// order; load of others comes and goes; the engine falls silent; the process
// leaves. After every step no more runs than the engine has slots for us, no
// online request waits while batch stays in a slot it could have, and what was
// refused as not run was never started. At the end every request got exactly
// one decision, and batch fills an idle engine.
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
			"token":     o.token,
			"foreign":   o.setForeign,
			"gate":      o.gate,
			"leave":     o.leave,
			"time":      o.pass,
			"duplicate": o.duplicate,
		})
		o.finishAll()
	})
}

func (o *oracle) arrive(t *rapid.T) {
	o.next++
	a := Arrive{
		ID: o.next, Team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
		Weight: rapid.IntRange(0, 3).Draw(t, "share"), Deadline: o.now + clock.Millis(rapid.IntRange(-5, 2_000).Draw(t, "budget")),
	}
	o.queued[a.ID] = a
	o.step(a)
	if o.leaving || o.closed {
		o.need(o.ended[a.ID], "taken in while closed or leaving")
	}
}

// duplicate hands in a request again that waits or runs; the first must go on.
func (o *oracle) duplicate(t *rapid.T) {
	id, found := pick(t, o.running, "again")
	if !found {
		t.Skip("nothing runs")
	}
	actions := append([]Action(nil), o.m.Step(o.now, Arrive{ID: id, Deadline: o.now + 100})...)
	o.need(len(actions) > 0 && actions[0].Verb == Refuse && actions[0].Reason == ReasonDuplicate, "a duplicate was not refused")
	for _, a := range actions[1:] {
		o.apply(a)
	}
	o.check()
}

func (o *oracle) offer(t *rapid.T) {
	o.next++
	o.items[o.next] = itemWaiting
	o.step(Offer{ID: o.next, PrefillTokens: rapid.IntRange(1, 150).Draw(t, "prefill")})
}

func (o *oracle) cancel(t *rapid.T) {
	if id, found := pick(t, o.queued, "queued"); found {
		o.step(Cancel{ID: id})
		o.need(o.ended[id], "a cancelled request still waits")
		return
	}
	if id, found := pick(t, o.running, "running"); found {
		o.step(Cancel{ID: id})
	}
}

func (o *oracle) finish(t *rapid.T) {
	id, found := pick(t, o.running, "running")
	if !found {
		t.Skip("nothing runs")
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
		t.Skip("holds no slot")
	case itemSuspended:
		// Its last token was on the way when the engine confirmed.
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
	o.need(o.items[id] == 0 || o.items[id] == itemStopping, "a withdrawn item goes on")
}

func (o *oracle) token(t *rapid.T) {
	if id, found := pick(t, o.running, "running"); found {
		o.step(FirstToken{ID: id})
	}
	if id, found := pick(t, o.items, "item"); found && o.items[id] == itemRunning {
		o.step(FirstToken{ID: id})
	}
}

func (o *oracle) setForeign(t *rapid.T) {
	o.foreign = rapid.IntRange(0, o.slots+2).Draw(t, "foreign")
	o.step(ForeignLoad{Slots: o.foreign})
}

func (o *oracle) gate(t *rapid.T) {
	o.closed = rapid.IntRange(0, 2).Draw(t, "closed") == 0
	o.step(Gate{Open: !o.closed, Reason: ReasonUnhealthy})
	o.need(!o.closed || len(o.queued) == 0, "requests wait for a closed endpoint")
}

func (o *oracle) leave(t *rapid.T) {
	if rapid.IntRange(0, 20).Draw(t, "leave") > 0 {
		t.Skip("stays")
	}
	o.leaving = true
	o.step(Drain{})
}

func (o *oracle) pass(t *rapid.T) {
	o.now += clock.Millis(rapid.IntRange(0, 300).Draw(t, "passed"))
	o.step(Tick{})
	for _, a := range o.queued {
		o.need(o.now < a.Deadline, "%d waits past its deadline", a.ID)
	}
}

// finishAll lets everything that runs end; then nothing may be left over.
func (o *oracle) finishAll() {
	o.foreign, o.closed = 0, false
	o.step(ForeignLoad{})
	o.step(Gate{Open: true})
	for o.finishOne() {
	}
	o.need(len(o.queued) == 0, "%d requests got no decision", len(o.queued))
	// Long after the last arrival nothing holds batch back but the slots.
	o.now += 60_000
	for id, s := range o.items {
		if s == itemRunning {
			o.step(FirstToken{ID: id})
		}
	}
	o.step(Tick{})
	o.checkFill()
}

// finishOne ends one that runs or is on its way out.
func (o *oracle) finishOne() bool {
	for id := ID(1); id <= o.next; id++ {
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

func (o *oracle) checkFill() {
	all, _ := o.holding()
	for id, s := range o.items {
		if s == itemWaiting || s == itemSuspended {
			o.need(all == o.slots || o.m.prefill > 0, "item %d waits beside free slots", id)
		}
	}
}
