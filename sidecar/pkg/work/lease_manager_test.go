package work

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const leaseDuration = 1_000

// controlLease is the state of a lease at control.
type controlLease struct {
	expiresAt clock.Millis
	revoked   bool
	accepted  bool
}

// call is a pending call to control.
type call struct {
	action Action
	sent   clock.Millis
}

// simulation is a LeaseManager and a control that counts a lease's duration from when
// it handles the call, which is never before the call was sent.
type simulation struct {
	t             *rapid.T
	manager       *LeaseManager
	now           clock.Millis
	lastLease     uint64
	controlLeases map[Key]*controlLease
	calls         []call
	running       map[Key]bool
	// stopping holds items that were stopped. Their goroutines may still report.
	stopping map[Key]bool
	reported map[Key]int
	open     bool
}

func (s *simulation) apply(actions []Action) {
	for _, a := range actions {
		switch a.Verb {
		case VerbLease, VerbRenew, VerbReport:
			s.checkCall(a)
			s.calls = append(s.calls, call{action: a, sent: s.now})
		case VerbRun:
			require.False(s.t, s.running[a.Key], "item run twice under one lease")
			s.running[a.Key] = true
		case VerbStop:
			require.True(s.t, s.running[a.Key], "item stopped without running")
			delete(s.running, a.Key)
			s.stopping[a.Key] = true
		}
	}
	s.check()
}

func (s *simulation) checkCall(a Action) {
	for _, c := range s.calls {
		require.False(s.t, c.action.Verb == a.Verb && c.action.Group == a.Group, "concurrent calls of one kind to a group")
	}
	if a.Verb == VerbLease {
		require.True(s.t, s.open, "leases requested while closed")
	}
	for _, c := range a.Completions {
		key := Key{Group: a.Group, Lease: c.GetLease()}
		require.Less(s.t, s.now, s.controlLeases[key].expiresAt, "outcome reported after the lease expired")
	}
}

// check verifies after every step that no item runs under a lease that control may
// have granted to another process, and that the number of leased items is limited.
func (s *simulation) check() {
	for key := range s.running {
		require.Less(s.t, s.now, s.controlLeases[key].expiresAt, "item still runs after its lease expired")
	}
	require.LessOrEqual(s.t, s.manager.LeaseCount(), 6)
}

// Leases are granted, renewed, revoked and reported, answers are slow or lost, and time
// jumps as after a freeze of the process. No item runs or is reported after its lease
// has expired at control, and none runs twice under one lease. Without further faults
// every outcome is acknowledged.
func TestRapidLeaseManager(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			t: t, now: 1_000, controlLeases: map[Key]*controlLease{}, running: map[Key]bool{}, stopping: map[Key]bool{}, reported: map[Key]int{}, open: true,
			manager: NewLeaseManager(LeaseManagerConfig{MaxItems: 6, MaxPerRequest: 3, FlushDelay: 20, FlushSize: 2}),
		}
		s.manager.SetGroupCount(3)
		s.manager.SetOpen(true)
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) {
				s.now += clock.Millis(rapid.IntRange(1, 100).Draw(t, "passed"))
				s.apply(s.manager.Tick(s.now))
			},
			"freeze": func(t *rapid.T) {
				s.now += clock.Millis(rapid.IntRange(100, 3_000).Draw(t, "frozen"))
				s.apply(s.manager.Tick(s.now))
			},
			"answer": s.answerCall,
			"end":    s.endRunning,
			"late":   s.endStopping,
			"revoke": s.revoke,
			"open": func(t *rapid.T) {
				s.open = rapid.Bool().Draw(t, "open")
				s.manager.SetOpen(s.open)
			},
		})
		s.finishWithoutFaults()
	})
}

func (s *simulation) answerCall(t *rapid.T) {
	if len(s.calls) == 0 {
		t.Skip("no pending call")
	}
	i := rapid.IntRange(0, len(s.calls)-1).Draw(t, "call")
	c := s.calls[i]
	s.calls = append(s.calls[:i], s.calls[i+1:]...)
	// Control handles the call at some time between its sending and now.
	handled := c.sent + clock.Millis(rapid.IntRange(0, int(s.now-c.sent)).Draw(t, "handled"))
	lost := rapid.IntRange(0, 4).Draw(t, "lost") == 0
	s.reply(c, handled, lost, rapid.IntRange(0, 3).Draw(t, "items"))
}

func (s *simulation) reply(c call, handled clock.Millis, lost bool, items int) {
	a := c.action
	switch a.Verb {
	case VerbLease:
		answer := s.grantLeases(a, handled, min(items, int(a.MaxItems)))
		if lost {
			s.apply(s.manager.LeaseFailed(s.now, a.Group))
			return
		}
		s.apply(s.manager.Granted(s.now, c.sent, a.Group, answer))
	case VerbRenew:
		answer := s.renewLeases(a, handled)
		if lost {
			s.apply(s.manager.RenewFailed(s.now, a.Group))
			return
		}
		s.apply(s.manager.Renewed(s.now, c.sent, a.Group, a.Leases, answer))
	default:
		for _, completion := range a.Completions {
			key := Key{Group: a.Group, Lease: completion.GetLease()}
			if handled < s.controlLeases[key].expiresAt && !s.controlLeases[key].revoked {
				s.controlLeases[key].accepted = true
			}
		}
		if lost {
			s.apply(s.manager.ReportFailed(s.now, a.Group, a.Completions))
			return
		}
		s.apply(s.manager.Reported(s.now, a.Group, a.Completions))
	}
}

func (s *simulation) grantLeases(a Action, handled clock.Millis, count int) *toucanhingev1.LeaseResponse {
	answer := &toucanhingev1.LeaseResponse{LeaseMs: leaseDuration, RetryMs: 10}
	for range count {
		s.lastLease++
		s.controlLeases[Key{Group: a.Group, Lease: s.lastLease}] = &controlLease{expiresAt: handled + leaseDuration}
		answer.Items = append(answer.Items, &toucanhingev1.LeasedItem{Lease: s.lastLease})
	}
	return answer
}

func (s *simulation) renewLeases(a Action, handled clock.Millis) *toucanhingev1.RenewResponse {
	answer := &toucanhingev1.RenewResponse{LeaseMs: leaseDuration}
	for _, number := range a.Leases {
		l := s.controlLeases[Key{Group: a.Group, Lease: number}]
		if l.revoked || handled >= l.expiresAt {
			l.revoked = true
			answer.Revoked = append(answer.Revoked, number)
			continue
		}
		l.expiresAt = max(l.expiresAt, handled+leaseDuration)
	}
	return answer
}

func (s *simulation) firstOf(from map[Key]bool) (Key, bool) {
	for lease := uint64(1); lease <= s.lastLease; lease++ {
		for group := range uint32(3) {
			if key := (Key{Group: group, Lease: lease}); from[key] {
				return key, true
			}
		}
	}
	return Key{}, false
}

func newCompletion(key Key) *toucanhingev1.Completion {
	return &toucanhingev1.Completion{Lease: key.Lease, Outcome: toucanhingev1.Outcome_OUTCOME_DONE}
}

func (s *simulation) endRunning(t *rapid.T) {
	key, found := s.firstOf(s.running)
	if !found {
		t.Skip("no running item")
	}
	delete(s.running, key)
	actions, valid := s.manager.Ended(s.now, key, newCompletion(key))
	require.True(s.t, valid, "outcome of a valid lease was dropped")
	s.apply(actions)
}

// endStopping reports the outcome of a stopped item whose goroutine ends after the stop.
func (s *simulation) endStopping(t *rapid.T) {
	key, found := s.firstOf(s.stopping)
	if !found {
		t.Skip("no stopping item")
	}
	delete(s.stopping, key)
	actions, valid := s.manager.Ended(s.now, key, newCompletion(key))
	require.False(s.t, valid, "outcome of a lost lease was accepted")
	s.apply(actions)
}

func (s *simulation) revoke(*rapid.T) {
	if key, found := s.firstOf(s.running); found {
		s.controlLeases[key].revoked = true
	}
}

func (s *simulation) finishWithoutFaults() {
	s.manager.SetOpen(false)
	s.open = false
	for range 300 {
		s.now += 10
		s.apply(s.manager.Tick(s.now))
		for len(s.calls) > 0 {
			c := s.calls[0]
			s.calls = s.calls[1:]
			s.reply(c, s.now, false, 0)
		}
		if key, found := s.firstOf(s.running); found {
			delete(s.running, key)
			actions, _ := s.manager.Ended(s.now, key, newCompletion(key))
			s.apply(actions)
		}
	}
	require.Zero(s.t, s.manager.LeaseCount(), "leases are left")
}

// A process is frozen for longer than its leases last. On its first step afterwards it
// stops the running item and drops the outcome of the finished one: another process may
// have leased both by now, and control would refuse the report.
func TestFrozenProcessStopsExpiredItems(t *testing.T) {
	m := NewLeaseManager(LeaseManagerConfig{MaxItems: 4, MaxPerRequest: 4, FlushDelay: 20, FlushSize: 64})
	m.SetGroupCount(1)
	m.SetOpen(true)
	m.Tick(0)
	m.Granted(5, 0, 0, &toucanhingev1.LeaseResponse{LeaseMs: leaseDuration, Items: []*toucanhingev1.LeasedItem{{Lease: 1}, {Lease: 2}}})
	_, valid := m.Ended(10, Key{Lease: 1}, newCompletion(Key{Lease: 1}))
	require.True(t, valid)
	actions := m.Tick(5_000)
	require.Equal(t, VerbStop, actions[0].Verb)
	require.Equal(t, uint64(2), actions[0].Key.Lease)
	for _, a := range actions {
		require.NotEqual(t, VerbReport, a.Verb)
	}
}

// Guards against an item that loses an attempt because control counts on a lease that isn't held here: an idle process has
// to list its leases, which are none, for long enough that control doesn't pass over each list.
func TestLeasesThatAreNotHeldAreListed(t *testing.T) {
	granted := &toucanhingev1.LeaseResponse{LeaseMs: leaseDuration, Items: []*toucanhingev1.LeasedItem{{Lease: 1}}}
	for name, lose := range map[string]func(m *LeaseManager) []Action{
		"lease expires during a freeze": func(m *LeaseManager) []Action {
			m.Granted(0, 0, 1, granted)
			return m.Tick(2_000)
		},
		"answer arrives after its lease": func(m *LeaseManager) []Action { return m.Granted(2_000, 0, 1, granted) },
		"no answer arrives": func(m *LeaseManager) []Action {
			m.Granted(0, 0, 1, &toucanhingev1.LeaseResponse{LeaseMs: leaseDuration})
			return m.LeaseFailed(2_000, 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := NewLeaseManager(LeaseManagerConfig{MaxItems: 4, MaxPerRequest: 4, FlushDelay: 20, FlushSize: 64})
			m.SetGroupCount(2)
			var listed []clock.Millis
			actions := lose(m)
			for now := clock.Millis(2_000); now <= 10_000; now += 100 {
				for _, a := range actions {
					if a.Verb != VerbRenew {
						continue
					}
					require.Empty(t, a.Leases)
					listed = append(listed, now)
					m.Renewed(now, now, 1, nil, &toucanhingev1.RenewResponse{LeaseMs: leaseDuration})
				}
				actions = m.Tick(now + 100)
			}
			require.Equal(t, []clock.Millis{2_000, 2_500, 3_000, 3_500}, listed)
		})
	}
}

// Leases are requested from all groups in rotation, so that the jobs of one group don't
// wait behind those of another.
func TestLeaseRequestsRotateOverGroups(t *testing.T) {
	m := NewLeaseManager(LeaseManagerConfig{MaxItems: 1, MaxPerRequest: 1, FlushDelay: 20, FlushSize: 64})
	m.SetGroupCount(4)
	m.SetOpen(true)
	var groups []uint32
	pending := m.Tick(0)
	for now := clock.Millis(100); len(groups) < 6; now += 100 {
		require.Len(t, pending, 1, "one free item, so one lease request")
		group := pending[0].Group
		groups = append(groups, group)
		pending = m.Granted(now, now, group, &toucanhingev1.LeaseResponse{LeaseMs: leaseDuration})
	}
	require.Equal(t, []uint32{1, 2, 3, 1, 2, 3}, groups, "group 0 holds no jobs")
}

// The answer to a renewal arrives late. Control counted the new duration from when it
// handled the call, long before the answer was read. If the LeaseManager counted from
// the answer, the item would still run while control leases it to another process.
func TestRenewalCountsFromSendTime(t *testing.T) {
	m := NewLeaseManager(LeaseManagerConfig{MaxItems: 4, MaxPerRequest: 4, FlushDelay: 20, FlushSize: 64})
	m.SetGroupCount(1)
	m.Granted(0, 0, 0, &toucanhingev1.LeaseResponse{LeaseMs: leaseDuration, Items: []*toucanhingev1.LeasedItem{{Lease: 1}}})
	require.Equal(t, VerbRenew, m.Tick(500)[0].Verb)
	m.Renewed(900, 500, 0, []uint64{1}, &toucanhingev1.RenewResponse{LeaseMs: leaseDuration})
	require.True(t, m.IsValid(1_499, Key{Lease: 1}))
	require.False(t, m.IsValid(1_500, Key{Lease: 1}))
}
