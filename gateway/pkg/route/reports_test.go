package route

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

// A gateway that serves 14 services of 40 endpoints each spent 1,120 calls a
// second on reports alone, many times its budget for control. Reports are
// counted over a minute of virtual time: idle services are asked seldom, busy
// ones as often as the budget allows, and one that wakes up soon.
func TestReportsKeepTheirBudget(t *testing.T) {
	scenarios := []struct {
		name     string
		services int
		busy     int
		most     int
		least    int
	}{
		{"one small busy service is asked twice a second", 1, 1, 60 * 40 * 2, 60 * 40},
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
				r.SetEndpoints(fmt.Sprint("service-", n), manyEndpoints(n, 40))
			}
			count := 0
			for now := clock.Millis(0); now < 70_000; now += 50 {
				for n := range s.busy {
					r.Choose(now, Request{Service: fmt.Sprint("service-", n), Budget: 1_000})
				}
				due := r.DuePolls(now)
				for _, name := range due {
					load := idle()
					r.RecordPoll(now, name, &load)
				}
				if now >= 10_000 {
					count += len(due)
				}
			}
			require.LessOrEqual(t, count, s.most)
			require.GreaterOrEqual(t, count, s.least)
		})
	}
}

// After an idle time the loads are old; the first request makes them due soon.
func TestAWakingServiceIsAskedSoon(t *testing.T) {
	config := testConfig()
	config.SubsetSize, config.MaxPollRate = 40, 10
	r := New(config)
	r.SetEndpoints("service-0", manyEndpoints(0, 40))
	r.DuePolls(0)
	require.Empty(t, r.DuePolls(600))
	r.Choose(1_000, Request{Service: "service-0", Budget: 1_000})
	require.Len(t, r.DuePolls(1_000+config.PollInterval), 40)
}

// An endpoint of an idle service gives no answer once. Whether it is gone must be
// known soon, so it isn't left for the long span of its service.
func TestASilentEndpointIsAskedAgainSoon(t *testing.T) {
	r := New(testConfig())
	r.SetEndpoints("service-0", manyEndpoints(0, 2))
	r.DuePolls(0)
	r.RecordPoll(10, "0-1", nil)
	require.Equal(t, []string{"0-1"}, r.DuePolls(10+r.config.PollInterval))
}

func manyEndpoints(service, count int) []Endpoint {
	var list []Endpoint
	for n := range count {
		list = append(list, Endpoint{Name: fmt.Sprint(service, "-", n), Address: "127.0.0.1:1", DataCentre: "agdal", Slots: 8})
	}
	return list
}
