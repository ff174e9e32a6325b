package digest

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

// A gateway is partitioned while a team sends far more than its limit on both sides. Each side
// admits the quota that it believes is left until the gateway detects the partition. Detection
// later than a second exceeds the overrun margin, with and without summaries.
func TestIsolationIsDetectedInTime(t *testing.T) {
	const partitionedAt clock.Millis = 10_000
	for _, c := range []struct {
		name string
		// localDigests is set if digests of the own data centre still arrive.
		summaries, localDigests bool
		maxDelay                clock.Millis
	}{
		{"gateway, without summaries", false, false, isolationTimeout},
		{"gateway, with summaries", true, false, isolationTimeout},
		{"data centre, with summaries", true, true, dataCentreIsolationTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := isolation{startedAt: 1, digestAt: partitionedAt, remoteAt: partitionedAt}
			now := partitionedAt
			for !i.isolated(now, c.summaries) {
				now++
				if c.localDigests && now%heartbeatInterval == 0 {
					i.digestAt = now
				}
			}
			require.LessOrEqual(t, now-partitionedAt, c.maxDelay+1)
		})
	}
}
