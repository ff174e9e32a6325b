package occupancy

import (
	"cmp"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// maxDigestPaces is the maximum number of paces in a digest. The others follow in the next ones.
	maxDigestPaces = 16
	// paceRepeats is the number of digests that contain a changed pace, in case a datagram is lost. A
	// renewal is repeated by the next one.
	paceRepeats = 2
)

// paceReport is a pace in percent of the usual time, and when the runner reported it.
type paceReport struct {
	percent int
	at      clock.Millis
}

// outgoingPace is a report that is still to be published.
type outgoingPace struct {
	paceReport
	runner string
	// left is the number of digests that still have to contain the report.
	left int
}

// paceOutbox holds the newest unpublished report of each runner.
type paceOutbox map[string]*outgoingPace

// add adds a report, in place of an older one of the runner.
func (o paceOutbox) add(runner string, r paceReport, repeats int) {
	o[runner] = &outgoingPace{paceReport: r, runner: runner, left: repeats}
}

// next returns the reports for the next digest, the oldest first and repetitions last. Only runners
// that suitable selects are listed.
func (o paceOutbox) next(suitable func(runner string) bool) []*outgoingPace {
	if len(o) == 0 {
		return nil
	}
	var list []*outgoingPace
	for runner, r := range o {
		if suitable(runner) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *outgoingPace) int {
		return cmp.Or(-cmp.Compare(a.left, b.left), cmp.Compare(a.at, b.at), cmp.Compare(a.runner, b.runner))
	})
	list = list[:min(len(list), maxDigestPaces)]
	for _, r := range list {
		if r.left--; r.left <= 0 {
			delete(o, r.runner)
		}
	}
	return list
}

// addTo adds the report to an entry of a digest.
func (r *outgoingPace) addTo(now clock.Millis, l *toucanhingev1.RunnerLoad) {
	percent := uint32(r.percent)
	l.Pace, l.PaceAgeMs = &percent, uint32(max(now-r.at, 0))
}
