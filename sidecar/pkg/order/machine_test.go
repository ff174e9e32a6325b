package order

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/sidecar/pkg/engine"
)

// fakeEngine is an engine as seen from outside: it may check numbers or not,
// tell them or not, and lose its state.
type fakeEngine struct {
	checks bool
	held   engine.State
	// highest is the highest number that ever reached it.
	highest uint64
	reverts int
}

func (e *fakeEngine) take(o engine.Order) (refused bool) {
	if e.checks && o.Fence < e.held.Fence {
		return true
	}
	if o.Fence < e.highest {
		e.reverts++
	}
	e.highest = max(e.highest, o.Fence)
	e.held = engine.State{Fence: o.Fence, Model: o.Model, Loading: true}
	return false
}

// world is what the fuzz drives: one machine, one engine, calls that may be
// lost, and a durable state whose numbers only grow.
type world struct {
	t       *rapid.T
	m       *Machine
	engine  fakeEngine
	now     clock.Millis
	number  uint64
	model   string
	pending []Action
	closed  bool
	running int
	started bool
}

func order(number uint64, model string) Update {
	return Update{Desired: Desired{Order: engine.Order{Fence: number, Kind: KindModel, Model: model}}}
}

func (w *world) step(e Event) {
	for _, a := range w.m.Step(w.now, e) {
		w.act(a)
	}
}

func (w *world) act(a Action) {
	switch a.Verb {
	case Close:
		w.closed = true
	case Open:
		w.closed = false
		if w.engine.held.Loading && len(w.pending) == 0 {
			w.t.Fatal("opened while the engine loads")
		}
	case Read, Send:
		if len(w.pending) > 0 {
			w.t.Fatal("two calls to the engine at once")
		}
		if a.Verb == Send && (w.running > 0 || !w.closed) {
			w.t.Fatalf("an order sent with %d running, closed %v", w.running, w.closed)
		}
		if a.Verb == Send && !w.started {
			w.t.Fatal("an order sent before the newest is known")
		}
		w.pending = append(w.pending, a)
	}
}

// answer carries out the call under way; the way there or back may fail.
func (w *world) answer(t *rapid.T) {
	if len(w.pending) == 0 {
		t.Skip("no call")
	}
	a := w.pending[0]
	w.pending = nil
	lostThere := rapid.IntRange(0, 4).Draw(t, "there") == 0
	lostBack := rapid.IntRange(0, 4).Draw(t, "back") == 0
	if a.Verb == Read {
		w.step(ReadResult{State: w.engine.held, Failed: lostThere || lostBack})
		return
	}
	sent := SendResult{Fence: a.Order.Fence, Failed: lostThere || lostBack}
	if !lostThere {
		sent.Refused = w.engine.take(a.Order)
		sent.Current = w.engine.held.Fence
	}
	w.step(sent)
}

func (w *world) restart(_ *rapid.T) {
	w.m = New(Config{PollInterval: 100, RecheckInterval: 1_000})
	w.pending = nil
	w.closed = true
	w.started = false
	w.running = 0
}

// Orders come and are doubled and delivered old; calls are lost on the way there
// or back; the engine finishes loading or restarts; our process restarts. The
// engine, whether it checks numbers or not, never gets an older order after a
// newer one, never two calls at once, and none while work runs. When all is
// calm it ends up being what the newest order says, open for work.
func TestRapidOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: 1_000}
		w.engine.checks = rapid.Bool().Draw(t, "checks")
		w.restart(t)
		t.Repeat(map[string]func(*rapid.T){
			"order":   w.newOrder,
			"old":     w.oldOrder,
			"start":   func(*rapid.T) { w.start() },
			"answer":  w.answer,
			"tick":    w.tick,
			"work":    w.work,
			"loaded":  func(*rapid.T) { w.engine.held.Loading = false },
			"lost":    w.loseState,
			"restart": w.restart,
			"":        func(t *rapid.T) { require.Zero(t, w.engine.reverts, "an older order after a newer one") },
		})
		w.settle()
	})
}

func (w *world) newOrder(t *rapid.T) {
	w.number += uint64(rapid.IntRange(1, 3).Draw(t, "grows"))
	w.model = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model")
	if w.started {
		w.step(order(w.number, w.model))
	}
}

// oldOrder is a stale replica or a late delivery.
func (w *world) oldOrder(t *rapid.T) {
	if w.number == 0 {
		t.Skip("none yet")
	}
	w.step(order(rapid.Uint64Range(1, w.number).Draw(t, "old")/2, "stale"))
}

// start brings the quorum-confirmed configuration.
func (w *world) start() {
	if w.started {
		return
	}
	w.started = true
	w.step(order(w.number, w.model))
	w.step(ConfigConfirmed{})
}

func (w *world) tick(t *rapid.T) {
	w.now += clock.Millis(rapid.IntRange(1, 500).Draw(t, "passed"))
	if w.closed && w.running == 0 {
		w.step(Drained{})
	}
	w.step(Tick{})
}

func (w *world) work(*rapid.T) {
	if !w.closed {
		w.running++
		return
	}
	w.running = max(w.running-1, 0)
}

// loseState is an engine that restarted: it has forgotten its orders.
func (w *world) loseState(*rapid.T) {
	w.engine.held = engine.State{}
	w.engine.highest = 0
}

func (w *world) settle() {
	w.start()
	w.running = 0
	for range 200 {
		w.now += 600
		w.engine.held.Loading = false
		if len(w.pending) > 0 {
			a := w.pending[0]
			w.pending = nil
			if a.Verb == Read {
				w.step(ReadResult{State: w.engine.held})
			} else {
				refused := w.engine.take(a.Order)
				w.step(SendResult{Fence: a.Order.Fence, Refused: refused, Current: w.engine.held.Fence})
			}
		}
		if w.closed {
			w.step(Drained{})
		}
		w.step(Tick{})
	}
	require.False(w.t, w.closed, "the endpoint stays closed")
	if w.number > 0 {
		require.Equal(w.t, w.model, w.engine.held.Model)
		require.Equal(w.t, w.number, w.engine.held.Fence)
	}
}

// quiet makes a machine that has read an engine without orders.
func quiet(t *testing.T) *Machine {
	t.Helper()
	m := New(Config{PollInterval: 100, RecheckInterval: 1_000})
	require.Equal(t, []Action{{Verb: Read}}, m.Step(0, Tick{}))
	require.Equal(t, []Action{{Verb: Open}}, m.Step(0, ReadResult{}))
	require.Empty(t, m.Step(0, ConfigConfirmed{}))
	return m
}

// The answer to an order is lost. The engine may or may not have taken it, so it
// is read before anything else is sent; it has not, so the same number goes out
// again.
func TestLostAnswerIsReadBack(t *testing.T) {
	m := quiet(t)
	require.Equal(t, []Action{{Verb: Close}}, m.Step(1, order(5, "a")))
	require.Equal(t, Send, m.Step(2, Drained{})[0].Verb)
	require.Empty(t, m.Step(3, SendResult{Fence: 5, Failed: true}))
	require.Empty(t, m.Step(50, Tick{}))
	require.Equal(t, []Action{{Verb: Read}}, m.Step(103, Tick{}))
	require.Empty(t, m.Step(104, ReadResult{}))
	require.Equal(t, uint64(5), m.Step(105, Drained{})[0].Order.Fence)
}

// Another sidecar's order with a higher number reached the engine before ours.
// The engine refuses ours; we take its number as known and wait for the
// configuration to bring the newer order.
func TestRefusedOrderIsNotRepeated(t *testing.T) {
	m := quiet(t)
	m.Step(1, order(5, "a"))
	m.Step(2, Drained{})
	require.Equal(t, []Action{{Verb: Read}}, m.Step(3, SendResult{Fence: 5, Refused: true, Current: 9}))
	require.Equal(t, []Action{{Verb: Open}}, m.Step(4, ReadResult{State: engine.State{Fence: 9, Model: "z"}}))
	require.Equal(t, uint64(9), m.Fence())
	require.Empty(t, m.Step(5, order(8, "b")))
}

func TestNotBefore(t *testing.T) {
	m := quiet(t)
	o := order(5, "a")
	o.Desired.NotBefore = 500
	require.Empty(t, m.Step(1, o))
	require.Empty(t, m.Step(499, Tick{}))
	require.Equal(t, []Action{{Verb: Close}}, m.Step(500, Tick{}))
}

// A change of role needs no weights, so the work that runs goes on.
func TestRoleNeedsNoDrain(t *testing.T) {
	m := quiet(t)
	o := Update{Desired: Desired{Order: engine.Order{Fence: 5, Kind: KindRole, Role: "prefill"}}}
	require.Equal(t, Send, m.Step(1, o)[0].Verb)
}

// An engine that tells no numbers is done when it is what the order asked for;
// without that it would load the same weights for ever.
func TestEngineWithoutNumbers(t *testing.T) {
	m := quiet(t)
	m.Step(1, order(5, "a"))
	m.Step(2, Drained{})
	m.Step(3, SendResult{Fence: 5})
	require.Equal(t, []Action{{Verb: Open}}, m.Step(4, ReadResult{State: engine.State{Model: "a"}}))
}

// A process died with an order under way; the engine, which was frozen, takes it
// after the next process has given a newer one, and ignores numbers. The next
// reading shows it, and the newer order is given again.
func TestLateOrderOfADeadProcessIsMended(t *testing.T) {
	m := quiet(t)
	m.Step(1, order(6, "new"))
	m.Step(2, Drained{})
	m.Step(3, SendResult{Fence: 6})
	m.Step(4, ReadResult{State: engine.State{Fence: 6, Model: "new"}})
	require.Equal(t, []Action{{Verb: Read}}, m.Step(1_100, Tick{}))
	require.Equal(t, []Action{{Verb: Close}}, m.Step(1_101, ReadResult{State: engine.State{Fence: 5, Model: "old"}}))
	require.Equal(t, uint64(6), m.Step(1_102, Drained{})[0].Order.Fence)
}

// A higher number is known from the engine, then the engine restarts and knows
// none. The order that we have is older, so it is not given: the newer one is on
// its way through the configuration.
func TestNothingBelowAKnownNumber(t *testing.T) {
	scenarios := []struct {
		name  string
		learn func(*Machine)
	}{
		{"by reading", func(m *Machine) {
			m.Step(1_100, Tick{})
			m.Step(1_101, ReadResult{State: engine.State{Fence: 9, Model: "z"}})
		}},
		{"by a refusal", func(m *Machine) {
			m.Step(1, order(4, "a"))
			m.Step(2, Drained{})
			m.Step(3, SendResult{Fence: 4, Refused: true, Current: 9})
			m.Step(4, ReadResult{})
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			m := quiet(t)
			s.learn(m)
			require.Empty(t, m.Step(1_200, order(5, "a")), "an order below a known number")
			m.Step(2_200, Tick{})
			require.Empty(t, m.Step(2_201, ReadResult{}), "an order below a known number")
			require.Equal(t, []Action{{Verb: Close}}, m.Step(2_202, order(10, "b")))
		})
	}
}
