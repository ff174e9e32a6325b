package crashreplay

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/crashes"
	"toucanhinge.example/common/pkg/prompt"
)

const (
	runTime     clock.Millis = 900
	retryDelay  clock.Millis = 70
	maxRuns                  = 2
	noticeLimit clock.Millis = 3_000
	// maxSuspectedWait is how long a gateway delays a request with a suspected part, suspectedRetryAfter the time after
	// which its caller retries.
	maxSuspectedWait    clock.Millis = 1_500
	suspectedRetryAfter clock.Millis = 1_000
	// minItemRest and maxItemRest limit the time until an item that wasn't sent is considered again.
	minItemRest clock.Millis = 300
	maxItemRest clock.Millis = 5_000
	// maxClaimWait is how long an item that has announced a trial waits until it may run.
	maxClaimWait clock.Millis = 400
)

// request is a request of a caller, with all its attempts.
type request struct {
	fingerprint crashes.Fingerprint
	parts       []prompt.PartID
	// crashing is set if the request crashes its runners, crashingPart is the part that is the cause, if any.
	crashing     bool
	crashingPart prompt.PartID
	// item is set if it is a batch item, which is sent until it is answered.
	item bool
	// remaining is the remaining run time, attempts the number of retries by the caller.
	remaining clock.Millis
	attempts  int
	runs      int
	// checkedAt is when the gateway began to check the request, trial identifies the trial of a suspected part that it is, 0 for none.
	checkedAt clock.Millis
	trial     uint64
	// requestTrial identifies the trial at the end of its quarantine that it is, 0 for none.
	requestTrial uint64
	// first is the index of its first attempt among the results, began is set once an event arrived.
	first int
	began bool
}

// arrive sends an attempt of a caller to a random gateway.
func (f *Fleet) arrive(q *request) {
	q.runs, q.checkedAt, q.trial, q.requestTrial = 0, f.now, 0, 0
	if !q.crashing && q.attempts == 0 {
		q.first = len(f.Attempts)
		f.Attempts = append(f.Attempts, Attempt{At: f.now})
	}
	if q.item {
		f.place(q, f.gateways[0])
		return
	}
	f.place(q, f.gateways[f.random.IntN(len(f.gateways))])
}

func (f *Fleet) retry(q *request, delay clock.Millis) {
	if q.item {
		f.after(max(delay, minItemRest), func() { f.arrive(q) })
		return
	}
	if q.attempts >= f.config.Retries && (!q.crashing || q.crashingPart != "") {
		return
	}
	if q.crashing && f.config.RetryDelay > 0 {
		delay = f.config.RetryDelay
	}
	q.attempts++
	f.after(delay, func() { f.arrive(q) })
}

// place sends a request to the runner with the lowest load.
func (f *Fleet) place(q *request, g *gateway) {
	verdict, byPart := g.check(q)
	switch verdict.Status {
	case crashes.Delayed:
		if q.item && (q.trial == 0 || f.now-q.checkedAt > maxClaimWait) {
			g.returnTrial(q)
			f.retry(q, verdict.Until-f.now)
			return
		}
		if byPart && f.now-q.checkedAt >= maxSuspectedWait {
			f.Refused++
			g.returnTrial(q)
			f.retry(q, suspectedRetryAfter)
			return
		}
		f.after(max(verdict.Until-f.now, 1), func() { f.place(q, g) })
		return
	case crashes.Quarantined:
		if f.Harmless[q.fingerprint] {
			f.Quarantined[q.fingerprint] = true
		}
		f.Refused++
		g.returnTrial(q)
		if q.item {
			f.retry(q, min(verdict.Until-f.now, maxItemRest))
			return
		}
		f.retry(q, retryDelay)
		return
	}
	r := f.leastLoaded()
	if r == nil {
		g.returnTrial(q)
		f.retry(q, retryDelay)
		return
	}
	q.runs++
	f.countRun(q, g)
	r.waiting = append(r.waiting, &run{request: q, gateway: g, runner: r, sent: f.now, trial: q.trial, requestTrial: q.requestTrial})
	q.trial, q.requestTrial = 0, 0
	f.startNext(r)
}

func (f *Fleet) countRun(q *request, g *gateway) {
	f.Runs[q.fingerprint]++
	if !g.isInTouch() {
		return
	}
	if thirdAt := f.thirdAt[q.fingerprint]; thirdAt > 0 && f.now > thirdAt+noticeLimit {
		f.LateRuns[q.fingerprint]++
	}
	if q.crashingPart != "" {
		f.PartSent[q.crashingPart] = append(f.PartSent[q.crashingPart], f.now)
	}
}
