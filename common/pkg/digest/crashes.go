package digest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/crashes"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/partcrashes"
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

// crashState holds the suspected requests and parts of prompts, and the updates that are still to be broadcast.
type crashState struct {
	mu      sync.Mutex
	machine *crashes.Machine
	parts   *partcrashes.Machine
	// heard holds the newest answer that another daemon announced for a suspected part.
	heard  *simplelru.LRU[heardAnswer, clock.Millis]
	outbox crashUpdate
	dirty  chan struct{}
}

func newCrashState(name string) *crashState {
	heard, err := simplelru.NewLRU[heardAnswer, clock.Millis](maxHeardAnswers, nil)
	if err != nil {
		panic(fmt.Sprintf("create the table of announced answers: %v", err))
	}
	return &crashState{
		machine: crashes.New(crashes.Config{Name: name}), parts: partcrashes.New(partcrashes.Config{Name: name}), heard: heard, dirty: make(chan struct{}, 1),
	}
}

// empty reports whether nothing is suspected. The caller holds the lock.
func (s *crashState) empty() bool { return s.machine.Empty() && s.parts.Empty() }

func (s *crashState) wake() {
	select {
	case s.dirty <- struct{}{}:
	default:
	}
}

// ReportCrash records a run of this daemon that ended with a crash of its runner, and broadcasts the report to all
// daemons.
func (x *Exchange) ReportCrash(report crashes.Report) {
	now := x.config.Clock.Now()
	x.crashState.mu.Lock()
	defer x.crashState.mu.Unlock()
	if report.Phase == crashes.Unsuspected && x.crashState.machine.KnowsCrash(report.Crash) {
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

// HasSuspects reports whether any request or part of prompts is suspected of crashing runners.
func (x *Exchange) HasSuspects() bool {
	x.crashState.mu.Lock()
	defer x.crashState.mu.Unlock()
	return !x.crashState.empty()
}

// CheckRequest decides whether a request may run. id is its ID, as in logs; trial identifies the trial that it is, 0 if it is none.
// If it becomes the trial at the end of its quarantine, CheckRequest returns the identifier.
func (x *Exchange) CheckRequest(id string, fingerprint crashes.Fingerprint, trial uint64) (crashes.Verdict, uint64) {
	now := x.config.Clock.Now()
	x.crashState.mu.Lock()
	defer x.crashState.mu.Unlock()
	verdict, begun := x.crashState.machine.Evaluate(now, fingerprint, trial)
	if begun != trial {
		level.Info(x.config.Logger).Log(logs.KeyEvent, logs.EventRequestTried, logs.KeyFingerprint, fingerprint, logs.KeyRequest, id,
			"late", x.crashState.machine.LateCount(now, fingerprint))
	}
	x.broadcastNewQuarantines()
	return verdict, begun
}

// ReturnRequestTrial records that a request that became the trial at the end of its quarantine reached no runner.
func (x *Exchange) ReturnRequestTrial(fingerprint crashes.Fingerprint, id uint64) {
	x.crashState.mu.Lock()
	defer x.crashState.mu.Unlock()
	x.crashState.machine.ReturnTrial(fingerprint, id)
	x.crashState.outbox.returned = append(x.crashState.outbox.returned, returnedTrial{fingerprint, id})
	x.crashState.wake()
}

// broadcastNewQuarantines queues the quarantines that this daemon has just imposed for
// broadcast. The caller holds the lock.
func (x *Exchange) broadcastNewQuarantines() {
	imposed := append(x.crashState.machine.PopNewQuarantines(), x.crashState.parts.PopNewQuarantines()...)
	for _, q := range imposed {
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

// Quarantines lists the quarantines in force, and the ended ones of requests and parts that may still crash runners.
func (x *Exchange) Quarantines() []crashes.Quarantine {
	x.crashState.mu.Lock()
	defer x.crashState.mu.Unlock()
	return append(x.crashState.machine.Quarantines(), x.crashState.parts.Quarantines()...)
}

// ApplyQuarantines applies quarantines from the replicated log. Other daemons receive them with
// the periodic gossip.
func (x *Exchange) ApplyQuarantines(list []crashes.Quarantine) {
	now := x.config.Clock.Now()
	x.crashState.mu.Lock()
	defer x.crashState.mu.Unlock()
	for _, q := range list {
		if x.crashState.applyQuarantine(now, q) {
			x.logQuarantine(q, "log")
		}
	}
}

// applyQuarantine applies a quarantine that another daemon imposed. It reports whether it is new. The caller holds the
// lock.
func (s *crashState) applyQuarantine(now clock.Millis, q crashes.Quarantine) bool {
	if q.Part != "" {
		return s.parts.ApplyQuarantine(now, q)
	}
	return s.machine.ApplyQuarantine(now, q)
}

// QuarantineCount returns the number of quarantined requests.
func (x *Exchange) QuarantineCount() int {
	x.crashState.mu.Lock()
	defer x.crashState.mu.Unlock()
	return x.crashState.machine.InForce(x.config.Clock.Now())
}

// PartQuarantineCount returns the number of quarantined parts of prompts.
func (x *Exchange) PartQuarantineCount() int {
	x.crashState.mu.Lock()
	defer x.crashState.mu.Unlock()
	return x.crashState.parts.InForce(x.config.Clock.Now())
}

func (x *Exchange) logQuarantine(q crashes.Quarantine, foundBy string) {
	logger := log.With(level.Warn(x.config.Logger), logs.KeyEvent, "request-quarantined", logs.KeyFingerprint, q.Fingerprint)
	if q.Part != "" {
		logger = log.With(level.Warn(x.config.Logger), logs.KeyEvent, logs.EventPartQuarantined, logs.KeyPart, q.Part)
	}
	now := x.config.Clock.Now()
	logger.Log("terms", q.Count, "span-ms", q.Until-q.Since, "found-by", foundBy, "alone", q.Alone, "by-trial", q.Trial != 0, "late", len(q.History.Late(now)))
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
	x.crashState.parts.Expire(now)
	message, empty := x.knownCrashes(now), x.crashState.empty()
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
