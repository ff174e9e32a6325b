// Package newsfleet runs a fleet of gateways before real VMs of the core in one process, with
// real connections, to see how the news of the core reach them while some of them fail. The
// gateways are what follows the core and passes its news on; they serve no caller.
package newsfleet

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"toucanhinge.example/common/pkg/routing"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// vms is the number of VMs of the core: three vote, so one may be lost.
const vms = 3

// pollEvery is how often a condition that is waited for is looked at.
const pollEvery = 2 * time.Millisecond

// ErrTimeout tells that something didn't happen in time.
var ErrTimeout = errors.New("it didn't happen in time")

// Config describes a fleet.
type Config struct {
	// Folder is where the VMs of the core keep their disks.
	Folder   string
	Gateways int
	// DataCentres is the number of data centres over which the gateways are spread.
	DataCentres int
	// Runners is the number of runners on the list.
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

// Start starts a fleet; its gateways may not know anything yet.
func Start(c Config) (*Fleet, error) {
	f := &Fleet{}
	for n := range c.Runners {
		f.runners = append(f.runners, &toucanhingev1.Runner{
			Id: fmt.Sprintf("i-%08x", n), Address: fmt.Sprintf("10.9.%d.%d:8566", n/250, n%250), Service: "llm", DataCentre: centre(n % c.DataCentres), Slots: 7,
		})
	}
	var addresses []string
	for range vms {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	for n, address := range addresses {
		v := &VM{
			name: fmt.Sprintf("vm-%d", n), address: address, addresses: addresses, folder: filepath.Join(c.Folder, fmt.Sprint(n)), founders: addresses,
			runners: f.list,
		}
		if err := v.Start(); err != nil {
			f.Stop()
			return nil, err
		}
		f.VMs = append(f.VMs, v)
	}
	for n := range c.Gateways {
		g := &Gateway{name: fmt.Sprintf("gateway-%d", n), dataCentre: centre(n % c.DataCentres), cores: addresses}
		if err := g.Start(); err != nil {
			f.Stop()
			return nil, err
		}
		f.Gateways = append(f.Gateways, g)
	}
	return f, nil
}

func centre(n int) string { return fmt.Sprintf("dc-%d", n) }

// Stop ends all processes.
func (f *Fleet) Stop() {
	for _, g := range f.Gateways {
		g.Kill()
	}
	for _, v := range f.VMs {
		v.Kill()
	}
}

func (f *Fleet) list() []*toucanhingev1.Runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*toucanhingev1.Runner{}, f.runners...)
}

// RemoveRunner takes a runner off the list, and returns how many are left.
func (f *Fleet) RemoveRunner() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runners = f.runners[1:]
	return len(f.runners)
}

// Leader is the VM that leads, nil if none does.
func (f *Fleet) Leader() *VM {
	for _, v := range f.VMs {
		if v.Leads() {
			return v
		}
	}
	return nil
}

// ReplaceTable puts the next routing table in force, and returns its version once it is
// acknowledged.
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
		time.Sleep(pollEvery)
	}
	return 0, fmt.Errorf("replace the table: %w", ctx.Err())
}

// Await waits until a condition holds at gateways, and returns how long that took.
func Await(gateways []*Gateway, most time.Duration, holds func(*Gateway) bool) (time.Duration, error) {
	began := time.Now()
	for {
		missing := 0
		last := ""
		for _, g := range gateways {
			if !holds(g) {
				missing++
				last = g.name
			}
		}
		took := time.Since(began)
		if missing == 0 {
			return took, nil
		}
		if took > most {
			return took, fmt.Errorf("%w: at %d of %d gateways, %s one of them, after %s", ErrTimeout, missing, len(gateways), last, most)
		}
		time.Sleep(pollEvery)
	}
}

// SubscribeCalls counts the calls for news that VMs of the core answered, by outcome.
func (f *Fleet) SubscribeCalls() map[string]float64 {
	counts := map[string]float64{}
	for _, v := range f.VMs {
		v.addAttends(counts)
	}
	return counts
}

// counterValues adds up the values of a counter by its only label.
func counterValues(registry *prometheus.Registry, name string, counts map[string]float64) {
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

// tableVersion is the version of a table, 0 for none.
func tableVersion(t *routing.Table) uint64 {
	if t == nil {
		return 0
	}
	return t.Version
}
