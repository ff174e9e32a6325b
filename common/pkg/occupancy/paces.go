package occupancy

import (
	"math"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/pace"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// paceRenewal is the time after which an unchanged pace is published again, and paceChange the
	// relative change that is published at once. All daemons see the same reports of a runner, so
	// that each of them publishes only what no other one has published.
	paceRenewal clock.Millis = 1_000
	paceChange  float64      = 0.15
	// paceRetention is how long the last published report of a runner is stored. Runners are replaced
	// all the time.
	paceRetention clock.Millis = 60_000
)

// paces holds what the runners report of their pace.
type paces struct {
	table *pace.Table
	// published holds the newest published report of each runner, of any daemon.
	published map[string]paceReport
	prunedAt  clock.Millis
	// own and local hold the reports for the next digest of this daemon and for the next summary of
	// its data centre.
	own   paceOutbox
	local paceOutbox
}

func newPaces() paces {
	return paces{table: pace.New(), published: map[string]paceReport{}, own: paceOutbox{}, local: paceOutbox{}}
}

// News is what a report adds to what has been published.
type News int

const (
	// NoNews is a report that isn't published.
	NoNews News = iota
	// Renewal is a report that says again what was published long ago. It can wait for the next digest.
	Renewal
	// Change is a report of another pace.
	Change
)

// repeats returns the number of digests that contain a report.
func (n News) repeats() int {
	if n == Change {
		return paceRepeats
	}
	return 1
}

// newsOf compares a report with the last published one.
func (p *paces) newsOf(runner string, r paceReport) News {
	last, known := p.published[runner]
	if !known || math.Abs(float64(r.percent-last.percent)) > paceChange*float64(last.percent) {
		return Change
	}
	// A last report in the future means that the clock went back.
	if age := r.at - last.at; age < 0 || age >= paceRenewal {
		return Renewal
	}
	return NoNews
}

func (p *paces) prune(now clock.Millis) {
	if age := now - p.prunedAt; age >= 0 && age < paceRetention {
		return
	}
	p.prunedAt = now
	for runner, r := range p.published {
		if now-r.at >= paceRetention {
			delete(p.published, runner)
		}
	}
}

// Paces returns the estimates of the runners' paces.
func (t *Table) Paces() *pace.Table { return t.paces.table }

// SetRunners replaces the runners whose paces and contacts are known. A cache calls it with its runners.
func (t *Table) SetRunners(runners []*toucanhingev1.Runner) {
	added, removed := t.paces.table.SetRunners(runners)
	t.removeContacts(removed)
	for _, id := range removed {
		delete(t.paces.published, id)
		delete(t.paces.own, id)
		delete(t.paces.local, id)
	}
	for _, id := range added {
		if r, known := t.paces.published[id]; known {
			t.paces.table.Report(r.at, id, r.percent)
		}
	}
}

// ObservePace records that a runner reported its pace, in percent of the usual time, and reports
// whether that has to be published.
func (t *Table) ObservePace(now clock.Millis, runner string, percent int) News {
	if percent < pace.MinPercent || percent > pace.MaxPercent {
		return NoNews
	}
	r := paceReport{percent: percent, at: now}
	t.paces.table.Report(now, runner, percent)
	t.markChanged(runner)
	news := t.paces.newsOf(runner, r)
	if news == NoNews {
		return NoNews
	}
	t.paces.published[runner] = r
	t.paces.own.add(runner, r, news.repeats())
	if t.local.tracked() {
		t.paces.local.add(runner, r, news.repeats())
	}
	return news
}

// applyPace applies a report that another daemon published, unless a newer one is known. Digests carry
// ages instead of times because clocks differ. local is set if the daemon is in the local sum.
func (t *Table) applyPace(now clock.Millis, l *toucanhingev1.RunnerLoad, local bool) {
	percent := l.GetPace()
	if l.Pace == nil || percent < pace.MinPercent || percent > pace.MaxPercent {
		return
	}
	r := paceReport{percent: int(percent), at: now - clock.Millis(l.GetPaceAgeMs())}
	if last, known := t.paces.published[l.GetRunner()]; known && last.at >= r.at && last.at <= now {
		return
	}
	news := t.paces.newsOf(l.GetRunner(), r)
	t.paces.published[l.GetRunner()] = r
	t.paces.table.ReportAged(now, now-r.at, l.GetRunner(), r.percent)
	t.markChanged(l.GetRunner())
	if local && news != NoNews {
		t.paces.local.add(l.GetRunner(), r, news.repeats())
	}
}

// addPaces adds this daemon's reports of paces to a digest.
func (t *Table) addPaces(now clock.Millis, entry func(runner string) *toucanhingev1.RunnerLoad) {
	for _, r := range t.paces.own.next(func(string) bool { return true }) {
		r.addTo(now, entry(r.runner))
	}
}

// AddLocalPaces adds the reports of the own data centre to the loads of a summary. A partial summary
// contains only paces of runners that it lists anyway, which costs a quarter of the bytes of a further
// entry. In a full one, a runner that isn't among the loads is added with its load, since an entry of a
// summary replaces the previous one.
func (t *Table) AddLocalPaces(now clock.Millis, loads []*toucanhingev1.RunnerLoad, full bool) []*toucanhingev1.RunnerLoad {
	if len(t.paces.local) == 0 {
		return loads
	}
	byRunner := make(map[string]*toucanhingev1.RunnerLoad, len(loads))
	for _, l := range loads {
		byRunner[l.GetRunner()] = l
	}
	for _, r := range t.paces.local.next(func(runner string) bool { return full || byRunner[runner] != nil }) {
		l := byRunner[r.runner]
		if l == nil {
			if l = t.LocalLoad(now, r.runner); l == nil {
				l = &toucanhingev1.RunnerLoad{Runner: r.runner}
			}
			loads = append(loads, l)
		}
		r.addTo(now, l)
	}
	return loads
}
