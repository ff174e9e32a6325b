package callproxy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

func TestFlushInterval(t *testing.T) {
	for _, c := range []struct {
		name     string
		gateways int
		// late is how often this process was late in a row, and inTime how often it was in time afterwards.
		late, inTime int
		want         clock.Millis
	}{
		{"8 gateways", 8, 0, 0, 50},
		{"27 gateways", 27, 0, 0, 67},
		{"89 gateways", 89, 0, 0, 222},
		{"380 gateways", 380, 0, 0, 500},
		{"27 gateways, leader late once", 27, 1, 0, 94},
		{"27 gateways, leader always late", 27, 20, 0, 500},
		{"27 gateways, leader in time again", 27, 20, 80, 67},
	} {
		t.Run(c.name, func(t *testing.T) {
			tuner := flushTuner{}
			for range c.late {
				tuner.recordLag(30)
			}
			for range c.inTime {
				tuner.recordLag(1)
			}
			require.InDelta(t, float64(c.want), float64(tuner.interval(c.gateways)), 1)
		})
	}
}
