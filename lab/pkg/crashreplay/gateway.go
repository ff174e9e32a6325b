package crashreplay

import (
	"fmt"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/crashes"
	"toucanhinge.example/common/pkg/partcrashes"
	"toucanhinge.example/common/pkg/prompt"
)

// gateway decides with machines of its own and exchanges messages with the others.
type gateway struct {
	fleet    *Fleet
	requests *crashes.Machine
	parts    *partcrashes.Machine
	// startedAt is when it started, 0 for before the replay.
	startedAt clock.Millis
}

func newGateway(f *Fleet, n, runners int) *gateway {
	name := fmt.Sprint("gateway ", n)
	g := &gateway{fleet: f, requests: crashes.New(crashes.Config{Name: name}), parts: partcrashes.New(partcrashes.Config{Name: name})}
	g.requests.SetRunnerCount(runners)
	return g
}

// check decides whether a request may run; byPart is set if its parts decide.
func (g *gateway) check(q *request) (verdict crashes.Verdict, byPart bool) {
	f := g.fleet
	verdict, q.requestTrial = g.requests.Evaluate(f.now, q.fingerprint, q.requestTrial)
	g.broadcastQuarantines()
	if verdict.Status != crashes.Allowed {
		return verdict, false
	}
	verdict, trials := g.parts.Evaluate(f.now, partcrashes.Candidate{Request: q.fingerprint, Parts: q.parts, Trial: q.trial, Owed: q.item})
	g.broadcastQuarantines()
	for _, t := range trials {
		q.trial = t.ID
		g.broadcast(func(o *gateway) { o.parts.ApplyTrial(t) })
	}
	return verdict, true
}

func (g *gateway) broadcastQuarantines() {
	for _, q := range g.requests.PopNewQuarantines() {
		g.broadcast(func(o *gateway) { o.requests.ApplyQuarantine(g.fleet.now, q) })
	}
	for _, q := range g.parts.PopNewQuarantines() {
		if g.fleet.isHarmless(q.Part) {
			g.fleet.QuarantinedParts[q.Part] = true
		}
		g.broadcast(func(o *gateway) { o.parts.ApplyQuarantine(g.fleet.now, q) })
	}
}

// returnTrial lets another request be a trial if this one was to be and reached no runner.
func (g *gateway) returnTrial(q *request) {
	if id := q.requestTrial; id != 0 {
		q.requestTrial = 0
		g.requests.ReturnTrial(q.fingerprint, id)
		g.broadcast(func(o *gateway) { o.requests.ReturnTrial(q.fingerprint, id) })
	}
	if q.trial == 0 {
		return
	}
	id, parts := q.trial, q.parts
	q.trial = 0
	for _, part := range parts {
		g.parts.ReturnTrial(part, id)
		g.broadcast(func(o *gateway) { o.parts.ReturnTrial(part, id) })
	}
}

// isHarmless reports whether a part crashes no runner and isn't the companion of one that does.
func (f *Fleet) isHarmless(part prompt.PartID) bool {
	for n := range f.config.Parts.Crashing {
		if part == CrashingPart(n) || f.config.Parts.Paired && part == CrashingPart(n)+" companion" {
			return false
		}
	}
	return true
}

// recordSuccess records that a request was answered completely.
func (g *gateway) recordSuccess(q *request) {
	if !g.requests.IsSuspect(q.fingerprint) {
		return
	}
	now := g.fleet.now
	clearance := crashes.Clearance{Fingerprint: q.fingerprint, At: now}
	g.requests.Clear(now, clearance)
	g.broadcast(func(o *gateway) { o.requests.Clear(g.fleet.now, clearance) })
}

func (g *gateway) recordBegin(parts []prompt.PartID, at clock.Millis) {
	g.broadcastAnswers(g.parts.RecordBegin(parts, at))
}

func (g *gateway) recordAnswer(parts []prompt.PartID, at clock.Millis) {
	g.broadcastAnswers(g.parts.RecordAnswer(parts, at))
}

// broadcastAnswers sends answers in one datagram.
func (g *gateway) broadcastAnswers(list []partcrashes.Answer) {
	if len(list) == 0 {
		return
	}
	g.broadcast(func(o *gateway) {
		for _, a := range list {
			o.parts.ApplyAnswer(a)
		}
	})
}

// reportCrash reports a run that ended with a crash. streamed is the time since its first event, negative for none.
func (g *gateway) reportCrash(x *run, crash crashes.Crash, streamed clock.Millis) {
	f, q := g.fleet, x.request
	report := crashes.Report{Crash: crash, Fingerprint: q.fingerprint, Phase: crashes.Answering, Ran: f.now - x.sent, At: f.now, Trial: x.requestTrial}
	if streamed < 0 {
		report.Phase = crashes.BeforeFirstEvent
	}
	g.requests.AddReport(f.now, report)
	g.broadcast(func(o *gateway) { o.requests.AddReport(f.now, report) })
	if len(q.parts) > 0 {
		g.reportParts(partcrashes.Report{Crash: crash, Request: q.fingerprint, Parts: q.parts, Unanswered: streamed < 0, At: f.now, Ran: f.now - x.sent, Trial: x.trial, Own: true})
	}
	g.broadcastQuarantines()
}

// reportParts reports the parts of a run that ended with a crash, with the newest known answers to requests with them.
func (g *gateway) reportParts(report partcrashes.Report) {
	known := g.parts.KnownAnswers(report)
	g.parts.AddReport(g.fleet.now, report)
	report.Own = false
	g.broadcast(func(o *gateway) { o.receiveParts(report, known) })
}

// receiveParts applies a report of another gateway with the answers that it knew, and announces others.
func (g *gateway) receiveParts(report partcrashes.Report, known []partcrashes.Answer) {
	unknown := g.parts.UnknownAnswers(report, known)
	g.fleet.after(3, func() { g.broadcastAnswers(unknown) })
	for _, a := range known {
		g.parts.ApplyAnswer(a)
	}
	g.parts.AddReport(g.fleet.now, report)
}

// broadcast delivers a message to each other gateway after 4 to 24 ms, and 40 ms later for each time that it is lost.
func (g *gateway) broadcast(apply func(*gateway)) {
	const resendInterval, resends = 40, 2
	f := g.fleet
	for _, other := range f.gateways {
		if other == g {
			continue
		}
		delay := 4 + f.draw(20)
		for attempt := 0; f.random.Float64() < f.config.Loss; attempt++ {
			if attempt == resends {
				delay = -1
				break
			}
			delay += resendInterval
		}
		if delay > 0 {
			f.after(delay, func() {
				apply(other)
				// The quarantine is announced by the gateway that imposed it first.
				other.requests.PopNewQuarantines()
			})
		}
	}
}
