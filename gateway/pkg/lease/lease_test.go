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

func TestALeaseHoldsFromItsQuestion(t *testing.T) {
	l := New(bound)
	require.False(t, l.Valid(10_000), "nothing was confirmed yet")
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
	require.True(t, l.Valid(16_499), "an answer that comes late takes nothing back")
	require.False(t, l.Valid(16_500))
	require.Equal(t, clock.Millis(500), l.Age(12_500))
}

func TestWithoutABoundKeysAreAlwaysBelieved(t *testing.T) {
	l := New(0)
	require.True(t, l.Valid(1))
	l.Confirm(3)
	require.True(t, l.Valid(1_000_000))
	require.False(t, l.ExpiresSoon(1_000_000))
}

// world is a core with leaders that come and go, and a gateway, all as far as keys matter.
type world struct {
	now clock.Millis
	// removed is when each acknowledged table took the key away, by version from 1 on.
	removed []clock.Millis
	// believes are the terms whose VM believes that it leads; the last one really does.
	term     int
	believes map[int]bool
	// held is the version that each term's VM has applied.
	held map[int]int
	// answers are on their way to the gateway.
	answers []answer
	// version is the gateway's table.
	version int
	lease   *Lease
}

type answer struct {
	asked   clock.Millis
	version int
}

// TestRapidNoKeyIsLetInAfterTheBound plays what may go wrong between the acknowledgement that
// a key is gone and a request that comes with it: leaders that are frozen or cut off, and
// believe in themselves when they wake; answers that come late or in another order; a
// gateway that is frozen while requests wait in its socket. A request that was sent later
// than the bound must be turned away; one that is let in now may have been sent just now.
func TestRapidNoKeyIsLetInAfterTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{term: 1, believes: map[int]bool{1: true}, held: map[int]int{}, lease: New(bound), now: 1}
		way := rapid.Int64Range(0, 1_500)
		exchange := func(t *rapid.T) {
			w.ask(rapid.IntRange(1, w.term).Draw(t, "term"), clock.Millis(way.Draw(t, "way")))
			w.now += clock.Millis(way.Draw(t, "back"))
			if n := len(w.answers); n > 0 {
				w.take(n - 1)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"time passes":                func(t *rapid.T) { w.now += clock.Millis(way.Draw(t, "span")) },
			"the key is taken away":      func(*rapid.T) { w.takeAway() },
			"another VM leads":           func(*rapid.T) { w.elect() },
			"an earlier leader gives up": func(t *rapid.T) { delete(w.believes, rapid.IntRange(1, w.term).Draw(t, "term")) },
			"the gateway asks":           exchange,
			"the gateway asks again":     exchange,
			"the gateway asks once more": exchange,
			"its question gets no answer yet": func(t *rapid.T) {
				w.ask(rapid.IntRange(1, w.term).Draw(t, "term"), clock.Millis(way.Draw(t, "way")))
			},
			"an answer comes late": func(t *rapid.T) {
				if n := len(w.answers); n > 0 {
					w.take(rapid.IntRange(0, n-1).Draw(t, "answer"))
				}
			},
			"": func(t *rapid.T) {
				if w.admits() && len(w.removed) > 0 {
					require.LessOrEqual(t, w.now, w.removed[0]+bound, "let in after the bound")
				}
			},
		})
	})
}

func (w *world) takeAway() {
	w.removed = append(w.removed, w.now)
	w.held[w.term] = len(w.removed)
}

// elect lets another VM lead; it has all that was acknowledged. The one before may not know.
func (w *world) elect() {
	w.term++
	w.believes[w.term] = true
	w.held[w.term] = len(w.removed)
}

// ask sends the gateway's question to a VM; it takes some time to reach it. Only one that a
// majority confirms as the leader then answers.
func (w *world) ask(term int, way clock.Millis) {
	asked := w.now
	w.now += way
	if w.believes[term] && term == w.term {
		w.answers = append(w.answers, answer{asked: asked, version: w.held[term]})
	}
}

func (w *world) take(i int) {
	a := w.answers[i]
	w.answers = append(w.answers[:i], w.answers[i+1:]...)
	w.version = max(w.version, a.version)
	w.lease.Confirm(a.asked)
}

// admits says whether the gateway lets the key in now; the first table holds it.
func (w *world) admits() bool { return w.lease.Valid(w.now) && w.version == 0 }
