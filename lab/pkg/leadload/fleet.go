// Package leadload generates the load of a large fleet for real VMs of the core: gateways that
// report bursts of online requests, proxy items' calls to simulated runners, submit jobs and read
// results. Each VM runs in its own process and writes a CPU profile that shows where the leader
// spends its processor time.
package leadload

import (
	"fmt"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	service = "llm"
	host    = "team"
	prefix  = "/jobs/"
	// dataCentres is the number of data centres of the large deployment.
	dataCentres = 5
)

// Fleet is the size and the load of a fleet. The defaults are those of the users' large
// deployment.
type Fleet struct {
	Gateways int `arg:"--gateways" default:"89" help:"gateways"`
	Runners  int `arg:"--runners" default:"144" help:"runners"`
	Slots    int `arg:"--slots" default:"7" help:"requests that a runner runs concurrently"`
	// Online is the mean rate of online requests per second; they come in bursts.
	Online float64 `arg:"--online" default:"771" help:"online requests per second"`
	// Jobs is the rate of jobs per second, with Items items each.
	Jobs  float64 `arg:"--jobs" default:"9.46" help:"jobs per second"`
	Items int     `arg:"--items" default:"10" help:"items of a job"`
	// Events is the number of events in an item's answer.
	Events int `arg:"--events" default:"93" help:"events of an item"`
}

// Times of the large deployment.
const (
	// onlineDuration is how long an online request holds its slot.
	onlineDuration clock.Millis = 790
	// eventInterval is the time between two events of an answer.
	eventInterval clock.Millis = 56
	// burstPeriod is the interval between bursts. A burst lasts from burstStart to the end of
	// the period.
	burstPeriod clock.Millis = 6_600
	burstStart  clock.Millis = 3_800
	// burstRate and quietRate are multiples of the mean rate.
	burstRate = 1.84
	quietRate = 0.377
	// jobDeadline is the time from a job's submission to its deadline.
	jobDeadline clock.Millis = 18_000
)

func dataCentre(i int) string { return fmt.Sprintf("dc-%d", i%dataCentres) }

func (f Fleet) runnerList() []*toucanhingev1.Runner {
	var runners []*toucanhingev1.Runner
	for i := range f.Runners {
		runners = append(runners, &toucanhingev1.Runner{
			Id: fmt.Sprintf("i-%08x", i), Address: "127.0.0.1:1", Service: service, DataCentre: dataCentre(i), Slots: uint32(f.Slots),
		})
	}
	return runners
}

func (f Fleet) routingTable() *toucanhingev1.RoutingTable {
	return &toucanhingev1.RoutingTable{
		Version: 1, Services: []*toucanhingev1.RoutedService{{Name: service}},
		Routes: []*toucanhingev1.Route{{
			Name: "jobs", Host: host, Prefix: prefix, Kind: toucanhingev1.RouteKind_ROUTE_KIND_BATCH, TimeLimitMs: 8_000, MaxAttempts: 3,
			CompletionMs: uint32(jobDeadline), RetentionMs: 60_000, Shares: []*toucanhingev1.RouteShare{{Service: service, Weight: 1}},
		}},
	}
}

// onlineRate returns the rate of online requests per second at a given time.
func (f Fleet) onlineRate(now clock.Millis) float64 {
	if now%burstPeriod >= burstStart {
		return burstRate * f.Online
	}
	return quietRate * f.Online
}
