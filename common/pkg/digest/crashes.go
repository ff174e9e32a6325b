package digest

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/crashes"
	"toucanhinge.example/common/pkg/hash128"
	"toucanhinge.example/common/pkg/logs"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// crashBatchDelay is how long a crash report waits for further ones before it is sent. All
	// calls on a crashed runner fail within 2 ms.
	crashBatchDelay = 3 * time.Millisecond
	// crashBroadcasts is the number of times that a crash update is sent to all daemons, and
	// crashResendInterval the time between. If one datagram in a hundred is lost, one daemon
	// in a million receives none of the three.
	crashBroadcasts     = 3
	crashResendInterval = 40 * time.Millisecond
	// crashGossipInterval is the interval at which a daemon sends its crash state to
	// crashGossipFanout random daemons. This reaches daemons that were starting or partitioned
	// during the broadcasts. Each daemon receives it about three times a second, whatever the
	// fleet size.
	crashGossipInterval = time.Second
	crashGossipFanout   = 3
	// crashQueries is the number of times that a daemon that has just started queries
	// crashGossipFanout others for their crash state, and crashQueryInterval the time between.
	crashQueries       = 3
	crashQueryInterval = 100 * time.Millisecond
	// maxCrashReports limits the crash reports in one datagram to about 4 kB.
	maxCrashReports = 64
)

// crashState holds the suspected requests and the updates that are still to be broadcast.
type crashState struct {
	mu      sync.Mutex
	machine *crashes.Machine
	outbox  crashUpdate
	dirty   chan struct{}
}

func newCrashState() *crashState {
	return &crashState{machine: crashes.New(), dirty: make(chan struct{}, 1)}
}

// crashUpdate is a set of changes to the crash state that this daemon sends to others.
type crashUpdate struct {
	reports     []crashes.Report
	quarantines []crashes.Quarantine
	clearances  []crashes.Clearance
}

// toProto encodes the update. Times are sent as ages because clocks differ between VMs.
func (u crashUpdate) toProto(now clock.Millis) *toucanhingev1.CrashNews {
	m := &toucanhingev1.CrashNews{}
	for _, r := range u.reports {
		m.Sightings = append(m.Sightings, &toucanhingev1.CrashSighting{
			Runner: r.Crash.Runner, BornMs: r.Crash.StartedAt, Content: r.Fingerprint[:], Sign: uint32(r.Phase), AgeMs: ageOf(now, r.At),
		})
	}
	for _, q := range u.quarantines {
		m.Quarantines = append(m.Quarantines, &toucanhingev1.RequestQuarantine{
			Content: q.Fingerprint[:], AgeMs: ageOf(now, q.Since), LeftMs: ageOf(q.Until, now), Terms: uint32(q.Count),
		})
	}
	for _, c := range u.clearances {
		m.Clearances = append(m.Clearances, &toucanhingev1.RequestClearance{Content: c.Fingerprint[:], AgeMs: ageOf(now, c.At)})
	}
	return m
}

func ageOf(now, at clock.Millis) uint32 { return uint32(max(now-at, 0)) }

func (s *crashState) wake() {
	select {
	case s.dirty <- struct{}{}:
	default:
	}
}

// ReportCrash records a run that ended with a crash of its runner and broadcasts the report to
// all daemons.
func (x *Exchange) ReportCrash(r *toucanhingev1.Runner, fingerprint crashes.Fingerprint, phase crashes.Phase) {
	now := x.config.Clock.Now()
	report := crashes.Report{
		Crash: crashes.Crash{Runner: r.GetId(), StartedAt: r.GetBornMs()}, Fingerprint: fingerprint, Phase: phase, At: now,
	}
	x.crashState.mu.Lock()
	defer x.crashState.mu.Unlock()
	if phase == crashes.Late && x.crashState.machine.KnowsCrash(report.Crash) {
		return
	}
	x.crashState.machine.AddReport(now, report)
	x.crashState.outbox.reports = append(x.crashState.outbox.reports, report)
	x.broadcastNewQuarantines()
	x.crashState.wake()
}

// SetRunnerCount sets the number of runners in the fleet.
func (x *Exchange) SetRunnerCount(count int) {
	x.crashState.mu.Lock()
	defer x.crashState.mu.Unlock()
	x.crashState.machine.SetRunnerCount(count)
}

// HasSuspects reports whether any request is suspected of crashing runners.
func (x *Exchange) HasSuspects() bool {
	x.crashState.mu.Lock()
	defer x.crashState.mu.Unlock()
	return !x.crashState.machine.Empty()
}

// CheckRequest decides whether a request may run.
func (x *Exchange) CheckRequest(fingerprint crashes.Fingerprint) crashes.Verdict {
	now := x.config.Clock.Now()
	x.crashState.mu.Lock()
	defer x.crashState.mu.Unlock()
	verdict := x.crashState.machine.Evaluate(now, fingerprint)
	x.broadcastNewQuarantines()
	return verdict
}

// broadcastNewQuarantines queues the quarantines that this daemon has just imposed for
// broadcast. The caller holds the lock.
func (x *Exchange) broadcastNewQuarantines() {
	for _, q := range x.crashState.machine.PopNewQuarantines() {
		x.logQuarantine(q, x.config.Source)
		x.crashState.outbox.quarantines = append(x.crashState.outbox.quarantines, q)
		x.crashState.wake()
	}
}

// RecordSuccess records that a request ran without a crash. It does nothing if the request is
// not suspected.
func (x *Exchange) RecordSuccess(fingerprint crashes.Fingerprint) {
	now := x.config.Clock.Now()
	x.crashState.mu.Lock()
	defer x.crashState.mu.Unlock()
	if !x.crashState.machine.IsSuspect(fingerprint) {
		return
	}
	c := crashes.Clearance{Fingerprint: fingerprint, At: now}
	x.crashState.machine.Clear(now, c)
	x.crashState.outbox.clearances = append(x.crashState.outbox.clearances, c)
	level.Info(x.config.Logger).Log(logs.KeyEvent, "request-cleared", logs.KeyFingerprint, fingerprint)
	x.crashState.wake()
}

// Quarantines lists the quarantines in force.
func (x *Exchange) Quarantines() []crashes.Quarantine {
	x.crashState.mu.Lock()
	defer x.crashState.mu.Unlock()
	return x.crashState.machine.Quarantines(x.config.Clock.Now())
}

// ApplyQuarantines applies quarantines from the replicated log. Other daemons receive them with
// the periodic gossip.
func (x *Exchange) ApplyQuarantines(list []crashes.Quarantine) {
	now := x.config.Clock.Now()
	x.crashState.mu.Lock()
	defer x.crashState.mu.Unlock()
	for _, q := range list {
		if x.crashState.machine.ApplyQuarantine(now, q) {
			x.logQuarantine(q, "log")
		}
	}
}

// QuarantineCount returns the number of quarantines in force.
func (x *Exchange) QuarantineCount() int { return len(x.Quarantines()) }

func (x *Exchange) logQuarantine(q crashes.Quarantine, foundBy string) {
	level.Warn(x.config.Logger).Log(logs.KeyEvent, "request-quarantined", logs.KeyFingerprint, q.Fingerprint, "terms", q.Count,
		"span-ms", q.Until-q.Since, "found-by", foundBy)
}

// runCrashGossip sends crash updates until the context ends.
func (x *Exchange) runCrashGossip(ctx context.Context) {
	ticker := time.NewTicker(crashQueryInterval)
	defer ticker.Stop()
	queries := 0
	var resends []resend
	for {
		var resendTimer <-chan time.Time
		if len(resends) > 0 {
			resendTimer = time.After(time.Until(resends[0].sendAt))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if queries < crashQueries && x.gossip(true) {
				queries++
			}
			if queries < crashQueries {
				continue
			}
			ticker.Reset(crashGossipInterval)
			x.gossip(false)
		case <-resendTimer:
			x.broadcastCrashes(resends[0].update)
			resends = resends[0].reschedule(resends[1:])
		case <-x.crashState.dirty:
			time.Sleep(crashBatchDelay)
			update := x.popOutbox()
			x.broadcastCrashes(update)
			resends = append(resends, resend{
				update: update, remaining: crashBroadcasts - 1, sendAt: time.Now().Add(crashResendInterval),
			})
		}
	}
}

// resend is an update that is broadcast again in case datagrams were lost.
type resend struct {
	update    crashUpdate
	remaining int
	sendAt    time.Time
}

func (r resend) reschedule(queue []resend) []resend {
	r.remaining--
	if r.remaining == 0 {
		return queue
	}
	r.sendAt = time.Now().Add(crashResendInterval)
	return append(queue, r)
}

func (x *Exchange) popOutbox() crashUpdate {
	x.crashState.mu.Lock()
	defer x.crashState.mu.Unlock()
	update := x.crashState.outbox
	x.crashState.outbox = crashUpdate{}
	return update
}

// broadcastCrashes sends an update to every daemon, including those that receive only load
// summaries. Crashes are rare, and a further hop would delay the update and let the request
// crash another runner.
func (x *Exchange) broadcastCrashes(update crashUpdate) {
	message := update.toProto(x.config.Clock.Now())
	for _, peer := range x.allPeers() {
		x.sendCrashes(message, peer)
	}
}

func (x *Exchange) allPeers() []netip.AddrPort {
	x.mu.Lock()
	defer x.mu.Unlock()
	list := make([]netip.AddrPort, 0, len(x.all))
	for _, peer := range x.all {
		list = append(list, peer)
	}
	return list
}

// gossip sends the crash state to some random daemons, and queries theirs if query is set. It
// returns false if no other daemon is known yet.
func (x *Exchange) gossip(query bool) bool {
	peers := x.allPeers()
	if len(peers) == 0 {
		return false
	}
	now := x.config.Clock.Now()
	x.crashState.mu.Lock()
	x.crashState.machine.Expire(now)
	message, empty := x.knownCrashes(now), x.crashState.machine.Empty()
	x.crashState.mu.Unlock()
	if empty && !query {
		return true
	}
	message.Asks = query
	rand.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	for _, peer := range peers[:min(len(peers), crashGossipFanout)] {
		x.sendCrashes(message, peer)
	}
	return true
}

// knownCrashes encodes the crash state: the quarantines in force and the reports that other daemons
// may have missed. The caller holds the lock.
func (x *Exchange) knownCrashes(now clock.Millis) *toucanhingev1.CrashNews {
	machine := x.crashState.machine
	return crashUpdate{quarantines: machine.Quarantines(now), reports: machine.Reports(now, maxCrashReports)}.toProto(now)
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
				Phase: crashes.Phase(entry.GetSign()), At: now - clock.Millis(entry.GetAgeMs()),
			})
		}
	}
	for _, entry := range message.GetQuarantines() {
		fingerprint, ok := parseFingerprint(entry.GetContent())
		quarantine := crashes.Quarantine{
			Fingerprint: fingerprint, Since: now - clock.Millis(entry.GetAgeMs()), Until: now + clock.Millis(entry.GetLeftMs()),
			Count: int(entry.GetTerms()),
		}
		if ok && x.crashState.machine.ApplyQuarantine(now, quarantine) {
			x.logQuarantine(quarantine, source)
		}
	}
	for _, entry := range message.GetClearances() {
		if fingerprint, ok := parseFingerprint(entry.GetContent()); ok {
			x.crashState.machine.Clear(now, crashes.Clearance{Fingerprint: fingerprint, At: now - clock.Millis(entry.GetAgeMs())})
		}
	}
	x.broadcastNewQuarantines()
	var known *toucanhingev1.CrashNews
	if message.GetAsks() && !x.crashState.machine.Empty() {
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
