package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

// The directory is paged, and each page takes one call. When a fleet with a drain notice limit
// of five seconds was read twice a second, two calls in five were unnecessary.
func TestDirectoryIntervalFollowsDrainNoticeLimit(t *testing.T) {
	for _, c := range []struct {
		limit    clock.Millis
		interval time.Duration
	}{
		{0, 500 * time.Millisecond},
		{3_000, 500 * time.Millisecond},
		{4_200, 700 * time.Millisecond},
		{60_000, time.Second},
	} {
		require.Equal(t, c.interval, directoryInterval(c.limit), "limit of %d ms", c.limit)
	}
}
