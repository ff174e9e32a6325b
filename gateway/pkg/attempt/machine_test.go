package attempt

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
)

// model is the oracle: it tracks what every endpoint did and what the caller received.
type model struct {
	t       *rapid.T
	config  Config
	machine *Machine
	now     clock.Millis
	// answer is the number of chunks of the complete answer; chunk i is the string "i".
	answer int

	// received lists the chunks that the caller has; buffered lists the chunks that the runtime has not
	// sent to the caller yet.
	received, buffered []string
	finished           bool
	failure            *Action
	// runs counts the endpoints that ran the request, sends the attempts and retries the allowed retries.
	runs, sends, retries int

	// The fields below describe the running attempt. Its frame n is chunk offset+n-1, and ran is
	// true if its endpoint ran it.
	choosing      bool
	running       bool
	attempt       uint32
	ran           bool
	answerStarted bool
	offset        int
	next          uint64
	end           uint64
	// runCounted is true once the run at the current endpoint is in runs.
	runCounted bool
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: 1_000, answer: rapid.IntRange(1, 6).Draw(t, "answer")}
	buffered := rapid.IntRange(0, 2).Draw(t, "buffered") == 0
	idempotent := rapid.Bool().Draw(t, "idempotent")
	m.config = Config{
		Request: "r", Deadline: 1_000 + clock.Millis(rapid.IntRange(1, 500).Draw(t, "budget")),
		Idempotent: idempotent, Buffered: buffered,
		Resumable:   !buffered && idempotent && rapid.IntRange(0, 3).Draw(t, "resumable") > 0,
		MaxAttempts: uint32(rapid.IntRange(1, 5).Draw(t, "attempts")),
		Spend: func(Cause) bool {
			ok := rapid.IntRange(0, 5).Draw(t, "spend") > 0
			if ok {
				m.retries++
			}
			return ok
		},
	}
	m.machine = New(m.config)
	m.step(Event{Kind: EventStart})
	return m
}

func (m *model) step(event Event) {
	ended := m.finished || m.failure != nil
	for _, a := range m.machine.Step(m.now, event, nil) {
		if ended && a.Kind != ActionDropped {
			m.t.Fatalf("action %v after the request ended", a)
		}
		m.apply(a)
	}
	m.check()
}

func (m *model) apply(a Action) {
	switch a.Kind {
	case ActionChoose:
		m.choosing, m.running = true, false
	case ActionSend:
		m.applySend(a)
	case ActionData:
		if m.config.Buffered {
			m.buffered = append(m.buffered, string(a.Data))
		} else {
			m.received = append(m.received, string(a.Data))
		}
	case ActionReset:
		m.buffered = nil
	case ActionFinish:
		m.finished, m.running = true, false
		m.received = append(m.received, m.buffered...)
	case ActionFail:
		m.failure, m.running = &a, false
	case ActionCancel:
		m.running = false
	case ActionHead, ActionRetried, ActionDropped:
	}
}

func (m *model) applySend(a Action) {
	m.sends++
	if m.now >= m.config.Deadline {
		m.t.Fatalf("attempt sent after the deadline")
	}
	m.choosing, m.running, m.attempt, m.answerStarted = false, true, a.Attempt, false
	switch {
	case a.ResumeAfter > 0:
		m.next = a.ResumeAfter + 1
	case a.WithText:
		m.ran, m.runCounted, m.offset, m.next = false, false, len(m.received), 1
		m.end = uint64(m.answer - len(m.received))
	default:
		if len(m.received) > 0 {
			m.t.Fatalf("restarted the answer after %v was delivered", m.received)
		}
		m.ran, m.runCounted, m.offset, m.next, m.end = false, false, 0, 1, uint64(m.answer)
	}
}

// recordRun records that the current endpoint runs the request.
func (m *model) recordRun() {
	m.ran = true
	if !m.runCounted {
		m.runCounted = true
		m.runs++
	}
}

func (m *model) check() {
	complete := make([]string, 0, m.answer)
	for i := range m.answer {
		complete = append(complete, fmt.Sprint(i))
	}
	if len(m.received) > m.answer || !slices.Equal(m.received, complete[:len(m.received)]) {
		m.t.Fatalf("the caller received %v of %v", m.received, complete)
	}
	if m.finished && len(m.received) != m.answer {
		m.t.Fatalf("finished after %v of %v", m.received, complete)
	}
	if !m.config.Idempotent && m.runs > 1 {
		m.t.Fatalf("a non-idempotent request was run %d times", m.runs)
	}
	if m.failure != nil && m.failure.Ran == RanNo && m.runs > 0 {
		m.t.Fatalf("reported as not run, but %d endpoints ran it", m.runs)
	}
	if m.sends > int(m.config.MaxAttempts) || (m.sends > 0 && m.sends-1 > m.retries) {
		m.t.Fatalf("%d attempts, but %d retries were allowed", m.sends, m.retries)
	}
	if m.finished && m.failure != nil {
		m.t.Fatalf("the request ended twice")
	}
}

func (m *model) frame(n uint64) Frame {
	return Frame{Request: "r", Attempt: m.attempt, Sequence: n, Part: PartData, Data: fmt.Append(nil, m.offset+int(n)-1)}
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"choose": func(t *rapid.T) {
			if !m.choosing {
				t.Skip()
			}
			m.choosing = false
			m.step(Event{Kind: EventChosen, Endpoint: fmt.Sprint("e", m.sends)})
		},
		"none": func(t *rapid.T) {
			if !m.choosing {
				t.Skip()
			}
			m.choosing = false
			m.step(Event{Kind: EventNoEndpoint, Reason: "no-endpoint"})
		},
		"data": func(t *rapid.T) {
			if !m.running || m.next > m.end {
				t.Skip()
			}
			m.recordRun()
			m.answerStarted = true
			m.next++
			m.step(Event{Kind: EventFrame, Frame: m.frame(m.next - 1)})
		},
		"any-data": func(t *rapid.T) {
			if !m.running || m.end == 0 {
				t.Skip()
			}
			m.recordRun()
			m.answerStarted = true
			m.step(Event{Kind: EventFrame, Frame: m.frame(uint64(rapid.IntRange(1, int(m.end)).Draw(t, "n")))})
		},
		"foreign": func(t *rapid.T) {
			f := Frame{Request: "r", Attempt: m.attempt + uint32(rapid.IntRange(1, 3).Draw(t, "other")), Sequence: 1, Part: PartData, Data: []byte("x")}
			if rapid.Bool().Draw(t, "request") {
				f.Request, f.Attempt = "other", m.attempt
			}
			m.step(Event{Kind: EventFrame, Frame: f})
		},
		"end": func(t *rapid.T) {
			if !m.running {
				t.Skip()
			}
			m.recordRun()
			f := Frame{Request: "r", Attempt: m.attempt, Part: PartEnd, FrameCount: m.end, Ran: RanYes}
			if rapid.IntRange(0, 3).Draw(t, "error") == 0 {
				f.Reason = "engine-lost"
			}
			m.step(Event{Kind: EventFrame, Frame: f})
		},
		"refusal": func(t *rapid.T) {
			if !m.running {
				t.Skip()
			}
			f := Frame{Request: "r", Attempt: m.attempt, Part: PartRefusal, Reason: "queue-full"}
			switch {
			case !m.ran && rapid.Bool().Draw(t, "no"):
				f.Ran = RanNo
			case rapid.Bool().Draw(t, "yes"):
				m.recordRun()
				f.Ran = RanYes
			case m.answerStarted && rapid.Bool().Draw(t, "false"):
				f.Ran = RanNo
			default:
				m.recordRun()
			}
			m.step(Event{Kind: EventFrame, Frame: f})
		},
		"broken": func(t *rapid.T) {
			if !m.running {
				t.Skip()
			}
			e := Event{Kind: EventBroken, Attempt: m.attempt, Reason: "stream-cut", Unreachable: rapid.Bool().Draw(t, "dead")}
			if m.answerStarted || rapid.Bool().Draw(t, "reached") {
				m.recordRun()
				e.Reached = true
			}
			m.step(e)
		},
		"late-broken": func(*rapid.T) {
			m.step(Event{Kind: EventBroken, Attempt: m.attempt - 1, Reason: "stream-cut", Reached: true})
		},
		"text-lost": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "rarely") > 0 {
				t.Skip()
			}
			m.step(Event{Kind: EventTextLost})
		},
		"passed": func(t *rapid.T) {
			if !m.config.Buffered || !m.running || len(m.buffered) == 0 {
				t.Skip()
			}
			m.received, m.buffered = append(m.received, m.buffered...), nil
			m.step(Event{Kind: EventPartSent})
			m.config.Buffered = false
		},
		"time": func(t *rapid.T) { m.now += clock.Millis(rapid.IntRange(1, 100).Draw(t, "elapsed")) },
		"expired": func(t *rapid.T) {
			if m.now < m.config.Deadline {
				t.Skip()
			}
			if m.running {
				m.recordRun()
			}
			m.step(Event{Kind: EventExpired})
		},
		"gone": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "rarely") > 0 {
				t.Skip()
			}
			m.step(Event{Kind: EventCallerGone})
			m.running, m.choosing = false, false
		},
	}
}

// Endpoints refuse, break off, repeat and reorder frames, send false refusals and stop responding, in
// any order. The caller must always have a prefix of its own answer and no other text. A finished
// request must have the complete answer, and a request reported as not run must not have run. A
// non-idempotent request runs at most once, and retries stay within the attempt limit, the
// budget and the deadline.
func TestRapidAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		actions := newModel(t).actions()
		t.Repeat(actions)
	})
}

// Retries after refusals must not spend the part of the budget reserved for failures. Over any
// sequence of requests, retries stay below the ratio plus the burst.
func TestRapidBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := BudgetConfig{Ratio: 0.1, Burst: float64(rapid.IntRange(1, 20).Draw(t, "burst"))}
		config.RefusedBurst = float64(rapid.IntRange(0, int(config.Burst)).Draw(t, "refused"))
		b := NewBudget(config)
		requests, refused, failed := 0, 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				requests++
				b.Earn()
			case 2:
				if b.Spend(CauseRefused) {
					refused++
				}
			default:
				if b.Spend(CauseFailed) {
					failed++
				}
			}
			if float64(2*refused+failed) > config.Burst+0.1*float64(requests)+1e-6 {
				t.Fatalf("%d retries for %d requests exceed the budget", refused+failed, requests)
			}
			if float64(2*refused) > config.RefusedBurst+0.1*float64(requests)+1e-6 {
				t.Fatalf("%d retries after refusals for %d requests exceed their share", refused, requests)
			}
		}
	})
}
