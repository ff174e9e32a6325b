package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

// A leader is short of processor time, and its heartbeats come later and later. Deposed, it
// would hand all of its work to one that is as short of time a moment later. When it dies on a
// calm day, it is replaced as soon as ever.
func TestALeaderThatIsOnlyLateStays(t *testing.T) {
	const timeout = clock.Millis(300)
	p := patience{timeout: timeout}
	for range 100 {
		p.note(75)
	}
	require.Equal(t, timeout, p.span(), "in time")
	for _, gap := range []clock.Millis{120, 200, 290} {
		p.note(gap)
	}
	require.EqualValues(t, 3*290, p.span(), "late")
	p.note(10_000)
	require.EqualValues(t, mostPatience*timeout, p.span(), "but not for ever")
	for range 150 {
		p.note(75)
	}
	require.Equal(t, timeout, p.span(), "in time again")
}
