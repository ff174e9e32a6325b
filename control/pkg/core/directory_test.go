package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

// The directory has a page for some of the runners, and a call a page: read twice a second on a
// fleet whose bound is five seconds, two calls in five told nobody anything.
func TestTheDirectoryIsReadAsOftenAsTheBoundAsks(t *testing.T) {
	for _, c := range []struct {
		bound clock.Millis
		every time.Duration
	}{
		{0, 500 * time.Millisecond},
		{3_000, 500 * time.Millisecond},
		{4_200, 700 * time.Millisecond},
		{60_000, time.Second},
	} {
		require.Equal(t, c.every, directoryEvery(c.bound), "%d", c.bound)
	}
}
