package order

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/sidecar/pkg/engine"
)

// fakeEngine is an engine that may or may not check fences and can lose its state.
type fakeEngine struct {
	checksFence bool
	state       engine.State
	// highestFence is the highest fence that reached the engine.
	highestFence uint64
	// reverts counts older orders applied after newer ones.
	reverts int
}

func (e *fakeEngine) apply(o engine.Order) (refused bool) {
	if e.checksFence && o.Fence < e.state.Fence {
		return true
	}
	if o.Fence < e.highestFence {
		e.reverts++
	}
	e.highestFence = max(e.highestFence, o.Fence)
	e.state = engine.State{Fence: o.Fence, Model: o.Model, Loading: true}
	return false
}

// simulation is a machine and an engine, with calls that may be lost and a durable
// state whose fences only grow.
type simulation struct {
	t               *rapid.T
	machine         *Machine
	engine          fakeEngine
	now             clock.Millis
	lastFence       uint64
	model           string
	pending         []Action
	closed          bool
	running         int
	configConfirmed bool
}

func newOrderUpdate(fence uint64, model string) Update {
	return Update{Desired: Desired{Order: engine.Order{Fence: fence, Kind: KindModel, Model: model}}}
}

func (s *simulation) step(e Event) {
	for _, a := range s.machine.Step(s.now, e) {
		s.act(a)
	}
}

func (s *simulation) act(a Action) {
	switch a.Verb {
	case Close:
		s.closed = true
	case Open:
		s.closed = false
		if s.engine.state.Loading && len(s.pending) == 0 {
			s.t.Fatal("opened while the engine loads")
		}
	case Read, Send:
		if len(s.pending) > 0 {
			s.t.Fatal("two concurrent calls to the engine")
		}
		if a.Verb == Send && (s.running > 0 || !s.closed) {
			s.t.Fatalf("order sent with %d requests running, closed: %v", s.running, s.closed)
		}
		if a.Verb == Send && !s.configConfirmed {
			s.t.Fatal("order sent before the configuration is confirmed")
		}
		s.pending = append(s.pending, a)
	}
}

// completeCall executes the pending call. The request or the answer may be lost.
func (s *simulation) completeCall(t *rapid.T) {
	if len(s.pending) == 0 {
		t.Skip("no pending call")
	}
	a := s.pending[0]
	s.pending = nil
	requestLost := rapid.IntRange(0, 4).Draw(t, "there") == 0
	answerLost := rapid.IntRange(0, 4).Draw(t, "back") == 0
	if a.Verb == Read {
		s.step(ReadResult{State: s.engine.state, Failed: requestLost || answerLost})
		return
	}
	result := SendResult{Fence: a.Order.Fence, Failed: requestLost || answerLost}
	if !requestLost {
		result.Refused = s.engine.apply(a.Order)
		result.Current = s.engine.state.Fence
	}
	s.step(result)
}

func (s *simulation) restartSidecar(_ *rapid.T) {
	s.machine = New(Config{PollInterval: 100, RecheckInterval: 1_000})
	s.pending = nil
	s.closed = true
	s.configConfirmed = false
	s.running = 0
}

// Orders arrive, stale orders are delivered, requests and answers of engine calls are
// lost, the engine finishes loading or restarts, and the sidecar restarts. The engine,
// whether it checks fences or not, never gets an older order after a newer one, two
// concurrent calls, or an order while work runs. Without further faults it reaches
// the state set by the newest order, with the endpoint open for work.
func TestRapidOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, now: 1_000}
		s.engine.checksFence = rapid.Bool().Draw(t, "checks")
		s.restartSidecar(t)
		t.Repeat(map[string]func(*rapid.T){
			"order":   s.newOrder,
			"old":     s.oldOrder,
			"start":   func(*rapid.T) { s.confirmConfig() },
			"answer":  s.completeCall,
			"tick":    s.tick,
			"work":    s.changeRunning,
			"loaded":  func(*rapid.T) { s.engine.state.Loading = false },
			"lost":    s.restartEngine,
			"restart": s.restartSidecar,
			"":        func(t *rapid.T) { require.Zero(t, s.engine.reverts, "older order after a newer one") },
		})
		s.settle()
	})
}

func (s *simulation) newOrder(t *rapid.T) {
	s.lastFence += uint64(rapid.IntRange(1, 3).Draw(t, "grows"))
	s.model = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model")
	if s.configConfirmed {
		s.step(newOrderUpdate(s.lastFence, s.model))
	}
}

// oldOrder delivers an order with an old fence, as a stale replica or a late delivery
// does.
func (s *simulation) oldOrder(t *rapid.T) {
	if s.lastFence == 0 {
		t.Skip("no order yet")
	}
	s.step(newOrderUpdate(rapid.Uint64Range(1, s.lastFence).Draw(t, "old")/2, "stale"))
}

// confirmConfig delivers the configuration confirmed by a quorum.
func (s *simulation) confirmConfig() {
	if s.configConfirmed {
		return
	}
	s.configConfirmed = true
	s.step(newOrderUpdate(s.lastFence, s.model))
	s.step(ConfigConfirmed{})
}

func (s *simulation) tick(t *rapid.T) {
	s.now += clock.Millis(rapid.IntRange(1, 500).Draw(t, "passed"))
	if s.closed && s.running == 0 {
		s.step(Drained{})
	}
	s.step(Tick{})
}

func (s *simulation) changeRunning(*rapid.T) {
	if !s.closed {
		s.running++
		return
	}
	s.running = max(s.running-1, 0)
}

// restartEngine makes the engine lose its state.
func (s *simulation) restartEngine(*rapid.T) {
	s.engine.state = engine.State{}
	s.engine.highestFence = 0
}

func (s *simulation) settle() {
	s.confirmConfig()
	s.running = 0
	for range 200 {
		s.now += 600
		s.engine.state.Loading = false
		if len(s.pending) > 0 {
			a := s.pending[0]
			s.pending = nil
			if a.Verb == Read {
				s.step(ReadResult{State: s.engine.state})
			} else {
				refused := s.engine.apply(a.Order)
				s.step(SendResult{Fence: a.Order.Fence, Refused: refused, Current: s.engine.state.Fence})
			}
		}
		if s.closed {
			s.step(Drained{})
		}
		s.step(Tick{})
	}
	require.False(s.t, s.closed, "endpoint still closed")
	if s.lastFence > 0 {
		require.Equal(s.t, s.model, s.engine.state.Model)
		require.Equal(s.t, s.lastFence, s.engine.state.Fence)
	}
}

// newIdleMachine creates a Machine that has read an engine without orders.
func newIdleMachine(t *testing.T) *Machine {
	t.Helper()
	m := New(Config{PollInterval: 100, RecheckInterval: 1_000})
	require.Equal(t, []Action{{Verb: Read}}, m.Step(0, Tick{}))
	require.Equal(t, []Action{{Verb: Open}}, m.Step(0, ReadResult{}))
	require.Empty(t, m.Step(0, ConfigConfirmed{}))
	return m
}

// The answer to an order is lost. The engine may or may not have executed the order,
// so its state is read before the next send. It has not executed the order, so the
// order is sent again with the same fence.
func TestLostAnswerReadsEngineBeforeResend(t *testing.T) {
	m := newIdleMachine(t)
	require.Equal(t, []Action{{Verb: Close}}, m.Step(1, newOrderUpdate(5, "a")))
	require.Equal(t, Send, m.Step(2, Drained{})[0].Verb)
	require.Empty(t, m.Step(3, SendResult{Fence: 5, Failed: true}))
	require.Empty(t, m.Step(50, Tick{}))
	require.Equal(t, []Action{{Verb: Read}}, m.Step(103, Tick{}))
	require.Empty(t, m.Step(104, ReadResult{}))
	require.Equal(t, uint64(5), m.Step(105, Drained{})[0].Order.Fence)
}

// Another sidecar's order with a higher fence reached the engine first, so the engine
// refuses this order. The machine records the engine's fence and waits for the newer
// order from the configuration.
func TestRefusedOrderIsNotRepeated(t *testing.T) {
	m := newIdleMachine(t)
	m.Step(1, newOrderUpdate(5, "a"))
	m.Step(2, Drained{})
	require.Equal(t, []Action{{Verb: Read}}, m.Step(3, SendResult{Fence: 5, Refused: true, Current: 9}))
	require.Equal(t, []Action{{Verb: Open}}, m.Step(4, ReadResult{State: engine.State{Fence: 9, Model: "z"}}))
	require.Equal(t, uint64(9), m.Fence())
	require.Empty(t, m.Step(5, newOrderUpdate(8, "b")))
}

func TestOrderWaitsForNotBefore(t *testing.T) {
	m := newIdleMachine(t)
	o := newOrderUpdate(5, "a")
	o.Desired.NotBefore = 500
	require.Empty(t, m.Step(1, o))
	require.Empty(t, m.Step(499, Tick{}))
	require.Equal(t, []Action{{Verb: Close}}, m.Step(500, Tick{}))
}

// A change of role loads no weights, so running work continues.
func TestRoleChangeNeedsNoDrain(t *testing.T) {
	m := newIdleMachine(t)
	o := Update{Desired: Desired{Order: engine.Order{Fence: 5, Kind: KindRole, Role: "prefill"}}}
	require.Equal(t, Send, m.Step(1, o)[0].Verb)
}

// An engine that reports no fences has executed an order if its state is the desired
// one. Without this rule it would load the same weights again and again.
func TestEngineWithoutFences(t *testing.T) {
	m := newIdleMachine(t)
	m.Step(1, newOrderUpdate(5, "a"))
	m.Step(2, Drained{})
	m.Step(3, SendResult{Fence: 5})
	require.Equal(t, []Action{{Verb: Open}}, m.Step(4, ReadResult{State: engine.State{Model: "a"}}))
}

// A process died with an order in flight. The engine was frozen, ignores fences and
// executes that order after a newer order of the next process. The next recheck finds
// the old state, and the newer order is sent again.
func TestRecheckRepairsLateOrderOfDeadProcess(t *testing.T) {
	m := newIdleMachine(t)
	m.Step(1, newOrderUpdate(6, "new"))
	m.Step(2, Drained{})
	m.Step(3, SendResult{Fence: 6})
	m.Step(4, ReadResult{State: engine.State{Fence: 6, Model: "new"}})
	require.Equal(t, []Action{{Verb: Read}}, m.Step(1_100, Tick{}))
	require.Equal(t, []Action{{Verb: Close}}, m.Step(1_101, ReadResult{State: engine.State{Fence: 5, Model: "old"}}))
	require.Equal(t, uint64(6), m.Step(1_102, Drained{})[0].Order.Fence)
}

// The machine learned a higher fence from the engine, then the engine restarts without
// a fence. The machine's own order is older, so it is not sent: the newer order will
// arrive with the configuration.
func TestNoOrderBelowKnownFence(t *testing.T) {
	scenarios := []struct {
		name  string
		learn func(*Machine)
	}{
		{"from a read", func(m *Machine) {
			m.Step(1_100, Tick{})
			m.Step(1_101, ReadResult{State: engine.State{Fence: 9, Model: "z"}})
		}},
		{"from a refusal", func(m *Machine) {
			m.Step(1, newOrderUpdate(4, "a"))
			m.Step(2, Drained{})
			m.Step(3, SendResult{Fence: 4, Refused: true, Current: 9})
			m.Step(4, ReadResult{})
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			m := newIdleMachine(t)
			s.learn(m)
			require.Empty(t, m.Step(1_200, newOrderUpdate(5, "a")), "order below the known fence")
			m.Step(2_200, Tick{})
			require.Empty(t, m.Step(2_201, ReadResult{}), "order below the known fence")
			require.Equal(t, []Action{{Verb: Close}}, m.Step(2_202, newOrderUpdate(10, "b")))
		})
	}
}
