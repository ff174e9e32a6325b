// Package updatefleet runs a fleet of gateways and real VMs of the core in one process, with real
// connections, to test how state updates of the core reach the gateways while some of them fail.
// The gateways only subscribe to the core and forward its updates; they serve no callers.
package updatefleet

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"toucanhinge.example/common/pkg/routing"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// vmCount is the number of VMs of the core. All three vote, so one may fail.
const vmCount = 3

// pollInterval is the interval at which an awaited condition is checked.
const pollInterval = 2 * time.Millisecond

// ErrTimeout reports that a condition did not hold in time.
var ErrTimeout = errors.New("timed out waiting for a condition")

// Config sets the size of a Fleet.
type Config struct {
	// Folder holds the data folders of the VMs of the core.
	Folder   string
	Gateways int
	// DataCentres is the number of data centres over which the gateways are spread.
	DataCentres int
	// Runners is the number of runners in the directory.
	Runners int
}

// Fleet is a running fleet.
type Fleet struct {
	VMs      []*VM
	Gateways []*Gateway

	mu      sync.Mutex
	runners []*toucanhingev1.Runner
	version uint64
}

// Start starts a fleet. It doesn't wait until the gateways have received any state.
func Start(c Config) (*Fleet, error) {
	f := &Fleet{}
	for n := range c.Runners {
		f.runners = append(f.runners, &toucanhingev1.Runner{
			Id: fmt.Sprintf("i-%08x", n), Address: fmt.Sprintf("10.9.%d.%d:8566", n/250, n%250), Service: "llm", DataCentre: dataCentreName(n % c.DataCentres), Slots: 7,
		})
	}
	var addresses []string
	for range vmCount {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	for n, address := range addresses {
		v := &VM{
			name: fmt.Sprintf("vm-%d", n), address: address, addresses: addresses, folder: filepath.Join(c.Folder, fmt.Sprint(n)), foundingMembers: addresses,
			runners: f.runnerList,
		}
		if err := v.Start(); err != nil {
			f.Stop()
			return nil, err
		}
		f.VMs = append(f.VMs, v)
	}
	for n := range c.Gateways {
		g := &Gateway{name: fmt.Sprintf("gateway-%d", n), dataCentre: dataCentreName(n % c.DataCentres), coreAddresses: addresses}
		if err := g.Start(); err != nil {
			f.Stop()
			return nil, err
		}
		f.Gateways = append(f.Gateways, g)
	}
	return f, nil
}

func dataCentreName(n int) string { return fmt.Sprintf("dc-%d", n) }

// Stop kills all gateways and VMs.
func (f *Fleet) Stop() {
	for _, g := range f.Gateways {
		g.Kill()
	}
	for _, v := range f.VMs {
		v.Kill()
	}
}

func (f *Fleet) runnerList() []*toucanhingev1.Runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*toucanhingev1.Runner{}, f.runners...)
}

// RemoveRunner removes a runner from the directory and returns the number of remaining ones.
func (f *Fleet) RemoveRunner() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runners = f.runners[1:]
	return len(f.runners)
}

// Leader returns the leader of the core, or nil if there is none.
func (f *Fleet) Leader() *VM {
	for _, v := range f.VMs {
		if v.Leads() {
			return v
		}
	}
	return nil
}

// ReplaceTable applies the next routing table and returns its version once the core has
// acknowledged it.
func (f *Fleet) ReplaceTable(ctx context.Context) (uint64, error) {
	f.mu.Lock()
	f.version++
	version := f.version
	f.mu.Unlock()
	table := &toucanhingev1.RoutingTable{Version: version, Services: []*toucanhingev1.RoutedService{{Name: "llm"}}}
	for ctx.Err() == nil {
		if v := f.Leader(); v != nil {
			if err := v.replaceTable(ctx, table); err == nil {
				return version, nil
			}
		}
		time.Sleep(pollInterval)
	}
	return 0, fmt.Errorf("replace the table: %w", ctx.Err())
}

// Describe returns the state of the VMs of the core, for the message of a failed test.
func (f *Fleet) Describe() string {
	var descriptions []string
	for _, v := range f.VMs {
		descriptions = append(descriptions, v.describe())
	}
	return strings.Join(descriptions, "\n")
}

// Await waits until a condition holds at all given gateways and returns how long that took.
func Await(gateways []*Gateway, timeout time.Duration, holds func(*Gateway) bool) (time.Duration, error) {
	startedAt := time.Now()
	for {
		var missing []*Gateway
		for _, g := range gateways {
			if !holds(g) {
				missing = append(missing, g)
			}
		}
		elapsed := time.Since(startedAt)
		if len(missing) == 0 {
			return elapsed, nil
		}
		if elapsed > timeout {
			return elapsed, fmt.Errorf("%w: %d of %d gateways after %s; %s", ErrTimeout, len(missing), len(gateways), timeout, describe(missing))
		}
		time.Sleep(pollInterval)
	}
}

// maxDescribed is the number of gateways that an error describes.
const maxDescribed = 3

// describe returns what some gateways know, and the names of all.
func describe(gateways []*Gateway) string {
	var names, descriptions []string
	for n, g := range gateways {
		names = append(names, g.name)
		if n < maxDescribed {
			descriptions = append(descriptions, g.describe())
		}
	}
	return strings.Join(names, ", ") + "\n" + strings.Join(descriptions, "\n")
}

// SubscribeCalls returns the number of subscribe calls at the VMs of the core, by outcome.
func (f *Fleet) SubscribeCalls() map[string]float64 {
	counts := map[string]float64{}
	for _, v := range f.VMs {
		v.addSubscribeCalls(counts)
	}
	return counts
}

// addCounterValues adds the values of a counter with one label to counts, by label value.
func addCounterValues(registry *prometheus.Registry, name string, counts map[string]float64) {
	families, err := registry.Gather()
	if err != nil {
		return
	}
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, m := range family.GetMetric() {
			counts[m.GetLabel()[0].GetValue()] += m.GetCounter().GetValue()
		}
	}
}

// tableVersion returns the version of a table, or 0 if there is none.
func tableVersion(t *routing.Table) uint64 {
	if t == nil {
		return 0
	}
	return t.Version
}
