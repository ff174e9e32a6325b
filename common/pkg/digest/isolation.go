package digest

import "toucanhinge.example/common/pkg/clock"

const (
	// coreInterval is the maximum interval between digests of the core's leader, even if nothing
	// changes. Without these digests a gateway in an idle fleet couldn't detect a partition.
	coreInterval clock.Millis = 100
	// isolationTimeout is the time without any digest after which a gateway considers itself
	// isolated. It tolerates three lost datagrams.
	isolationTimeout = 4 * coreInterval
	// dataCentreIsolationTimeout is the same for a data centre, whose daemons receive full
	// summaries of the others four times a second.
	dataCentreIsolationTimeout = 4 * fullSummaryInterval
	// forgetDataCentreAfter is the time without summaries after which a data centre counts as
	// removed.
	forgetDataCentreAfter clock.Millis = 10_000
)

// isolation distinguishes a daemon that is partitioned from one in an idle fleet. All times are
// by the boot clock.
type isolation struct {
	// startedAt is when this daemon started to listen.
	startedAt clock.Millis
	// digestAt is when the last digest arrived from any daemon, remoteAt when the last summary
	// of another data centre arrived, in fleets that use summaries.
	digestAt, remoteAt clock.Millis
	// summaryAt is when the last summary of each other data centre arrived.
	summaryAt map[string]clock.Millis
}

// maxSilence limits the age of the counts that a missing data centre causes. Its teams' requests
// before that are unknown in any case, and longer rounds would refuse teams within their quota.
const maxSilence clock.Millis = 1_000

// recordSummary records the arrival of another data centre's summary.
func (i *isolation) recordSummary(now clock.Millis, dataCentre string) {
	if i.summaryAt == nil {
		i.summaryAt = map[string]clock.Millis{}
	}
	i.remoteAt, i.summaryAt[dataCentre] = now, now
}

// silence returns for how long the summaries of some data centre have been missing, 0 if none are.
// A relay sends a full summary four times a second, so a gap of up to relayTimeout is usual. A data
// centre that never sent one, or not for a long time, doesn't count.
func (i *isolation) silence(now clock.Millis) clock.Millis {
	longest := clock.Millis(0)
	for _, at := range i.summaryAt {
		if gap := now - at; gap > relayTimeout && gap <= forgetDataCentreAfter {
			longest = max(longest, gap)
		}
	}
	return min(longest, maxSilence)
}

// isolated reports whether this daemon, or with summaries its data centre, is partitioned. A
// daemon receives digests of its own data centre several times a second. They keep arriving if
// the whole data centre is partitioned. Only missing summaries of other data centres reveal that.
func (i *isolation) isolated(now clock.Millis, summaries bool) bool {
	if now-max(i.digestAt, i.startedAt) > isolationTimeout {
		return true
	}
	return summaries && now-max(i.remoteAt, i.startedAt) > dataCentreIsolationTimeout
}
