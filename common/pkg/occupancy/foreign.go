package occupancy

import (
	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Foreign work is the requests at a runner that no daemon counts. They belong to another system
// that shares the runner, or to a daemon that failed without closing its connections. A runner
// continues such requests for seconds because it doesn't detect that the client is gone: after a
// leader's VM lost power, its 60 items still occupied 60 slots that gateways considered free,
// and 84 requests within two seconds waited behind them.
const (
	// ForeignExpiry is how long a finding applies. Foreign work ends without notice, and each
	// response of the runner renews the finding.
	ForeignExpiry clock.Millis = 1_000
	// ForeignSlack is the excess over the counts that is ignored. A request that another daemon
	// has just sent reaches the runner some milliseconds before the digest that counts it, and
	// an aborted request leaves the runner a few milliseconds after its digest.
	ForeignSlack = 1
)

// finding is the foreign work that a runner had at some time.
type finding struct {
	count int
	at    clock.Millis
}

func (f finding) fresh(now clock.Millis) bool { return f.at > 0 && now-f.at <= ForeignExpiry }

// Observe compares the number of requests that a runner reports with the counts of all daemons.
// It returns the foreign work found and whether that differs from the previous finding.
func (t *Table) Observe(now clock.Millis, runner string, reported int) (found int, changed bool) {
	previous := t.Foreign(now, runner)
	l := t.total[runner]
	excess := reported - l.Online - l.Batch
	if excess <= ForeignSlack {
		excess = 0
	}
	t.foreign[runner] = finding{excess, now}
	if excess != previous {
		t.markChanged(runner)
		t.local.markChanged(runner)
	}
	if excess == 0 && previous == 0 {
		// The usual case needs no message: findings of other daemons are older.
		delete(t.ownForeign, runner)
		return 0, false
	}
	t.ownForeign[runner] = finding{excess, now}
	return excess, excess != previous
}

// Foreign returns the foreign work in the last finding for a runner, 0 if it has expired.
func (t *Table) Foreign(now clock.Millis, runner string) int {
	if f := t.foreign[runner]; f.fresh(now) {
		return f.count
	}
	return 0
}

// pruneFindings removes expired findings. Otherwise the maps would grow, since runners are replaced
// all the time.
func (t *Table) pruneFindings(now clock.Millis) {
	if now-t.prunedAt < ForeignExpiry {
		return
	}
	t.prunedAt = now
	for _, findings := range []map[string]finding{t.foreign, t.ownForeign} {
		for runner, f := range findings {
			if !f.fresh(now) {
				delete(findings, runner)
			}
		}
	}
}

// applyForeign applies another daemon's finding unless a newer one is known. Digests carry ages
// instead of times because clocks differ.
func (t *Table) applyForeign(now clock.Millis, l *toucanhingev1.RunnerLoad) {
	if l.Foreign == nil {
		return
	}
	received := finding{int(l.GetForeign()), now - clock.Millis(l.GetForeignAgeMs())}
	if received.at > t.foreign[l.GetRunner()].at {
		t.foreign[l.GetRunner()] = received
		t.markChanged(l.GetRunner())
		t.local.markChanged(l.GetRunner())
	}
}

// addForeign adds this daemon's current findings to a digest.
func (t *Table) addForeign(now clock.Millis, entry func(runner string) *toucanhingev1.RunnerLoad) {
	for runner, f := range t.ownForeign {
		if !f.fresh(now) {
			delete(t.ownForeign, runner)
			continue
		}
		count := uint32(f.count)
		entry(runner).Foreign, entry(runner).ForeignAgeMs = &count, uint32(now-f.at)
	}
}
