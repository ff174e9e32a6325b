package bench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/lab/pkg/load"
)

func TestRecoveryNeedsTwoNormalWindows(t *testing.T) {
	scenarios := []struct {
		name string
		slow []int
		want time.Duration
	}{
		{"never slow", nil, 0},
		{"slow for two windows", []int{0, 1}, 2 * endpointLossWindow},
		{"slow again after one", []int{0, 2}, 3 * endpointLossWindow},
		{"one slow call long after", []int{0, 9}, endpointLossWindow},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			f := &firstTokenTimes{}
			for range endpointLossDuration / endpointLossWindow {
				h := load.NewHistogram()
				h.Record(20 * time.Millisecond)
				f.windows = append(f.windows, h)
			}
			for _, after := range s.slow {
				f.windows[int(endpointLossAt/endpointLossWindow)+after].Record(time.Second)
			}
			require.Equal(t, s.want, f.recovery())
		})
	}
}
