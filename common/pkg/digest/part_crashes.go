package digest

import (
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/crashes"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/partcrashes"
	"toucanhinge.example/common/pkg/prompt"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// maxPartReports limits the reports with parts in one datagram to about 4 kB.
	maxPartReports = 32
	// maxHeardAnswers limits the parts whose announced answers are stored.
	maxHeardAnswers = 256
	// answerSpreadPerPeer and maxAnswerSpread are the period over which daemons spread the announcements of an answer
	// that a report lacks. With several hundred daemons, most hear another's announcement before their own.
	answerSpreadPerPeer = 250 * time.Microsecond
	maxAnswerSpread     = 60 * time.Millisecond
	// staleAnswer is the age beyond another daemon's announcement from which on an answer is news.
	staleAnswer clock.Millis = 1_000
	// minLoggedCrashes is the number of crashes under requests with one part from which on each is logged by each daemon. A
	// runner that crashes for another reason ends the runs of many parts.
	minLoggedCrashes = 2
)

// heardAnswer identifies the answers that another daemon announced for a part.
type heardAnswer struct {
	part  prompt.PartID
	whole bool
}

// partUpdate is the part of an update that concerns parts of prompts.
type partUpdate struct {
	reports []partReport
	answers []partcrashes.Answer
	trials  []partcrashes.Trial
	// returned are the trials that reached no runner.
	returned []partcrashes.Trial
}

// partReport is a report with the newest known answers to requests with its parts.
type partReport struct {
	partcrashes.Report
	answers []partcrashes.Answer
}

// withAnswers adds the newest known answers to a report. The caller holds the lock.
func (s *crashState) withAnswers(r partcrashes.Report) partReport {
	return partReport{Report: r, answers: s.parts.KnownAnswers(r)}
}

// sightedPart encodes a part of a report.
func (r partReport) sightedPart(part prompt.PartID, now clock.Millis) *toucanhingev1.SightedPart {
	sighted := &toucanhingev1.SightedPart{Part: string(part)}
	for _, a := range r.answers {
		age := ageOf(now, a.At)
		switch {
		case a.Part != part:
		case a.Whole:
			sighted.AnsweredAgeMs = &age
		default:
			sighted.BegunAgeMs = &age
		}
	}
	return sighted
}

func (u partUpdate) addTo(m *toucanhingev1.CrashNews, now clock.Millis) {
	for _, r := range u.reports {
		entry := &toucanhingev1.PartSighting{
			Runner: r.Crash.Runner, BornMs: r.Crash.StartedAt, Content: r.Request[:], Unanswered: r.Unanswered, AgeMs: ageOf(now, r.At),
			Trial: r.Trial, RanMs: uint32(r.Ran),
		}
		for _, part := range r.Parts {
			entry.Parts = append(entry.Parts, r.sightedPart(part, now))
		}
		m.PartSightings = append(m.PartSightings, entry)
	}
	for _, a := range u.answers {
		m.PartAnswers = append(m.PartAnswers, &toucanhingev1.PartAnswer{Part: string(a.Part), AgeMs: ageOf(now, a.At), Whole: a.Whole})
	}
	for _, t := range u.trials {
		m.PartTrials = append(m.PartTrials, &toucanhingev1.PartTrial{Part: string(t.Part), AgeMs: ageOf(now, t.At), Id: t.ID, Claim: t.Claim})
	}
	for _, t := range u.returned {
		m.ReturnedTrials = append(m.ReturnedTrials, &toucanhingev1.ReturnedTrial{Part: string(t.Part), Id: t.ID})
	}
}

// ReportPartCrash records the parts of the prompt of a run of this daemon that ended with a crash of its runner, and
// broadcasts them to all daemons.
func (x *Exchange) ReportPartCrash(report partcrashes.Report) {
	if len(report.Parts) == 0 {
		return
	}
	now := x.config.Clock.Now()
	report.Own = true
	x.crashState.mu.Lock()
	defer x.crashState.mu.Unlock()
	x.crashState.outbox.parts.reports = append(x.crashState.outbox.parts.reports, x.crashState.withAnswers(report))
	x.addPartReport(now, report, x.config.Source)
	x.broadcastNewQuarantines()
	x.crashState.wake()
}

// addPartReport applies a report and logs which parts have crashed several runners by now. The caller holds the lock.
func (x *Exchange) addPartReport(now clock.Millis, report partcrashes.Report, source string) {
	for _, part := range x.crashState.parts.AddReport(now, report) {
		count := x.crashState.parts.CrashCount(part)
		if count < minLoggedCrashes {
			continue
		}
		level.Info(x.config.Logger).Log(logs.KeyEvent, logs.EventPartCrashLearned, logs.KeyPart, part, logs.KeyFingerprint, report.Request,
			"runner", report.Crash.Runner, "from", source, "age-ms", now-report.At, "unanswered", report.Unanswered, "crashes", count)
	}
}

// CheckParts decides whether a request may run, given the parts of its prompt. request is its ID, as in logs. trial
// identifies the trial of its suspected parts that it is or becomes, 0 if it is none.
func (x *Exchange) CheckParts(request string, c partcrashes.Candidate) (verdict crashes.Verdict, trial uint64) {
	now := x.config.Clock.Now()
	x.crashState.mu.Lock()
	defer x.crashState.mu.Unlock()
	verdict, trials := x.crashState.parts.Evaluate(now, c)
	x.broadcastNewQuarantines()
	trial = c.Trial
	for _, t := range trials {
		trial = t.ID
		x.crashState.outbox.parts.trials = append(x.crashState.outbox.parts.trials, t)
		if t.Claim {
			x.crashState.wake()
			continue
		}
		level.Info(x.config.Logger).Log(logs.KeyEvent, logs.EventPartTried, logs.KeyPart, t.Part, logs.KeyRequest, request,
			"reason", t.Reason, "crashes", x.crashState.parts.CrashCount(t.Part), "late", x.crashState.parts.LateCount(now, t.Part))
		x.crashState.wake()
	}
	return verdict, trial
}

// ReturnPartTrial records that a request that became the trial of its suspected parts reached no runner.
func (x *Exchange) ReturnPartTrial(parts []prompt.PartID, id uint64) {
	x.crashState.mu.Lock()
	defer x.crashState.mu.Unlock()
	for _, part := range parts {
		x.crashState.parts.ReturnTrial(part, id)
		x.crashState.outbox.parts.returned = append(x.crashState.outbox.parts.returned, partcrashes.Trial{Part: part, ID: id})
	}
	x.crashState.wake()
}

// RecordBegin records that a runner began at a time to answer a request with these parts and hasn't crashed shortly after.
func (x *Exchange) RecordBegin(parts []prompt.PartID, at clock.Millis) {
	x.crashState.mu.Lock()
	defer x.crashState.mu.Unlock()
	x.announceAnswers(x.crashState.parts.RecordBegin(parts, at))
}

// RecordAnswer records that a request with these parts was answered completely, from a time on.
func (x *Exchange) RecordAnswer(parts []prompt.PartID, at clock.Millis) {
	x.crashState.mu.Lock()
	defer x.crashState.mu.Unlock()
	needed := x.crashState.parts.RecordAnswer(parts, at)
	if len(needed) > 0 {
		level.Info(x.config.Logger).Log(logs.KeyEvent, logs.EventPartCleared, logs.KeyParts, parts)
	}
	x.announceAnswers(needed)
}

// announceAnswers queues answers for broadcast. The caller holds the lock.
func (x *Exchange) announceAnswers(answers []partcrashes.Answer) {
	if len(answers) == 0 {
		return
	}
	x.crashState.outbox.parts.answers = append(x.crashState.outbox.parts.answers, answers...)
	x.crashState.wake()
}

// receiveParts applies what another daemon reports about parts of prompts. The caller holds the lock.
func (x *Exchange) receiveParts(now clock.Millis, source string, message *toucanhingev1.CrashNews) {
	for _, entry := range message.GetPartSightings() {
		if request, ok := parseFingerprint(entry.GetContent()); ok {
			x.receivePartReport(now, source, entry, request)
		}
	}
	for _, entry := range message.GetPartAnswers() {
		a := partcrashes.Answer{Part: prompt.PartID(entry.GetPart()), At: now - clock.Millis(entry.GetAgeMs()), Whole: entry.GetWhole()}
		x.crashState.heard.Add(heardAnswer{a.Part, a.Whole}, a.At)
		if x.crashState.parts.ApplyAnswer(a) {
			level.Info(x.config.Logger).Log(logs.KeyEvent, logs.EventPartCleared, logs.KeyPart, a.Part, "from", source)
		}
	}
	for _, entry := range message.GetPartTrials() {
		x.receiveTrial(now, source, partcrashes.Trial{Part: prompt.PartID(entry.GetPart()), At: now - clock.Millis(entry.GetAgeMs()), ID: entry.GetId(), Claim: entry.GetClaim()})
	}
	for _, entry := range message.GetReturnedTrials() {
		x.crashState.parts.ReturnTrial(prompt.PartID(entry.GetPart()), entry.GetId())
	}
}

// receiveTrial applies a trial of another daemon. The caller holds the lock.
func (x *Exchange) receiveTrial(now clock.Millis, source string, t partcrashes.Trial) {
	if x.crashState.parts.ApplyTrial(t) {
		level.Info(x.config.Logger).Log(logs.KeyEvent, logs.EventPartTrialLearned, logs.KeyPart, t.Part, "from", source, "age-ms", now-t.At, "claim", t.Claim)
	}
}

func (x *Exchange) receivePartReport(now clock.Millis, source string, entry *toucanhingev1.PartSighting, request crashes.Fingerprint) {
	report := partcrashes.Report{
		Crash:   crashes.Crash{Runner: entry.GetRunner(), StartedAt: entry.GetBornMs()},
		Request: request, Unanswered: entry.GetUnanswered(), At: now - clock.Millis(entry.GetAgeMs()), Ran: clock.Millis(entry.GetRanMs()), Trial: entry.GetTrial(),
	}
	var reported []partcrashes.Answer
	for _, p := range entry.GetParts() {
		part := prompt.PartID(p.GetPart())
		report.Parts = append(report.Parts, part)
		if p.AnsweredAgeMs != nil {
			reported = append(reported, partcrashes.Answer{Part: part, At: now - clock.Millis(p.GetAnsweredAgeMs()), Whole: true})
		}
		if p.BegunAgeMs != nil {
			reported = append(reported, partcrashes.Answer{Part: part, At: now - clock.Millis(p.GetBegunAgeMs())})
		}
	}
	for _, a := range x.crashState.parts.UnknownAnswers(report, reported) {
		x.announceLater(a)
	}
	for _, a := range reported {
		x.crashState.parts.ApplyAnswer(a)
	}
	x.addPartReport(now, report, source)
}

// announceLater announces an answer that the source of a report doesn't know, unless another daemon does so before.
func (x *Exchange) announceLater(a partcrashes.Answer) {
	spread := min(time.Duration(len(x.allPeers()))*answerSpreadPerPeer, maxAnswerSpread)
	time.AfterFunc(time.Duration(rand.Float64()*float64(spread)), func() {
		x.crashState.mu.Lock()
		defer x.crashState.mu.Unlock()
		if heardAt, heard := x.crashState.heard.Peek(heardAnswer{a.Part, a.Whole}); heard && a.At-heardAt < staleAnswer {
			return
		}
		x.crashState.outbox.parts.answers = append(x.crashState.outbox.parts.answers, a)
		x.crashState.wake()
	})
}
