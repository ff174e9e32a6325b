package lease

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/seed"
)

func TestMain(m *testing.M) { seed.Main(m, 41, seed.Length{Checks: 3_000}) }

const bound clock.Millis = 5_000

func TestLeaseRunsFromQuery(t *testing.T) {
	l := New(bound)
	require.False(t, l.Valid(10_000), "a new lease must not be valid")
	require.True(t, l.ExpiresSoon(10_000))
	require.Equal(t, clock.Millis(-1), l.Age(10_000))
	l.Confirm(10_000)
	require.True(t, l.Valid(10_000))
	require.False(t, l.ExpiresSoon(11_799))
	require.True(t, l.ExpiresSoon(11_800))
	require.True(t, l.Valid(14_499))
	require.False(t, l.Valid(14_500))
	l.Confirm(12_000)
	l.Confirm(11_000)
	require.True(t, l.Valid(16_499), "a late answer must not shorten the lease")
	require.False(t, l.Valid(16_500))
	require.Equal(t, clock.Millis(500), l.Age(12_500))
}

func TestLeaseWithoutBoundIsAlwaysValid(t *testing.T) {
	l := New(0)
	require.True(t, l.Valid(1))
	l.Confirm(3)
	require.True(t, l.Valid(1_000_000))
	require.False(t, l.ExpiresSoon(1_000_000))
}

// simulation models the effects of changing leaders and a gateway on one key.
type simulation struct {
	now clock.Millis
	// removedAt is when each acknowledged removal of the key happened, by table version from 1.
	removedAt []clock.Millis
	// leads has the terms whose VM believes that it is the leader; only the VM of the last term is.
	term  int
	leads map[int]bool
	// applied is the table version that the VM of each term has applied.
	applied map[int]int
	// answers are in flight to the gateway.
	answers []answer
	// version is the version of the gateway's table.
	version int
	lease   *Lease
}

type answer struct {
	queriedAt clock.Millis
	version   int
}

// TestRapidRemovedKeyIsRefusedAfterBound simulates faults between the acknowledged removal of a key and a
// request with that key: leaders that are frozen or cut off and still believe that they lead when they
// resume; answers that arrive late or out of order; a gateway that is frozen while requests wait in its
// socket. A request that was sent after the bound must be refused. A request that is admitted now may have
// been sent just now.
func TestRapidRemovedKeyIsRefusedAfterBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{term: 1, leads: map[int]bool{1: true}, applied: map[int]int{}, lease: New(bound), now: 1}
		delay := rapid.Int64Range(0, 1_500)
		query := func(t *rapid.T) {
			s.query(rapid.IntRange(1, s.term).Draw(t, "term"), clock.Millis(delay.Draw(t, "delay")))
			s.now += clock.Millis(delay.Draw(t, "answer delay"))
			if n := len(s.answers); n > 0 {
				s.deliver(n - 1)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"time passes":                   func(t *rapid.T) { s.now += clock.Millis(delay.Draw(t, "duration")) },
			"the key is removed":            func(*rapid.T) { s.removeKey() },
			"another VM becomes leader":     func(*rapid.T) { s.elect() },
			"an earlier leader steps down":  func(t *rapid.T) { delete(s.leads, rapid.IntRange(1, s.term).Draw(t, "term")) },
			"the gateway queries":           query,
			"the gateway queries again":     query,
			"the gateway queries once more": query,
			"query without an answer yet": func(t *rapid.T) {
				s.query(rapid.IntRange(1, s.term).Draw(t, "term"), clock.Millis(delay.Draw(t, "delay")))
			},
			"an answer arrives late": func(t *rapid.T) {
				if n := len(s.answers); n > 0 {
					s.deliver(rapid.IntRange(0, n-1).Draw(t, "answer"))
				}
			},
			"": func(t *rapid.T) {
				if s.admits() && len(s.removedAt) > 0 {
					require.LessOrEqual(t, s.now, s.removedAt[0]+bound, "the removed key was admitted after the bound")
				}
			},
		})
	})
}

// removeKey removes the key in the table of the current leader.
func (s *simulation) removeKey() {
	s.removedAt = append(s.removedAt, s.now)
	s.applied[s.term] = len(s.removedAt)
}

// elect makes another VM the leader, with all acknowledged state. The previous leader may not know of it.
func (s *simulation) elect() {
	s.term++
	s.leads[s.term] = true
	s.applied[s.term] = len(s.removedAt)
}

// query sends a query of the gateway to a VM, which receives it after a delay. The VM answers only if a
// majority then confirms it as the leader.
func (s *simulation) query(term int, delay clock.Millis) {
	queriedAt := s.now
	s.now += delay
	if s.leads[term] && term == s.term {
		s.answers = append(s.answers, answer{queriedAt: queriedAt, version: s.applied[term]})
	}
}

// deliver delivers an answer to the gateway.
func (s *simulation) deliver(i int) {
	a := s.answers[i]
	s.answers = append(s.answers[:i], s.answers[i+1:]...)
	s.version = max(s.version, a.version)
	s.lease.Confirm(a.queriedAt)
}

// admits reports whether the gateway admits the key now; only the first table contains it.
func (s *simulation) admits() bool { return s.lease.Valid(s.now) && s.version == 0 }
