package work

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const span = 1_000

// truth is control's own reckoning of one lease.
type truth struct {
	expires  clock.Millis
	revoked  bool
	accepted bool
}

// call is one call to control on its way.
type call struct {
	action Action
	sent   clock.Millis
}

// bench is what the fuzz drives: a keeper, and a control that counts the lease
// from when it answers, which is never before we sent.
type bench struct {
	t       *rapid.T
	k       *LeaseManager
	now     clock.Millis
	next    uint64
	truths  map[Key]*truth
	calls   []call
	running map[Key]bool
	// stopping items were told to stop; their goroutines may still report.
	stopping map[Key]bool
	reported map[Key]int
	open     bool
}

func (b *bench) take(actions []Action) {
	for _, a := range actions {
		switch a.Verb {
		case VerbLease, VerbRenew, VerbReport:
			b.checkCall(a)
			b.calls = append(b.calls, call{action: a, sent: b.now})
		case VerbRun:
			require.False(b.t, b.running[a.Key], "run twice under one lease")
			b.running[a.Key] = true
		case VerbStop:
			require.True(b.t, b.running[a.Key], "stopped what does not run")
			delete(b.running, a.Key)
			b.stopping[a.Key] = true
		}
	}
	b.check()
}

func (b *bench) checkCall(a Action) {
	for _, c := range b.calls {
		require.False(b.t, c.action.Verb == a.Verb && c.action.Group == a.Group, "two calls of a kind to one group")
	}
	if a.Verb == VerbLease {
		require.True(b.t, b.open, "asked while closed")
	}
	for _, c := range a.Completions {
		key := Key{Group: a.Group, Lease: c.GetLease()}
		require.Less(b.t, b.now, b.truths[key].expires, "reported after the lease ran out")
	}
}

// check holds after every step: nothing runs on a lease that control may have
// handed on, and no more is held than allowed.
func (b *bench) check() {
	for key := range b.running {
		require.Less(b.t, b.now, b.truths[key].expires, "an item runs on although its lease ran out")
	}
	require.LessOrEqual(b.t, b.k.LeaseCount(), 6)
}

// Leases are granted, renewed, revoked and reported; answers are slow or lost;
// time jumps, as after a freeze of the process. No item runs on, and none is
// reported, after its lease has run out by control's own reckoning; none runs
// twice under one lease; and when all is calm every outcome is acknowledged.
func TestRapidKeeper(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &bench{
			t: t, now: 1_000, truths: map[Key]*truth{}, running: map[Key]bool{}, stopping: map[Key]bool{}, reported: map[Key]int{}, open: true,
			k: NewLeaseManager(LeaseManagerConfig{MaxItems: 6, MaxPerRequest: 3, FlushDelay: 20, FlushSize: 2}),
		}
		b.k.SetGroupCount(3)
		b.k.SetOpen(true)
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) {
				b.now += clock.Millis(rapid.IntRange(1, 100).Draw(t, "passed"))
				b.take(b.k.Tick(b.now))
			},
			"freeze": func(t *rapid.T) {
				b.now += clock.Millis(rapid.IntRange(100, 3_000).Draw(t, "frozen"))
				b.take(b.k.Tick(b.now))
			},
			"answer": b.answer,
			"end":    b.end,
			"late":   b.late,
			"revoke": b.revoke,
			"open": func(t *rapid.T) {
				b.open = rapid.Bool().Draw(t, "open")
				b.k.SetOpen(b.open)
			},
		})
		b.settle()
	})
}

func (b *bench) answer(t *rapid.T) {
	if len(b.calls) == 0 {
		t.Skip("no call")
	}
	i := rapid.IntRange(0, len(b.calls)-1).Draw(t, "call")
	c := b.calls[i]
	b.calls = append(b.calls[:i], b.calls[i+1:]...)
	// Control handles the call at some moment between its sending and now.
	handled := c.sent + clock.Millis(rapid.IntRange(0, int(b.now-c.sent)).Draw(t, "handled"))
	lost := rapid.IntRange(0, 4).Draw(t, "lost") == 0
	b.reply(c, handled, lost, rapid.IntRange(0, 3).Draw(t, "items"))
}

func (b *bench) reply(c call, handled clock.Millis, lost bool, items int) {
	a := c.action
	switch a.Verb {
	case VerbLease:
		answer := b.lease(a, handled, min(items, int(a.MaxItems)))
		if lost {
			b.take(b.k.LeaseFailed(b.now, a.Group))
			return
		}
		b.take(b.k.Granted(b.now, c.sent, a.Group, answer))
	case VerbRenew:
		answer := b.extend(a, handled)
		if lost {
			b.take(b.k.RenewFailed(b.now, a.Group))
			return
		}
		b.take(b.k.Renewed(b.now, c.sent, a.Group, a.Leases, answer))
	default:
		for _, completion := range a.Completions {
			key := Key{Group: a.Group, Lease: completion.GetLease()}
			if handled < b.truths[key].expires && !b.truths[key].revoked {
				b.truths[key].accepted = true
			}
		}
		if lost {
			b.take(b.k.ReportFailed(b.now, a.Group, a.Completions))
			return
		}
		b.take(b.k.Reported(b.now, a.Group, a.Completions))
	}
}

func (b *bench) lease(a Action, handled clock.Millis, count int) *toucanhingev1.LeaseResponse {
	answer := &toucanhingev1.LeaseResponse{LeaseMs: span, RetryMs: 10}
	for range count {
		b.next++
		b.truths[Key{Group: a.Group, Lease: b.next}] = &truth{expires: handled + span}
		answer.Items = append(answer.Items, &toucanhingev1.LeasedItem{Lease: b.next})
	}
	return answer
}

func (b *bench) extend(a Action, handled clock.Millis) *toucanhingev1.RenewResponse {
	answer := &toucanhingev1.RenewResponse{LeaseMs: span}
	for _, number := range a.Leases {
		held := b.truths[Key{Group: a.Group, Lease: number}]
		if held.revoked || handled >= held.expires {
			held.revoked = true
			answer.Revoked = append(answer.Revoked, number)
			continue
		}
		held.expires = max(held.expires, handled+span)
	}
	return answer
}

func (b *bench) some(from map[Key]bool) (Key, bool) {
	for lease := uint64(1); lease <= b.next; lease++ {
		for group := range uint32(3) {
			if key := (Key{Group: group, Lease: lease}); from[key] {
				return key, true
			}
		}
	}
	return Key{}, false
}

func completion(key Key) *toucanhingev1.Completion {
	return &toucanhingev1.Completion{Lease: key.Lease, Outcome: toucanhingev1.Outcome_OUTCOME_DONE}
}

func (b *bench) end(t *rapid.T) {
	key, found := b.some(b.running)
	if !found {
		t.Skip("nothing runs")
	}
	delete(b.running, key)
	actions, held := b.k.Ended(b.now, key, completion(key))
	require.True(b.t, held, "the outcome of a held lease was dropped")
	b.take(actions)
}

// late is a stopped item's goroutine that still comes to its end.
func (b *bench) late(t *rapid.T) {
	key, found := b.some(b.stopping)
	if !found {
		t.Skip("nothing stops")
	}
	delete(b.stopping, key)
	actions, held := b.k.Ended(b.now, key, completion(key))
	require.False(b.t, held, "the outcome of a lost lease was kept")
	b.take(actions)
}

func (b *bench) revoke(*rapid.T) {
	if key, found := b.some(b.running); found {
		b.truths[key].revoked = true
	}
}

func (b *bench) settle() {
	b.k.SetOpen(false)
	b.open = false
	for range 300 {
		b.now += 10
		b.take(b.k.Tick(b.now))
		for len(b.calls) > 0 {
			c := b.calls[0]
			b.calls = b.calls[1:]
			b.reply(c, b.now, false, 0)
		}
		if key, found := b.some(b.running); found {
			delete(b.running, key)
			actions, _ := b.k.Ended(b.now, key, completion(key))
			b.take(actions)
		}
	}
	require.Zero(b.t, b.k.LeaseCount(), "leases stay held")
}

// A process is frozen for longer than its leases last. On its first step after
// that it stops the item and drops the finished outcome: another process may
// have both by now, and control would refuse ours.
func TestThawedProcessStops(t *testing.T) {
	k := NewLeaseManager(LeaseManagerConfig{MaxItems: 4, MaxPerRequest: 4, FlushDelay: 20, FlushSize: 64})
	k.SetGroupCount(1)
	k.SetOpen(true)
	k.Tick(0)
	k.Granted(5, 0, 0, &toucanhingev1.LeaseResponse{LeaseMs: span, Items: []*toucanhingev1.LeasedItem{{Lease: 1}, {Lease: 2}}})
	_, held := k.Ended(10, Key{Lease: 1}, completion(Key{Lease: 1}))
	require.True(t, held)
	actions := k.Tick(5_000)
	require.Equal(t, VerbStop, actions[0].Verb)
	require.Equal(t, uint64(2), actions[0].Key.Lease)
	for _, a := range actions {
		require.NotEqual(t, VerbReport, a.Verb)
	}
}

// The keeper looks at all groups in turn, so that the jobs of one group don't
// wait behind those of another.
func TestGroupsTakeTurns(t *testing.T) {
	k := NewLeaseManager(LeaseManagerConfig{MaxItems: 1, MaxPerRequest: 1, FlushDelay: 20, FlushSize: 64})
	k.SetGroupCount(4)
	k.SetOpen(true)
	var asked []uint32
	pending := k.Tick(0)
	for now := clock.Millis(100); len(asked) < 6; now += 100 {
		require.Len(t, pending, 1, "one lease wanted, one group asked")
		group := pending[0].Group
		asked = append(asked, group)
		pending = k.Granted(now, now, group, &toucanhingev1.LeaseResponse{LeaseMs: span})
	}
	require.Equal(t, []uint32{1, 2, 3, 1, 2, 3}, asked, "group 0 holds no jobs")
}

// The answer to a renewal comes late: control counted the new span from when it
// handled the call, long before we read the answer. Counted from the answer, the
// item would run on while control hands it to another process.
func TestRenewalCountsFromItsSending(t *testing.T) {
	k := NewLeaseManager(LeaseManagerConfig{MaxItems: 4, MaxPerRequest: 4, FlushDelay: 20, FlushSize: 64})
	k.SetGroupCount(1)
	k.Granted(0, 0, 0, &toucanhingev1.LeaseResponse{LeaseMs: span, Items: []*toucanhingev1.LeasedItem{{Lease: 1}}})
	require.Equal(t, VerbRenew, k.Tick(500)[0].Verb)
	k.Renewed(900, 500, 0, []uint64{1}, &toucanhingev1.RenewResponse{LeaseMs: span})
	require.True(t, k.IsValid(1_499, Key{Lease: 1}))
	require.False(t, k.IsValid(1_500, Key{Lease: 1}))
}
