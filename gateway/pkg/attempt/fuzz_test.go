package attempt

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
)

// world is the oracle: it knows what every endpoint really did, and what the
// caller really got. It is as simple as the promises are.
type world struct {
	t       *rapid.T
	config  Config
	machine *Machine
	now     clock.Millis
	// answer is the number of pieces of the whole answer; piece i is the string "i".
	answer int

	// got is what the caller holds, held what is kept back.
	got, held []string
	finished  bool
	failed    *Action
	// runs counts endpoints that ran the request, spent the retries allowed.
	runs, sends, spent int

	// The running attempt: its endpoint ran it or not, and its frame n is piece offset+n-1.
	choosing bool
	running  bool
	attempt  uint32
	ran      bool
	seen     bool
	offset   int
	next     uint64
	end      uint64
	// wasRun is true once the present endpoint's run was counted.
	wasRun bool
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: 1_000, answer: rapid.IntRange(1, 6).Draw(t, "answer")}
	held := rapid.IntRange(0, 2).Draw(t, "held") == 0
	idempotent := rapid.Bool().Draw(t, "idempotent")
	w.config = Config{
		Request: "r", Deadline: 1_000 + clock.Millis(rapid.IntRange(1, 500).Draw(t, "budget")),
		Idempotent: idempotent, Buffered: held,
		Resumable: !held && idempotent && rapid.IntRange(0, 3).Draw(t, "resumable") > 0,
		MaxAttempts:  uint32(rapid.IntRange(1, 5).Draw(t, "attempts")),
		Spend: func(Cause) bool {
			ok := rapid.IntRange(0, 5).Draw(t, "spend") > 0
			if ok {
				w.spent++
			}
			return ok
		},
	}
	w.machine = New(w.config)
	w.step(Event{Kind: EventStart})
	return w
}

func (w *world) step(event Event) {
	over := w.finished || w.failed != nil
	for _, a := range w.machine.Step(w.now, event, nil) {
		if over && a.Kind != ActionDropped {
			w.t.Fatalf("action %v after the end", a)
		}
		w.take(a)
	}
	w.check()
}

func (w *world) take(a Action) {
	switch a.Kind {
	case ActionChoose:
		w.choosing, w.running = true, false
	case ActionSend:
		w.sent(a)
	case ActionData:
		if w.config.Buffered {
			w.held = append(w.held, string(a.Data))
		} else {
			w.got = append(w.got, string(a.Data))
		}
	case ActionReset:
		w.held = nil
	case ActionFinish:
		w.finished, w.running = true, false
		w.got = append(w.got, w.held...)
	case ActionFail:
		w.failed, w.running = &a, false
	case ActionCancel:
		w.running = false
	case ActionHead, ActionRetried, ActionDropped:
	}
}

func (w *world) sent(a Action) {
	w.sends++
	if w.now >= w.config.Deadline {
		w.t.Fatalf("sent after the deadline")
	}
	w.choosing, w.running, w.attempt, w.seen = false, true, a.Attempt, false
	switch {
	case a.ResumeAfter > 0:
		w.next = a.ResumeAfter + 1
	case a.WithText:
		w.ran, w.wasRun, w.offset, w.next = false, false, len(w.got), 1
		w.end = uint64(w.answer - len(w.got))
	default:
		if len(w.got) > 0 {
			w.t.Fatalf("began anew after the caller had %v", w.got)
		}
		w.ran, w.wasRun, w.offset, w.next, w.end = false, false, 0, 1, uint64(w.answer)
	}
}

// runNow notes that the present endpoint runs the request.
func (w *world) runNow() {
	w.ran = true
	if !w.wasRun {
		w.wasRun = true
		w.runs++
	}
}

func (w *world) check() {
	whole := make([]string, 0, w.answer)
	for i := range w.answer {
		whole = append(whole, fmt.Sprint(i))
	}
	if len(w.got) > w.answer || !slices.Equal(w.got, whole[:len(w.got)]) {
		w.t.Fatalf("the caller has %v of %v", w.got, whole)
	}
	if w.finished && len(w.got) != w.answer {
		w.t.Fatalf("finished with %v of %v", w.got, whole)
	}
	if !w.config.Idempotent && w.runs > 1 {
		w.t.Fatalf("a non-idempotent request was run %d times", w.runs)
	}
	if w.failed != nil && w.failed.Ran == RanNo && w.runs > 0 {
		w.t.Fatalf("said not run, and %d endpoints ran it", w.runs)
	}
	if w.sends > int(w.config.MaxAttempts) || (w.sends > 0 && w.sends-1 > w.spent) {
		w.t.Fatalf("%d attempts with %d retries allowed", w.sends, w.spent)
	}
	if w.finished && w.failed != nil {
		w.t.Fatalf("ended twice")
	}
}

func (w *world) frame(n uint64) Frame {
	return Frame{Request: "r", Attempt: w.attempt, Sequence: n, Part: PartData, Data: fmt.Append(nil, w.offset+int(n)-1)}
}

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"choose": func(t *rapid.T) {
			if !w.choosing {
				t.Skip()
			}
			w.choosing = false
			w.step(Event{Kind: EventChosen, Endpoint: fmt.Sprint("e", w.sends)})
		},
		"none": func(t *rapid.T) {
			if !w.choosing {
				t.Skip()
			}
			w.choosing = false
			w.step(Event{Kind: EventNoEndpoint, Reason: "no-endpoint"})
		},
		"data": func(t *rapid.T) {
			if !w.running || w.next > w.end {
				t.Skip()
			}
			w.runNow()
			w.seen = true
			w.next++
			w.step(Event{Kind: EventFrame, Frame: w.frame(w.next - 1)})
		},
		"any-data": func(t *rapid.T) {
			if !w.running || w.end == 0 {
				t.Skip()
			}
			w.runNow()
			w.seen = true
			w.step(Event{Kind: EventFrame, Frame: w.frame(uint64(rapid.IntRange(1, int(w.end)).Draw(t, "n")))})
		},
		"foreign": func(t *rapid.T) {
			f := Frame{Request: "r", Attempt: w.attempt + uint32(rapid.IntRange(1, 3).Draw(t, "other")), Sequence: 1, Part: PartData, Data: []byte("x")}
			if rapid.Bool().Draw(t, "request") {
				f.Request, f.Attempt = "other", w.attempt
			}
			w.step(Event{Kind: EventFrame, Frame: f})
		},
		"end": func(t *rapid.T) {
			if !w.running {
				t.Skip()
			}
			w.runNow()
			f := Frame{Request: "r", Attempt: w.attempt, Part: PartEnd, FrameCount: w.end, Ran: RanYes}
			if rapid.IntRange(0, 3).Draw(t, "error") == 0 {
				f.Reason = "engine-lost"
			}
			w.step(Event{Kind: EventFrame, Frame: f})
		},
		"refusal": func(t *rapid.T) {
			if !w.running {
				t.Skip()
			}
			f := Frame{Request: "r", Attempt: w.attempt, Part: PartRefusal, Reason: "queue-full"}
			switch {
			case !w.ran && rapid.Bool().Draw(t, "no"):
				f.Ran = RanNo
			case rapid.Bool().Draw(t, "yes"):
				w.runNow()
				f.Ran = RanYes
			case w.seen && rapid.Bool().Draw(t, "false"):
				f.Ran = RanNo
			default:
				w.runNow()
			}
			w.step(Event{Kind: EventFrame, Frame: f})
		},
		"broken": func(t *rapid.T) {
			if !w.running {
				t.Skip()
			}
			e := Event{Kind: EventBroken, Attempt: w.attempt, Reason: "stream-cut", Unreachable: rapid.Bool().Draw(t, "dead")}
			if w.seen || rapid.Bool().Draw(t, "reached") {
				w.runNow()
				e.Reached = true
			}
			w.step(e)
		},
		"late-broken": func(*rapid.T) {
			w.step(Event{Kind: EventBroken, Attempt: w.attempt - 1, Reason: "stream-cut", Reached: true})
		},
		"text-lost": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "rarely") > 0 {
				t.Skip()
			}
			w.step(Event{Kind: EventTextLost})
		},
		"passed": func(t *rapid.T) {
			if !w.config.Buffered || !w.running || len(w.held) == 0 {
				t.Skip()
			}
			w.got, w.held = append(w.got, w.held...), nil
			w.step(Event{Kind: EventPartSent})
			w.config.Buffered = false
		},
		"time": func(t *rapid.T) { w.now += clock.Millis(rapid.IntRange(1, 100).Draw(t, "span")) },
		"expired": func(t *rapid.T) {
			if w.now < w.config.Deadline {
				t.Skip()
			}
			if w.running {
				w.runNow()
			}
			w.step(Event{Kind: EventExpired})
		},
		"gone": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "rarely") > 0 {
				t.Skip()
			}
			w.step(Event{Kind: EventCallerGone})
			w.running, w.choosing = false, false
		},
	}
}

// Endpoints refuse, break, repeat, reorder, lie after the fact and fall silent,
// in any order. Whatever they do, the caller holds a beginning of its own answer
// and never another text; "finished" means all of it; "not run" means that no
// endpoint ran it; a non-idempotent request runs once at most; and retries stay
// within attempts, budget and deadline.
func TestRapidAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newWorldActions := newWorld(t).actions()
		t.Repeat(newWorldActions)
	})
}

// Refusals may not use up what is kept for failures, and over any stretch of
// requests the retries stay under the ratio and what was saved up.
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
				t.Fatalf("%d retries for %d requests", refused+failed, requests)
			}
			if float64(2*refused) > config.RefusedBurst+0.1*float64(requests)+1e-6 {
				t.Fatalf("%d retries after refusals for %d requests", refused, requests)
			}
		}
	})
}
