package work

import (
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/job"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// LeaseManagerConfig configures a LeaseManager.
type LeaseManagerConfig struct {
	// MaxItems is the maximum number of leased items, running or waiting.
	MaxItems int
	// MaxPerRequest is the maximum number of items requested in one call.
	MaxPerRequest int
	// FlushDelay is how long an outcome waits to be reported together with others.
	FlushDelay clock.Millis
	// FlushSize is the maximum number of outcomes in one report. That many pending
	// outcomes are reported without waiting.
	FlushSize int
}

// Key identifies an item under a lease. A lease covers several items, and each group
// numbers its own leases.
type Key struct {
	Group uint32
	Lease uint64
	Job   string
	Index uint64
}

func (k Key) matches(c *toucanhingev1.Completion) bool {
	return c.GetLease() == k.Lease && c.GetIndex() == k.Index && c.GetJob() == k.Job
}

func keyOf(group uint32, c *toucanhingev1.Completion) Key {
	return Key{Group: group, Lease: c.GetLease(), Job: c.GetJob(), Index: c.GetIndex()}
}

// LeaseManager manages the leases of this process: it requests items, renews leases
// in time, stops items whose leases expired, and reports outcomes. It does no I/O:
// each method takes the time and returns actions.
//
// A lease expires here no later than at control, because its duration counts from
// when the call was sent, not from when the answer was received. So a lease may have
// expired here while control still considers it valid, but no item runs here after
// its lease expired at control. A process that was frozen finds on its first step
// that its leases have expired.
type LeaseManager struct {
	config    LeaseManagerConfig
	groups    []groupState
	nextGroup int
	leases    map[Key]*lease
	open      bool
	actions   []Action
}

type lease struct {
	key       Key
	expiresAt clock.Millis
	duration  clock.Millis
	// ended is true once the item has ended here and its outcome is to be reported.
	ended bool
}

// Verb is the kind of an Action.
type Verb int

// Verbs.
const (
	// VerbLease leases up to MaxItems items of a group.
	VerbLease Verb = iota + 1
	// VerbRenew renews Leases.
	VerbRenew
	// VerbReport reports Completions.
	VerbReport
	// VerbRun runs Item under Key.
	VerbRun
	// VerbStop stops the item under Key, whose lease was lost.
	VerbStop
)

// Action is an output of a LeaseManager, to be executed by its caller.
type Action struct {
	Verb        Verb
	Group       uint32
	MaxItems    uint32
	Leases      []uint64
	Completions []*toucanhingev1.Completion
	Item        *toucanhingev1.LeasedItem
	Key         Key
}

// NewLeaseManager creates a LeaseManager without leases. It requests items only after
// SetGroupCount and SetOpen.
func NewLeaseManager(config LeaseManagerConfig) *LeaseManager {
	return &LeaseManager{config: config, leases: map[Key]*lease{}}
}

// SetGroupCount sets the number of groups that control runs. It never decreases.
func (m *LeaseManager) SetGroupCount(count uint32) {
	for uint32(len(m.groups)) < count {
		m.groups = append(m.groups, groupState{duration: assumedDuration})
	}
}

// SetOpen sets whether the LeaseManager requests new items.
func (m *LeaseManager) SetOpen(open bool) {
	m.open = open
}

// LeaseCount returns the number of leased items.
func (m *LeaseManager) LeaseCount() int {
	return len(m.leases)
}

// IsValid reports whether the item's lease is held and has not expired.
func (m *LeaseManager) IsValid(now clock.Millis, key Key) bool {
	l, found := m.leases[key]
	return found && now < l.expiresAt
}

// Granted applies the answer to a lease request that was sent at the given time.
func (m *LeaseManager) Granted(now, sent clock.Millis, group uint32, answer *toucanhingev1.LeaseResponse) []Action {
	m.beginStep(now)
	g := &m.groups[group]
	g.leasing = false
	g.nextLeaseAt = now
	if len(answer.GetItems()) == 0 {
		g.nextLeaseAt = now + max(clock.Millis(answer.GetRetryMs()), minLeaseBackoff)
	}
	duration := clock.Millis(answer.GetLeaseMs())
	g.duration = duration
	for _, item := range answer.GetItems() {
		key := Key{Group: group, Lease: item.GetLease(), Job: item.GetJob(), Index: item.GetIndex()}
		m.grant(now, sent, duration, key, item)
	}
	return m.plan(now)
}

// minLeaseBackoff is the minimum delay before the next lease request to a group without
// available items, whatever retry time its answer contains. It prevents a busy loop.
const minLeaseBackoff = clock.Millis(20)

func (m *LeaseManager) grant(now, sent, duration clock.Millis, key Key, item *toucanhingev1.LeasedItem) {
	if now >= sent+duration {
		m.groups[key.Group].startListing(now)
		return
	}
	if _, known := m.leases[key]; known {
		return
	}
	m.leases[key] = &lease{key: key, expiresAt: sent + duration, duration: duration}
	m.actions = append(m.actions, Action{Verb: VerbRun, Key: key, Group: key.Group, Item: item})
}

// LeaseFailed ends a lease request without an answer. Leases that control may have
// granted are missing from the next lists.
func (m *LeaseManager) LeaseFailed(now clock.Millis, group uint32) []Action {
	m.beginStep(now)
	m.groups[group].leasing = false
	m.groups[group].nextLeaseAt = now + failureBackoff
	m.groups[group].startListing(now)
	return m.plan(now)
}

// failureBackoff is the delay before a failed lease request or report is repeated.
const failureBackoff = clock.Millis(200)

// Renewed applies the answer to a renewal of leases that was sent at the given time.
func (m *LeaseManager) Renewed(now, sent clock.Millis, group uint32, leases []uint64, answer *toucanhingev1.RenewResponse) []Action {
	m.beginStep(now)
	m.groups[group].renewing = false
	duration := clock.Millis(answer.GetLeaseMs())
	for key, l := range m.leases {
		switch {
		case key.Group != group:
		case slices.Contains(answer.GetRevoked(), key.Lease):
			m.dropLease(key)
		case slices.Contains(leases, key.Lease):
			l.expiresAt = max(l.expiresAt, sent+duration)
			l.duration = duration
		}
	}
	return m.plan(now)
}

// RenewFailed ends a renewal without an answer.
func (m *LeaseManager) RenewFailed(now clock.Millis, group uint32) []Action {
	m.beginStep(now)
	m.groups[group].renewing = false
	return m.plan(now)
}

// Ended records an item's outcome. It returns false if the item's lease was lost, so
// that the outcome is not reported.
func (m *LeaseManager) Ended(now clock.Millis, key Key, completion *toucanhingev1.Completion) ([]Action, bool) {
	m.beginStep(now)
	l, found := m.leases[key]
	if !found || l.ended {
		return m.plan(now), false
	}
	l.ended = true
	g := &m.groups[key.Group]
	if len(g.pending) == 0 {
		g.pendingSince = now
	}
	g.pending = append(g.pending, completion)
	return m.plan(now), true
}

// Reported removes the leases of acknowledged completions.
func (m *LeaseManager) Reported(now clock.Millis, group uint32, completions []*toucanhingev1.Completion) []Action {
	m.beginStep(now)
	m.groups[group].reporting = false
	for _, c := range completions {
		delete(m.leases, keyOf(group, c))
	}
	return m.plan(now)
}

// ReportFailed queues unacknowledged completions again. Reporting them twice is
// harmless, because control counts only the first report.
func (m *LeaseManager) ReportFailed(now clock.Millis, group uint32, completions []*toucanhingev1.Completion) []Action {
	m.beginStep(now)
	g := &m.groups[group]
	g.reporting = false
	g.pendingSince = now + failureBackoff
	for _, c := range completions {
		if _, found := m.leases[keyOf(group, c)]; found {
			g.pending = append(g.pending, c)
		}
	}
	return m.plan(now)
}

// Tick only advances the time.
func (m *LeaseManager) Tick(now clock.Millis) []Action {
	m.beginStep(now)
	return m.plan(now)
}

// beginStep clears the actions and drops expired leases, so that no step acts on an
// expired lease.
func (m *LeaseManager) beginStep(now clock.Millis) {
	m.actions = nil
	for key, l := range m.leases {
		if now >= l.expiresAt {
			m.dropLease(key)
			m.groups[key.Group].startListing(now)
		}
	}
}

func (m *LeaseManager) dropLease(key Key) {
	l, found := m.leases[key]
	if !found {
		return
	}
	delete(m.leases, key)
	if !l.ended {
		m.actions = append(m.actions, Action{Verb: VerbStop, Group: key.Group, Key: key})
		return
	}
	g := &m.groups[key.Group]
	for n, c := range g.pending {
		if key.matches(c) {
			g.pending = append(g.pending[:n:n], g.pending[n+1:]...)
			return
		}
	}
}

func (m *LeaseManager) plan(now clock.Millis) []Action {
	for group := range m.groups {
		m.report(now, uint32(group))
		m.renew(now, uint32(group))
	}
	m.requestLeases(now)
	return m.actions
}

func (m *LeaseManager) report(now clock.Millis, group uint32) {
	g := &m.groups[group]
	flush := now >= g.pendingSince+m.config.FlushDelay || len(g.pending) >= m.config.FlushSize && now >= g.pendingSince
	if g.reporting || len(g.pending) == 0 || !flush {
		return
	}
	count := min(len(g.pending), m.config.FlushSize)
	completions := append([]*toucanhingev1.Completion(nil), g.pending[:count]...)
	g.pending = append([]*toucanhingev1.Completion(nil), g.pending[count:]...)
	g.reporting = true
	g.pendingSince = now
	m.actions = append(m.actions, Action{Verb: VerbReport, Group: group, Completions: completions})
}

// renew renews all leases of a group once one of them has only half of its duration
// left, or if they have to be listed.
func (m *LeaseManager) renew(now clock.Millis, group uint32) {
	g := &m.groups[group]
	if g.renewing {
		return
	}
	needed := g.listDue(now)
	var numbers []uint64
	for key, l := range m.leases {
		if key.Group == group {
			numbers = append(numbers, key.Lease)
			needed = needed || l.expiresAt-now <= l.duration/2
		}
	}
	if !needed {
		return
	}
	slices.Sort(numbers)
	numbers = slices.Compact(numbers)
	g.renewing = true
	g.nextListAt = now + g.duration/2
	m.actions = append(m.actions, Action{Verb: VerbRenew, Group: group, Leases: numbers})
}

// requestLeases requests items from the groups in rotation, so that the jobs of one
// group don't wait behind those of another.
func (m *LeaseManager) requestLeases(now clock.Millis) {
	if !m.open {
		return
	}
	for range m.groups {
		free := m.config.MaxItems - len(m.leases) - m.requestedItems()
		if free <= 0 {
			return
		}
		group := m.nextGroup % len(m.groups)
		m.nextGroup++
		g := &m.groups[group]
		if group < job.FirstGroup || g.leasing || now < g.nextLeaseAt {
			continue
		}
		g.leasing = true
		count := min(free, m.config.MaxPerRequest)
		m.actions = append(m.actions, Action{Verb: VerbLease, Group: uint32(group), MaxItems: uint32(count)})
	}
}

// requestedItems returns how many items the pending lease requests may still grant.
func (m *LeaseManager) requestedItems() int {
	count := 0
	for i := range m.groups {
		if m.groups[i].leasing {
			count += m.config.MaxPerRequest
		}
	}
	return count
}
