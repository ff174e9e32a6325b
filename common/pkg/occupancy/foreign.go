package occupancy

import (
	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Foreign work is what a runner has under way and no daemon counts: that of another
// system which shares the runner, or of a daemon that vanished without closing its
// connections. Runners go on for seconds with what they can't know to be unwanted:
// after a leader's VM lost power, 60 items of its kept as many places, gateways took
// these for free, and 84 requests within two seconds waited behind them.
const (
	// ForeignExpiry is how long a finding counts. What was found ends by and by, and
	// nobody tells when; every answer of the runner, and whoever asks it, finds anew.
	ForeignExpiry clock.Millis = 1_000
	// ForeignSlack is the excess over the counts that proves nothing: a request that
	// another daemon has just sent is at the runner some milliseconds before the
	// digest that tells of it, and one that was broken off leaves as much later.
	ForeignSlack = 1
)

// finding is how much foreign work a runner had.
type finding struct {
	count int
	at    clock.Millis
}

func (f finding) fresh(now clock.Millis) bool { return f.at > 0 && now-f.at <= ForeignExpiry }

// Observe compares what a runner says to have under way with the counts of all
// daemons, and returns the foreign work found and whether that is news.
func (t *Table) Observe(now clock.Millis, runner string, held int) (found int, news bool) {
	before := t.Foreign(now, runner)
	l := t.total[runner]
	excess := held - l.Online - l.Batch
	if excess <= ForeignSlack {
		excess = 0
	}
	t.foreign[runner] = finding{excess, now}
	if excess != before {
		t.noteChange(runner)
		t.near.note(runner)
	}
	if excess == 0 && before == 0 {
		// The usual case needs no telling: what others found before is older.
		delete(t.ownForeign, runner)
		return 0, false
	}
	t.ownForeign[runner] = finding{excess, now}
	return excess, excess != before
}

// Foreign is the foreign work that a runner was last found to have.
func (t *Table) Foreign(now clock.Millis, runner string) int {
	if f := t.foreign[runner]; f.fresh(now) {
		return f.count
	}
	return 0
}

// prune drops findings that no longer count; runners come and go.
func (t *Table) prune(now clock.Millis) {
	if now-t.pruned < ForeignExpiry {
		return
	}
	t.pruned = now
	for _, findings := range []map[string]finding{t.foreign, t.ownForeign} {
		for runner, f := range findings {
			if !f.fresh(now) {
				delete(findings, runner)
			}
		}
	}
}

// learn takes over another daemon's finding, unless a newer one is known. Ages are
// told in place of times, since clocks differ.
func (t *Table) learn(now clock.Millis, l *toucanhingev1.RunnerLoad) {
	if l.Foreign == nil {
		return
	}
	told := finding{int(l.GetForeign()), now - clock.Millis(l.GetForeignAgeMs())}
	if told.at > t.foreign[l.GetRunner()].at {
		t.foreign[l.GetRunner()] = told
		t.noteChange(l.GetRunner())
		t.near.note(l.GetRunner())
	}
}

// tellForeign adds the own findings that still count to a digest.
func (t *Table) tellForeign(now clock.Millis, at func(runner string) *toucanhingev1.RunnerLoad) {
	for runner, f := range t.ownForeign {
		if !f.fresh(now) {
			delete(t.ownForeign, runner)
			continue
		}
		count := uint32(f.count)
		at(runner).Foreign, at(runner).ForeignAgeMs = &count, uint32(now-f.at)
	}
}
