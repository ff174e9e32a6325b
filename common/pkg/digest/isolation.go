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
)

// isolation distinguishes a daemon that is partitioned from one in an idle fleet. All times are
// by the boot clock.
type isolation struct {
	// startedAt is when this daemon started to listen.
	startedAt clock.Millis
	// digestAt is when the last digest arrived from any daemon, remoteAt when the last summary
	// of another data centre arrived, in fleets that use summaries.
	digestAt, remoteAt clock.Millis
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
