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
	"toucanhinge.example/common/pkg/logs"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// crashGather is how long news of crashes wait for others: all calls of a runner break
	// off within 2 ms.
	crashGather = 3 * time.Millisecond
	// crashTells is how often news are sent to everybody, crashRetell the pause between.
	// With one datagram in a hundred lost, one daemon in a million hears of none.
	crashTells  = 3
	crashRetell = 40 * time.Millisecond
	// crashEvery is how often all that is known goes to crashFanout daemons drawn by lot,
	// for those that started, or were cut off, when it was told. Each hears it three times
	// a second in a fleet of any size.
	crashEvery  = time.Second
	crashFanout = 3
	// crashAsks is how often a daemon that has just started asks as many others for all
	// that they know, crashAskEvery apart.
	crashAsks     = 3
	crashAskEvery = 100 * time.Millisecond
	// mostSightings bounds the sightings of one datagram: 4 kB.
	mostSightings = 64
)

// crashNews keeps what is known of crashing requests, and what is still to be told.
type crashNews struct {
	mu      sync.Mutex
	machine *crashes.Machine
	outbox  crashFindings
	dirty   chan struct{}
}

func newCrashNews() *crashNews {
	return &crashNews{machine: crashes.New(), dirty: make(chan struct{}, 1)}
}

// crashFindings is what this daemon found out.
type crashFindings struct {
	sightings   []crashes.Report
	quarantines []crashes.Quarantine
	clearances  []crashes.Clearance
}

// message tells the findings with their ages now: clocks differ between VMs.
func (f crashFindings) message(now clock.Millis) *toucanhingev1.CrashNews {
	news := &toucanhingev1.CrashNews{}
	for _, s := range f.sightings {
		news.Sightings = append(news.Sightings, &toucanhingev1.CrashSighting{
			Runner: s.Crash.Runner, BornMs: s.Crash.StartedAt, Content: s.Fingerprint[:], Sign: uint32(s.Phase), AgeMs: ageOf(now, s.At),
		})
	}
	for _, q := range f.quarantines {
		news.Quarantines = append(news.Quarantines, &toucanhingev1.RequestQuarantine{
			Content: q.Fingerprint[:], AgeMs: ageOf(now, q.Since), LeftMs: ageOf(q.Until, now), Terms: uint32(q.Count),
		})
	}
	for _, c := range f.clearances {
		news.Clearances = append(news.Clearances, &toucanhingev1.RequestClearance{Content: c.Fingerprint[:], AgeMs: ageOf(now, c.At)})
	}
	return news
}

func ageOf(now, at clock.Millis) uint32 { return uint32(max(now-at, 0)) }

func (n *crashNews) wake() {
	select {
	case n.dirty <- struct{}{}:
	default:
	}
}

// ReportCrash notes a run that ended with its runner's crash, and tells all daemons of it.
func (x *Exchange) ReportCrash(r *toucanhingev1.Runner, content crashes.Fingerprint, sign crashes.Phase) {
	now := x.config.Clock.Now()
	s := crashes.Report{Crash: crashes.Crash{Runner: r.GetId(), StartedAt: r.GetBornMs()}, Fingerprint: content, Phase: sign, At: now}
	x.news.mu.Lock()
	defer x.news.mu.Unlock()
	if sign == crashes.Late && x.news.machine.KnowsCrash(s.Crash) {
		return
	}
	x.news.machine.AddReport(now, s)
	x.news.outbox.sightings = append(x.news.outbox.sightings, s)
	x.tellFound()
	x.news.wake()
}

// SetRunnerCount tells how many runners the fleet has.
func (x *Exchange) SetRunnerCount(runners int) {
	x.news.mu.Lock()
	defer x.news.mu.Unlock()
	x.news.machine.SetRunnerCount(runners)
}

// HasSuspects says whether any request is suspected of crashing runners.
func (x *Exchange) HasSuspects() bool {
	x.news.mu.Lock()
	defer x.news.mu.Unlock()
	return !x.news.machine.Empty()
}

// CheckRequest says whether a request may run.
func (x *Exchange) CheckRequest(content crashes.Fingerprint) crashes.Verdict {
	now := x.config.Clock.Now()
	x.news.mu.Lock()
	defer x.news.mu.Unlock()
	verdict := x.news.machine.Evaluate(now, content)
	x.tellFound()
	return verdict
}

// tellFound tells of the quarantines that were found due here; the caller holds the lock.
func (x *Exchange) tellFound() {
	for _, q := range x.news.machine.PopNewQuarantines() {
		x.logQuarantine(q, x.config.Source)
		x.news.outbox.quarantines = append(x.news.outbox.quarantines, q)
		x.news.wake()
	}
}

// RecordSuccess notes that a request ran without a crash, if anything was held against it.
func (x *Exchange) RecordSuccess(content crashes.Fingerprint) {
	now := x.config.Clock.Now()
	x.news.mu.Lock()
	defer x.news.mu.Unlock()
	if !x.news.machine.IsSuspect(content) {
		return
	}
	c := crashes.Clearance{Fingerprint: content, At: now}
	x.news.machine.Clear(now, c)
	x.news.outbox.clearances = append(x.news.outbox.clearances, c)
	level.Info(x.config.Logger).Log(logs.KeyEvent, "request-cleared", logs.KeyFingerprint, content)
	x.news.wake()
}

// Quarantines lists the requests that are kept from all runners.
func (x *Exchange) Quarantines() []crashes.Quarantine {
	x.news.mu.Lock()
	defer x.news.mu.Unlock()
	return x.news.machine.Quarantines(x.config.Clock.Now())
}

// ApplyQuarantines takes over quarantines from the log. Others hear of them as of all that is known.
func (x *Exchange) ApplyQuarantines(list []crashes.Quarantine) {
	now := x.config.Clock.Now()
	x.news.mu.Lock()
	defer x.news.mu.Unlock()
	for _, q := range list {
		if x.news.machine.ApplyQuarantine(now, q) {
			x.logQuarantine(q, "log")
		}
	}
}

// QuarantineCount counts the requests that are kept from all runners.
func (x *Exchange) QuarantineCount() int { return len(x.Quarantines()) }

func (x *Exchange) logQuarantine(q crashes.Quarantine, by string) {
	level.Warn(x.config.Logger).Log(logs.KeyEvent, "request-quarantined", logs.KeyFingerprint, q.Fingerprint, "terms", q.Count,
		"span-ms", q.Until-q.Since, "found-by", by)
}

// tellCrashes tells news of crashes until the context ends.
func (x *Exchange) tellCrashes(ctx context.Context) {
	ticker := time.NewTicker(crashAskEvery)
	defer ticker.Stop()
	asked := 0
	var retells []retell
	for {
		var again <-chan time.Time
		if len(retells) > 0 {
			again = time.After(time.Until(retells[0].due))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if asked < crashAsks && x.gossip(true) {
				asked++
			}
			if asked < crashAsks {
				continue
			}
			ticker.Reset(crashEvery)
			x.gossip(false)
		case <-again:
			x.tellAll(retells[0].news)
			retells = retells[0].next(retells[1:])
		case <-x.news.dirty:
			time.Sleep(crashGather)
			news := x.takeOutbox()
			x.tellAll(news)
			retells = append(retells, retell{news: news, left: crashTells - 1, due: time.Now().Add(crashRetell)})
		}
	}
}

// retell is news that is told once more, in case datagrams were lost.
type retell struct {
	news crashFindings
	left int
	due  time.Time
}

func (r retell) next(queue []retell) []retell {
	r.left--
	if r.left == 0 {
		return queue
	}
	r.due = time.Now().Add(crashRetell)
	return append(queue, r)
}

func (x *Exchange) takeOutbox() crashFindings {
	x.news.mu.Lock()
	defer x.news.mu.Unlock()
	taken := x.news.outbox
	x.news.outbox = crashFindings{}
	return taken
}

// tellAll goes to every daemon, also those that are told sums of loads only: crashes are
// rare, and each hop more would be one more request that crashes a runner.
func (x *Exchange) tellAll(findings crashFindings) {
	news := findings.message(x.config.Clock.Now())
	for _, peer := range x.everybody() {
		x.sendCrashNews(news, peer)
	}
}

func (x *Exchange) everybody() []netip.AddrPort {
	x.mu.Lock()
	defer x.mu.Unlock()
	list := make([]netip.AddrPort, 0, len(x.all))
	for _, peer := range x.all {
		list = append(list, peer)
	}
	return list
}

// gossip tells some daemons all that is known, and asks for what they know; it returns
// false if no other daemon is known yet.
func (x *Exchange) gossip(asks bool) bool {
	peers := x.everybody()
	if len(peers) == 0 {
		return false
	}
	now := x.config.Clock.Now()
	x.news.mu.Lock()
	x.news.machine.Expire(now)
	news, empty := x.knownCrashes(now), x.news.machine.Empty()
	x.news.mu.Unlock()
	if empty && !asks {
		return true
	}
	news.Asks = asks
	rand.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	for _, peer := range peers[:min(len(peers), crashFanout)] {
		x.sendCrashNews(news, peer)
	}
	return true
}

// knownCrashes is all that is known; the caller holds the lock.
func (x *Exchange) knownCrashes(now clock.Millis) *toucanhingev1.CrashNews {
	machine := x.news.machine
	return crashFindings{quarantines: machine.Quarantines(now), sightings: machine.Reports(now, mostSightings)}.message(now)
}

func (x *Exchange) sendCrashNews(news *toucanhingev1.CrashNews, peer netip.AddrPort) {
	data, err := proto.Marshal(&toucanhingev1.LoadDigest{Source: x.config.Source, Crashes: news})
	if err != nil {
		level.Error(x.config.Logger).Log(logs.KeyEvent, "digest-unencodable", logs.KeyError, err)
		return
	}
	x.write(data, peer)
}

// takeCrashNews takes up what another daemon told, and answers one that asks.
func (x *Exchange) takeCrashNews(source string, from netip.AddrPort, news *toucanhingev1.CrashNews) {
	now := x.config.Clock.Now()
	x.news.mu.Lock()
	for _, m := range news.GetSightings() {
		if content, ok := contentOf(m.GetContent()); ok {
			x.news.machine.AddReport(now, crashes.Report{
				Crash: crashes.Crash{Runner: m.GetRunner(), StartedAt: m.GetBornMs()}, Fingerprint: content,
				Phase: crashes.Phase(m.GetSign()), At: now - clock.Millis(m.GetAgeMs()),
			})
		}
	}
	for _, m := range news.GetQuarantines() {
		content, ok := contentOf(m.GetContent())
		told := crashes.Quarantine{
			Fingerprint: content, Since: now - clock.Millis(m.GetAgeMs()), Until: now + clock.Millis(m.GetLeftMs()), Count: int(m.GetTerms()),
		}
		if ok && x.news.machine.ApplyQuarantine(now, told) {
			x.logQuarantine(told, source)
		}
	}
	for _, m := range news.GetClearances() {
		if content, ok := contentOf(m.GetContent()); ok {
			x.news.machine.Clear(now, crashes.Clearance{Fingerprint: content, At: now - clock.Millis(m.GetAgeMs())})
		}
	}
	x.tellFound()
	var known *toucanhingev1.CrashNews
	if news.GetAsks() && !x.news.machine.Empty() {
		known = x.knownCrashes(now)
	}
	x.news.mu.Unlock()
	if known != nil {
		x.sendCrashNews(known, from)
	}
}

func contentOf(data []byte) (crashes.Fingerprint, bool) {
	var content crashes.Fingerprint
	return content, copy(content[:], data) == len(content) && len(data) == len(content)
}
