package carrier

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

func TestHowLongEventsAreHeldBack(t *testing.T) {
	for _, c := range []struct {
		name     string
		gateways int
		// late is how often this process was late in a row, calm how often it was in time then.
		late, calm int
		want       clock.Millis
	}{
		{"a few gateways", 8, 0, 0, 50},
		{"27 gateways", 27, 0, 0, 67},
		{"89 gateways", 89, 0, 0, 222},
		{"380 gateways", 380, 0, 0, 500},
		{"27 gateways, a leader late once", 27, 1, 0, 94},
		{"27 gateways, a leader that is late all the time", 27, 20, 0, 500},
		{"27 gateways, in time again", 27, 20, 80, 67},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gathering{}
			for range c.late {
				g.note(30)
			}
			for range c.calm {
				g.note(1)
			}
			require.InDelta(t, float64(c.want), float64(g.span(c.gateways)), 1)
		})
	}
}
