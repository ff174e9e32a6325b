package work

import (
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/job"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// LeaseManagerConfig describes a keeper.
type LeaseManagerConfig struct {
	// MaxItems is how many items are held at once, running or waiting.
	MaxItems int
	// MaxPerRequest is the most items asked for in one call.
	MaxPerRequest int
	// FlushDelay is how long an outcome waits for others before it is reported.
	FlushDelay clock.Millis
	// FlushSize is how many outcomes are reported at once without waiting.
	FlushSize int
}

// Key names one item under a lease. A lease covers several items, and each
// group numbers its own leases.
type Key struct {
	Group uint32
	Lease uint64
	Job   string
	Index uint64
}

func (k Key) completes(c *toucanhingev1.Completion) bool {
	return c.GetLease() == k.Lease && c.GetIndex() == k.Index && c.GetJob() == k.Job
}

func keyOf(group uint32, c *toucanhingev1.Completion) Key {
	return Key{Group: group, Lease: c.GetLease(), Job: c.GetJob(), Index: c.GetIndex()}
}

// LeaseManager keeps the leases of this process: it asks for items, renews in time,
// stops what ran out, and reports outcomes. It is pure: each method takes the
// time and returns what to do.
//
// A lease is believed to run out earlier than control believes it: its span is
// counted from when we sent the call, not from when the answer came. So an item
// whose lease has run out here may still be ours, but one that we run never is
// another's as well for longer than control's own reckoning allows. A process
// that was frozen sees on its first step that its leases ran out.
type LeaseManager struct {
	config  LeaseManagerConfig
	groups  []groupState
	next    int
	leases  map[Key]*lease
	open    bool
	actions []Action
}

type groupState struct {
	asking    bool
	askAfter  clock.Millis
	renewing  bool
	reporting bool
	pending   []*toucanhingev1.Completion
	since     clock.Millis
}

type lease struct {
	key     Key
	expires clock.Millis
	span    clock.Millis
	// outcome is set once the item ended here and is to be reported.
	outcome bool
}

// Verb says what the runtime is to do.
type Verb int

// Verbs.
const (
	// VerbLease leases up to Most items of a group.
	VerbLease Verb = iota + 1
	// VerbRenew renews Leases.
	VerbRenew
	// VerbReport reports Completions.
	VerbReport
	// VerbRun runs Item under Key.
	VerbRun
	// VerbStop stops the item under Key: its lease no longer holds.
	VerbStop
)

// Action is one thing for the runtime to do.
type Action struct {
	Verb        Verb
	Group       uint32
	MaxItems        uint32
	Leases      []uint64
	Completions []*toucanhingev1.Completion
	Item        *toucanhingev1.LeasedItem
	Key         Key
}

// NewLeaseManager makes a keeper that holds nothing and asks for nothing yet.
func NewLeaseManager(config LeaseManagerConfig) *LeaseManager {
	return &LeaseManager{config: config, leases: map[Key]*lease{}}
}

// SetGroupCount tells how many groups control runs.
func (k *LeaseManager) SetGroupCount(count uint32) {
	for uint32(len(k.groups)) < count {
		k.groups = append(k.groups, groupState{})
	}
}

// SetOpen lets the keeper ask for items, or not.
func (k *LeaseManager) SetOpen(open bool) {
	k.open = open
}

// LeaseCount is how many leases are held.
func (k *LeaseManager) LeaseCount() int {
	return len(k.leases)
}

// IsValid says whether the lease is believed to hold.
func (k *LeaseManager) IsValid(now clock.Millis, key Key) bool {
	l, found := k.leases[key]
	return found && now < l.expires
}

// Granted takes in the answer to an ask that was sent at sent.
func (k *LeaseManager) Granted(now, sent clock.Millis, group uint32, answer *toucanhingev1.LeaseResponse) []Action {
	k.begin(now)
	g := &k.groups[group]
	g.asking = false
	g.askAfter = now
	if len(answer.GetItems()) == 0 {
		g.askAfter = now + max(clock.Millis(answer.GetRetryMs()), leastPause)
	}
	span := clock.Millis(answer.GetLeaseMs())
	for _, item := range answer.GetItems() {
		key := Key{Group: group, Lease: item.GetLease(), Job: item.GetJob(), Index: item.GetIndex()}
		k.grant(now, sent, span, key, item)
	}
	return k.plan(now)
}

// leastPause keeps a group with nothing to hand out from being asked in a loop,
// whatever its answer says.
const leastPause = clock.Millis(20)

func (k *LeaseManager) grant(now, sent, span clock.Millis, key Key, item *toucanhingev1.LeasedItem) {
	if _, known := k.leases[key]; known || now >= sent+span {
		return
	}
	k.leases[key] = &lease{key: key, expires: sent + span, span: span}
	k.actions = append(k.actions, Action{Verb: VerbRun, Key: key, Group: key.Group, Item: item})
}

// LeaseFailed ends an ask without an answer; what it may have granted runs out.
func (k *LeaseManager) LeaseFailed(now clock.Millis, group uint32) []Action {
	k.begin(now)
	k.groups[group].asking = false
	k.groups[group].askAfter = now + failurePause
	return k.plan(now)
}

const failurePause = clock.Millis(200)

// Renewed takes in the answer to a renewal of leases that was sent at sent.
func (k *LeaseManager) Renewed(now, sent clock.Millis, group uint32, leases []uint64, answer *toucanhingev1.RenewResponse) []Action {
	k.begin(now)
	k.groups[group].renewing = false
	span := clock.Millis(answer.GetLeaseMs())
	for key, l := range k.leases {
		switch {
		case key.Group != group:
		case slices.Contains(answer.GetRevoked(), key.Lease):
			k.lose(key)
		case slices.Contains(leases, key.Lease):
			l.expires = max(l.expires, sent+span)
			l.span = span
		}
	}
	return k.plan(now)
}

// RenewFailed ends a renewal without an answer.
func (k *LeaseManager) RenewFailed(now clock.Millis, group uint32) []Action {
	k.begin(now)
	k.groups[group].renewing = false
	return k.plan(now)
}

// Ended takes in an item's outcome. False means that its lease no longer holds,
// so that it is not reported.
func (k *LeaseManager) Ended(now clock.Millis, key Key, completion *toucanhingev1.Completion) ([]Action, bool) {
	k.begin(now)
	l, found := k.leases[key]
	if !found || l.outcome {
		return k.plan(now), false
	}
	l.outcome = true
	g := &k.groups[key.Group]
	if len(g.pending) == 0 {
		g.since = now
	}
	g.pending = append(g.pending, completion)
	return k.plan(now), true
}

// Reported takes in the acknowledgement of completions.
func (k *LeaseManager) Reported(now clock.Millis, group uint32, completions []*toucanhingev1.Completion) []Action {
	k.begin(now)
	k.groups[group].reporting = false
	for _, c := range completions {
		delete(k.leases, keyOf(group, c))
	}
	return k.plan(now)
}

// ReportFailed puts completions back that were not acknowledged. Reporting them
// again is harmless: the first one counts.
func (k *LeaseManager) ReportFailed(now clock.Millis, group uint32, completions []*toucanhingev1.Completion) []Action {
	k.begin(now)
	g := &k.groups[group]
	g.reporting = false
	g.since = now + failurePause
	for _, c := range completions {
		if _, held := k.leases[keyOf(group, c)]; held {
			g.pending = append(g.pending, c)
		}
	}
	return k.plan(now)
}

// Tick lets time pass.
func (k *LeaseManager) Tick(now clock.Millis) []Action {
	k.begin(now)
	return k.plan(now)
}

// begin drops what ran out before anything else is looked at, so that no step
// acts on a lease that no longer holds.
func (k *LeaseManager) begin(now clock.Millis) {
	k.actions = nil
	for key, l := range k.leases {
		if now >= l.expires {
			k.lose(key)
		}
	}
}

func (k *LeaseManager) lose(key Key) {
	l, held := k.leases[key]
	if !held {
		return
	}
	delete(k.leases, key)
	if !l.outcome {
		k.actions = append(k.actions, Action{Verb: VerbStop, Group: key.Group, Key: key})
		return
	}
	g := &k.groups[key.Group]
	for n, c := range g.pending {
		if key.completes(c) {
			g.pending = append(g.pending[:n:n], g.pending[n+1:]...)
			return
		}
	}
}

func (k *LeaseManager) plan(now clock.Millis) []Action {
	for group := range k.groups {
		k.report(now, uint32(group))
		k.renew(now, uint32(group))
	}
	k.ask(now)
	return k.actions
}

func (k *LeaseManager) report(now clock.Millis, group uint32) {
	g := &k.groups[group]
	due := now >= g.since+k.config.FlushDelay || len(g.pending) >= k.config.FlushSize && now >= g.since
	if g.reporting || len(g.pending) == 0 || !due {
		return
	}
	count := min(len(g.pending), k.config.FlushSize)
	completions := append([]*toucanhingev1.Completion(nil), g.pending[:count]...)
	g.pending = append([]*toucanhingev1.Completion(nil), g.pending[count:]...)
	g.reporting = true
	g.since = now
	k.actions = append(k.actions, Action{Verb: VerbReport, Group: group, Completions: completions})
}

// renew asks for all leases of a group once one of them has half its span left.
func (k *LeaseManager) renew(now clock.Millis, group uint32) {
	if k.groups[group].renewing {
		return
	}
	due := false
	var numbers []uint64
	for key, l := range k.leases {
		if key.Group == group {
			numbers = append(numbers, key.Lease)
			due = due || l.expires-now <= l.span/2
		}
	}
	if !due {
		return
	}
	slices.Sort(numbers)
	numbers = slices.Compact(numbers)
	k.groups[group].renewing = true
	k.actions = append(k.actions, Action{Verb: VerbRenew, Group: group, Leases: numbers})
}

// ask takes the groups in turn, so that no group's jobs wait behind another's.
func (k *LeaseManager) ask(now clock.Millis) {
	if !k.open {
		return
	}
	for range k.groups {
		room := k.config.MaxItems - len(k.leases) - k.askedFor()
		if room <= 0 {
			return
		}
		group := k.next % len(k.groups)
		k.next++
		g := &k.groups[group]
		if group < job.FirstGroup || g.asking || now < g.askAfter {
			continue
		}
		g.asking = true
		most := min(room, k.config.MaxPerRequest)
		k.actions = append(k.actions, Action{Verb: VerbLease, Group: uint32(group), MaxItems: uint32(most)})
	}
}

// askedFor is what may still be granted by asks under way.
func (k *LeaseManager) askedFor() int {
	count := 0
	for i := range k.groups {
		if k.groups[i].asking {
			count += k.config.MaxPerRequest
		}
	}
	return count
}
