package route

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

// Guards against polls that grow with services times endpoints: 14 services of 40 endpoints
// each took 1,120 calls a second, many times the budget for control traffic. The test counts
// polls over a minute of virtual time. Idle services are polled rarely, and busy ones as often
// as MaxPollRate allows.
func TestPollRateIsLimited(t *testing.T) {
	scenarios := []struct {
		name     string
		services int
		busy     int
		maxPolls int
		minPolls int
	}{
		{"one small busy service is polled twice a second", 1, 1, 60 * 40 * 2, 60 * 40},
		{"all idle", 14, 0, 60 * 50, 60 * 20},
		{"all busy", 14, 14, 60 * 50, 60 * 20},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			config := testConfig()
			config.SubsetSize, config.MaxPollRate = 40, 50
			if s.services == 1 {
				config.MaxPollRate = 100
			}
			r := New(config)
			for n := range s.services {
				r.SetEndpoints(fmt.Sprint("service-", n), newServiceEndpoints(n, 40))
			}
			count := 0
			for now := clock.Millis(0); now < 70_000; now += 50 {
				for n := range s.busy {
					r.Choose(now, Request{Service: fmt.Sprint("service-", n), Budget: 1_000})
				}
				due := r.DuePolls(now)
				for _, name := range due {
					load := idleLoad()
					r.RecordPoll(now, name, &load)
				}
				if now >= 10_000 {
					count += len(due)
				}
			}
			require.LessOrEqual(t, count, s.maxPolls)
			require.GreaterOrEqual(t, count, s.minPolls)
		})
	}
}

// Load reports are old after an idle time, so the first request must make the polls due soon.
func TestRequestAfterIdleTimeMakesPollsDue(t *testing.T) {
	config := testConfig()
	config.SubsetSize, config.MaxPollRate = 40, 10
	r := New(config)
	r.SetEndpoints("service-0", newServiceEndpoints(0, 40))
	r.DuePolls(0)
	require.Empty(t, r.DuePolls(600))
	r.Choose(1_000, Request{Service: "service-0", Budget: 1_000})
	require.Len(t, r.DuePolls(1_000+config.PollInterval), 40)
}

// An endpoint of an idle service misses one poll. The next poll must follow soon and not after
// the service's long interval, so that a lost endpoint is detected quickly.
func TestMissedPollIsRepeatedSoon(t *testing.T) {
	r := New(testConfig())
	r.SetEndpoints("service-0", newServiceEndpoints(0, 2))
	r.DuePolls(0)
	r.RecordPoll(10, "0-1", nil)
	require.Equal(t, []string{"0-1"}, r.DuePolls(10+r.config.PollInterval))
}

func newServiceEndpoints(service, count int) []Endpoint {
	var list []Endpoint
	for n := range count {
		list = append(list, Endpoint{Name: fmt.Sprint(service, "-", n), Address: "127.0.0.1:1", DataCentre: "agdal", Slots: 8})
	}
	return list
}
