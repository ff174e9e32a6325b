package crashreplay

import (
	"fmt"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/crashes"
)

const (
	slots                     = 8
	restartTime  clock.Millis = 3_200
	firstEventAt clock.Millis = 55
)

type simRunner struct {
	index     int
	startedAt int64
	up        bool
	running   []*run
	waiting   []*run
}

// run is one run of a request on a runner.
type run struct {
	request *request
	gateway *gateway
	runner  *simRunner
	sent    clock.Millis
	// trial identifies the trial of a suspected part that the run is, 0 if it is none.
	trial uint64
	// requestTrial identifies the trial at the end of the request's quarantine that the run is, 0 for none.
	requestTrial uint64
	startedAt    clock.Millis
	// firstEvent is when the first event arrived, 0 before. begun is set once the runner hasn't crashed shortly after.
	firstEvent clock.Millis
	begun      bool
	ended      bool
}

func (r *simRunner) load() int { return len(r.running) + len(r.waiting) }

// leastLoaded returns the runner with the lowest load, nil if all are down or full.
func (f *Fleet) leastLoaded() *simRunner {
	var least *simRunner
	for _, n := range f.random.Perm(len(f.runners)) {
		r := f.runners[n]
		if r.up && (least == nil || r.load() < least.load()) {
			least = r
		}
	}
	if least == nil || least.load() >= 2*slots {
		return nil
	}
	return least
}

func (f *Fleet) startNext(r *simRunner) {
	for len(r.running) < slots && len(r.waiting) > 0 {
		x := r.waiting[0]
		r.waiting = r.waiting[1:]
		r.running = append(r.running, x)
		f.begin(x)
	}
}

// begin schedules the events of a run that has got a slot.
func (f *Fleet) begin(x *run) {
	x.startedAt = f.now + 25 + f.draw(30)
	delay := x.startedAt - f.now
	if x.request.crashing {
		if times := f.config.CrashAfter; len(times) > 0 {
			f.after(delay+firstEventAt, x.whileRunning(func() { x.firstEvent = f.now }))
			f.after(delay+firstEventAt+crashes.ConfirmedAnswer, x.whileRunning(func() { x.confirm() }))
			f.after(delay+firstEventAt+times[f.random.IntN(len(times))], x.whileRunning(func() { f.crashBy(x) }))
			return
		}
		f.after(delay+30+f.draw(75), x.whileRunning(func() { f.crashBy(x) }))
		return
	}
	f.after(delay+firstEventAt, x.whileRunning(func() { f.receiveFirstEvent(x) }))
	f.after(delay+firstEventAt+crashes.ConfirmedAnswer, x.whileRunning(func() { x.confirm() }))
	f.after(delay+max(x.request.remaining, firstEventAt), x.whileRunning(func() { f.finish(x) }))
}

// whileRunning returns a function that calls do unless the run has ended.
func (x *run) whileRunning(do func()) func() {
	return func() {
		if !x.ended {
			do()
		}
	}
}

func (f *Fleet) receiveFirstEvent(x *run) {
	x.firstEvent = f.now
	if q := x.request; !q.began && q.attempts == 0 {
		f.Attempts[q.first].Began = true
	}
	x.request.began = true
}

func (x *run) confirm() {
	x.begun = true
	x.gateway.recordBegin(x.request.parts, x.firstEvent)
}

func (f *Fleet) finish(x *run) {
	x.ended = true
	r := x.runner
	r.running = slices.DeleteFunc(r.running, func(o *run) bool { return o == x })
	f.Served++
	x.gateway.recordSuccess(x.request)
	if !x.begun {
		x.confirm()
	}
	x.gateway.recordAnswer(x.request.parts, x.firstEvent)
	f.startNext(r)
}

func (f *Fleet) crashBy(x *run) {
	if part := x.request.crashingPart; part != "" {
		f.PartCrashes[part] = append(f.PartCrashes[part], f.now)
	}
	f.crash(x.runner)
}

func (f *Fleet) crash(r *simRunner) {
	if !r.up {
		return
	}
	r.up = false
	runs := slices.Concat(r.running, r.waiting)
	r.running, r.waiting = nil, nil
	crash := crashes.Crash{Runner: fmt.Sprint(r.index), StartedAt: r.startedAt}
	for _, x := range runs {
		x.ended = true
		f.countCrash(x.request)
		f.after(1+f.draw(4), func() { f.reportCrash(x, crash) })
	}
	f.after(restartTime, func() { r.up, r.startedAt = true, int64(f.now) })
}

func (f *Fleet) countCrash(q *request) {
	f.Crashed[q.fingerprint]++
	if f.Crashed[q.fingerprint] == 3 {
		f.thirdAt[q.fingerprint] = f.now
	}
}

// reportCrash handles a run on its gateway after a crash of the runner.
func (f *Fleet) reportCrash(x *run, crash crashes.Crash) {
	q := x.request
	streamed := clock.Millis(-1)
	if x.firstEvent > 0 {
		streamed = f.now - x.firstEvent
	}
	x.gateway.reportCrash(x, crash, streamed)
	q.remaining -= max(streamed, 0)
	if q.runs < maxRuns {
		q.checkedAt = f.now
		f.place(q, x.gateway)
		return
	}
	f.retry(q, retryDelay)
}
