package digest

import (
	"net/netip"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/crashes"
	"toucanhinge.example/common/pkg/hash128"
	"toucanhinge.example/common/pkg/lateruns"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/prompt"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// crashUpdate is a set of changes to the crash state that this daemon sends to others.
type crashUpdate struct {
	reports     []crashes.Report
	quarantines []crashes.Quarantine
	clearances  []crashes.Clearance
	returned    []returnedTrial
	parts       partUpdate
}

// returnedTrial is a trial of a request that reached no runner.
type returnedTrial struct {
	fingerprint crashes.Fingerprint
	id          uint64
}

// toProto encodes the update. Times are sent as ages because clocks differ between VMs.
func (u crashUpdate) toProto(now clock.Millis) *toucanhingev1.CrashNews {
	m := &toucanhingev1.CrashNews{}
	for _, r := range u.reports {
		m.Sightings = append(m.Sightings, &toucanhingev1.CrashSighting{
			Runner: r.Crash.Runner, BornMs: r.Crash.StartedAt, Content: r.Fingerprint[:], Sign: uint32(r.Phase), AgeMs: ageOf(now, r.At), RanMs: uint32(r.Ran), Trial: r.Trial,
		})
	}
	for _, q := range u.quarantines {
		m.Quarantines = append(m.Quarantines, encodeQuarantine(q, now))
	}
	for _, c := range u.clearances {
		m.Clearances = append(m.Clearances, &toucanhingev1.RequestClearance{Content: c.Fingerprint[:], AgeMs: ageOf(now, c.At)})
	}
	for _, t := range u.returned {
		m.ReturnedTrials = append(m.ReturnedTrials, &toucanhingev1.ReturnedTrial{Content: t.fingerprint[:], Id: t.id})
	}
	u.parts.addTo(m, now)
	return m
}

// contentOf returns the encoded fingerprint of a quarantined request, nil if a part is quarantined.
func contentOf(q crashes.Quarantine) []byte {
	if q.Part != "" {
		return nil
	}
	return q.Fingerprint[:]
}

// encodeQuarantine encodes a quarantine with its history.
func encodeQuarantine(q crashes.Quarantine, now clock.Millis) *toucanhingev1.RequestQuarantine {
	m := &toucanhingev1.RequestQuarantine{
		Content: contentOf(q), Part: string(q.Part), AgeMs: ageOf(now, q.Since), LeftMs: ageOf(q.Until, now), Terms: uint32(q.Count), Trial: q.Trial, Alone: q.Alone,
	}
	if q.History.KnownAt > 0 {
		age := ageOf(now, q.History.KnownAt)
		m.KnownAgeMs = &age
	}
	for _, r := range q.History.Runs {
		run := &toucanhingev1.SuspectedRun{Id: r.ID, AgeMs: ageOf(now, r.At), Returned: r.Returned, Excused: r.Excused}
		if r.CrashedAt > 0 {
			age := ageOf(now, r.CrashedAt)
			run.CrashAgeMs = &age
		}
		m.Runs = append(m.Runs, run)
	}
	return m
}

// decodeQuarantine is the inverse of encodeQuarantine. ok is false if the message names neither a request nor a part.
func decodeQuarantine(m *toucanhingev1.RequestQuarantine, now clock.Millis) (q crashes.Quarantine, ok bool) {
	fingerprint, ok := parseFingerprint(m.GetContent())
	q = crashes.Quarantine{
		Fingerprint: fingerprint, Part: prompt.PartID(m.GetPart()), Since: now - clock.Millis(m.GetAgeMs()),
		Until: now + clock.Millis(m.GetLeftMs()), Count: int(m.GetTerms()), Trial: m.GetTrial(), Alone: m.GetAlone(),
	}
	if m.KnownAgeMs != nil {
		q.History.KnownAt = now - clock.Millis(m.GetKnownAgeMs())
	}
	for _, r := range m.GetRuns() {
		run := lateruns.Run{ID: r.GetId(), At: now - clock.Millis(r.GetAgeMs()), Returned: r.GetReturned(), Excused: r.GetExcused()}
		if r.CrashAgeMs != nil {
			run.CrashedAt = now - clock.Millis(r.GetCrashAgeMs())
		}
		q.History.Runs = append(q.History.Runs, run)
	}
	return q, ok || q.Part != ""
}

func ageOf(now, at clock.Millis) uint32 { return uint32(max(now-at, 0)) }

// knownCrashes encodes the crash state: the quarantines in force and the reports that other daemons
// may have missed. The caller holds the lock.
func (x *Exchange) knownCrashes(now clock.Millis) *toucanhingev1.CrashNews {
	machine, parts := x.crashState.machine, x.crashState.parts
	update := crashUpdate{quarantines: append(machine.Quarantines(), parts.Quarantines()...), reports: machine.Reports(now, maxCrashReports)}
	for _, r := range parts.Reports(now, maxPartReports) {
		update.parts.reports = append(update.parts.reports, x.crashState.withAnswers(r))
	}
	return update.toProto(now)
}

func (x *Exchange) sendCrashes(message *toucanhingev1.CrashNews, peer netip.AddrPort) {
	data, err := proto.Marshal(&toucanhingev1.LoadDigest{Source: x.config.Source, Crashes: message})
	if err != nil {
		level.Error(x.config.Logger).Log(logs.KeyEvent, "digest-unencodable", logs.KeyError, err)
		return
	}
	x.write(data, peer)
}

// receiveCrashes applies the crash update of another daemon and replies to a query.
func (x *Exchange) receiveCrashes(source string, from netip.AddrPort, message *toucanhingev1.CrashNews) {
	now := x.config.Clock.Now()
	x.crashState.mu.Lock()
	for _, entry := range message.GetSightings() {
		if fingerprint, ok := parseFingerprint(entry.GetContent()); ok {
			x.crashState.machine.AddReport(now, crashes.Report{
				Crash: crashes.Crash{Runner: entry.GetRunner(), StartedAt: entry.GetBornMs()}, Fingerprint: fingerprint,
				Phase: crashes.Phase(entry.GetSign()), Ran: clock.Millis(entry.GetRanMs()), At: now - clock.Millis(entry.GetAgeMs()), Trial: entry.GetTrial(),
			})
		}
	}
	x.receiveParts(now, source, message)
	for _, entry := range message.GetQuarantines() {
		quarantine, ok := decodeQuarantine(entry, now)
		if ok && x.crashState.applyQuarantine(now, quarantine) {
			x.logQuarantine(quarantine, source)
		}
	}
	for _, entry := range message.GetReturnedTrials() {
		if fingerprint, ok := parseFingerprint(entry.GetContent()); ok {
			x.crashState.machine.ReturnTrial(fingerprint, entry.GetId())
		}
	}
	for _, entry := range message.GetClearances() {
		if fingerprint, ok := parseFingerprint(entry.GetContent()); ok {
			x.crashState.machine.Clear(now, crashes.Clearance{Fingerprint: fingerprint, At: now - clock.Millis(entry.GetAgeMs())})
		}
	}
	x.broadcastNewQuarantines()
	var known *toucanhingev1.CrashNews
	if message.GetAsks() && !x.crashState.empty() {
		known = x.knownCrashes(now)
	}
	x.crashState.mu.Unlock()
	if known != nil {
		x.sendCrashes(known, from)
	}
}

func parseFingerprint(data []byte) (crashes.Fingerprint, bool) {
	sum, ok := hash128.Parse(data)
	return crashes.Fingerprint(sum), ok
}
