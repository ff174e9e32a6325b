// Package fleet starts a small fleet of the system's programs and of simulated engines and
// services on loopback, for demos, failure tests and experiments.
package fleet

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"toucanhinge.example/lab/pkg/load"
	"toucanhinge.example/lab/pkg/operator"
	"toucanhinge.example/lab/pkg/relay"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Fleet is a running fleet. Sidecar n serves engine n. The sidecars of plain services are
// numbered after those of the engines.
type Fleet struct {
	Config        Config
	Controls      []*Node
	Gateways      []*Node
	Sidecars      []*Node
	Engines       []*Node
	PlainServices []*Node
	// PlainSidecars are the sidecars of the plain services, in the same order.
	PlainSidecars []*Node
	VMList        *Node
	// Relays are the relays in front of the control VMs, if Config.Relayed is set.
	Relays   []*relay.Relay
	Operator *operator.Operator

	http *http.Client
}

// New starts a fleet, waits until all processes are ready and applies the lab's
// configuration. On an error it ends all processes that it started.
func New(ctx context.Context, config Config) (*Fleet, error) {
	f, err := Start(ctx, config)
	if err != nil {
		return nil, err
	}
	if err := f.Setup(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Start starts a fleet and waits until all processes are ready, but applies no configuration.
func Start(ctx context.Context, config Config) (*Fleet, error) {
	f := &Fleet{Config: config.withDefaults(), http: load.NewClient(maxClientConnections)}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// maxClientConnections is high enough for all concurrent callers of an experiment.
const maxClientConnections = 2048

func (f *Fleet) start(ctx context.Context) error {
	if err := makeFolder(f.Config.Folder); err != nil {
		return err
	}
	for _, build := range []func() error{f.addVMList, f.addControls, f.addGateways, f.addEngines, f.addPlainServices} {
		if err := build(); err != nil {
			return err
		}
	}
	for _, n := range f.Nodes() {
		if err := n.Start(); err != nil {
			return err
		}
	}
	for _, n := range f.Nodes() {
		if err := n.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Nodes returns all processes in start order.
func (f *Fleet) Nodes() []*Node {
	var all []*Node
	if f.VMList != nil {
		all = append(all, f.VMList)
	}
	for _, nodes := range [][]*Node{f.Controls, f.Engines, f.PlainServices, f.Sidecars, f.PlainSidecars, f.Gateways} {
		all = append(all, nodes...)
	}
	return all
}

// SystemNodes returns the processes of the system itself, without simulated engines and services.
func (f *Fleet) SystemNodes() []*Node {
	var all []*Node
	for _, nodes := range [][]*Node{f.Controls, f.Sidecars, f.PlainSidecars, f.Gateways} {
		all = append(all, nodes...)
	}
	return all
}

// Stop stops all processes gracefully. Gateways, which accept work, stop first, and the
// control VMs, which store the state, stop after the sidecars.
func (f *Fleet) Stop() error {
	batches := [][]*Node{f.Gateways, append(append([]*Node(nil), f.Sidecars...), f.PlainSidecars...), f.Controls, f.Engines, f.PlainServices}
	if f.VMList != nil {
		batches = append(batches, []*Node{f.VMList})
	}
	for _, nodes := range batches {
		if err := stopAll(nodes); err != nil {
			return err
		}
	}
	return nil
}

func stopAll(nodes []*Node) error {
	errs := make([]error, len(nodes))
	var stops sync.WaitGroup
	for i, n := range nodes {
		if n.Process() == nil || n.Process().Ended() {
			continue
		}
		stops.Go(func() { errs[i] = n.Stop() })
	}
	stops.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Close kills all processes that still run and closes the relays.
func (f *Fleet) Close() {
	for _, n := range f.Nodes() {
		n.terminate()
	}
	for _, r := range f.Relays {
		r.Close()
	}
}

// Target returns gateway n, modulo the number of gateways, as a target of the load generator.
func (f *Fleet) Target(n int) load.Target {
	return load.Target{URL: f.Gateways[n%len(f.Gateways)].URL(), Key: TeamKey, Client: f.http}
}

// EngineTarget returns engine n, modulo the number of engines, as a target that bypasses the gateways.
func (f *Fleet) EngineTarget(n int) load.Target {
	return load.Target{URL: f.Engines[n%len(f.Engines)].URL(), Client: f.http}
}

// ControlAddresses returns the addresses of the control VMs.
func (f *Fleet) ControlAddresses() []string {
	addresses := make([]string, len(f.Controls))
	for i, n := range f.Controls {
		addresses[i] = n.Address
	}
	return addresses
}

// Setup applies the lab's configuration and waits until every gateway can run a call.
func (f *Fleet) Setup(ctx context.Context) error {
	entries := []*toucanhingev1.Entry{
		operator.ModelServiceEntry(ModelService, &toucanhingev1.Service{Model: Model}),
		operator.PlainServiceEntry(PlainService),
		operator.TeamEntry(TeamName, TeamKey),
		operator.TeamEntry(OtherTeam, OtherTeamKey),
	}
	for i, name := range f.Config.DataCentres {
		entries = append(entries, operator.DataCentreEntry(name, "region-1"))
		for _, other := range f.Config.DataCentres[:i] {
			entries = append(entries, operator.LinkEntry(other, name, 300))
		}
	}
	for _, team := range []string{TeamName, OtherTeam} {
		for _, service := range []string{ModelService, PlainService} {
			entries = append(entries, operator.ContractEntry(team, service))
		}
	}
	version := uint64(0)
	for _, e := range entries {
		applied, err := f.Operator.Apply(ctx, e)
		if err != nil {
			return fmt.Errorf("apply the lab's configuration: %w", err)
		}
		version = applied.GetVersion()
	}
	if err := f.WaitForVersion(ctx, version); err != nil {
		return err
	}
	return f.WaitServing(ctx)
}

// WaitForVersion waits until every daemon applies at least this configuration version.
func (f *Fleet) WaitForVersion(ctx context.Context, version uint64) error {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	for !f.versionApplied(ctx, version) {
		if ctx.Err() != nil {
			return fmt.Errorf("wait for configuration version %d: %w", version, ErrNotReady)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

func (f *Fleet) versionApplied(ctx context.Context, version uint64) bool {
	status, err := f.Operator.ConfigStatus(ctx)
	if err != nil {
		return false
	}
	versions := make(map[string]uint64)
	for _, p := range status.GetProcesses() {
		versions[p.GetName()] = p.GetVersion()
	}
	for _, n := range f.daemons() {
		if versions[n.Name] < version {
			return false
		}
	}
	return true
}

func (f *Fleet) daemons() []*Node {
	return append(append(append([]*Node(nil), f.Gateways...), f.Sidecars...), f.PlainSidecars...)
}

// ApplyLinkChange applies the n-th of a series of configuration changes that do not affect requests.
func (f *Fleet) ApplyLinkChange(ctx context.Context, n int) (*toucanhingev1.Entry, error) {
	return f.Operator.Apply(ctx, f.LinkChange(n))
}

// LinkChange returns the entry of the n-th change that ApplyLinkChange applies. Each n has its own latency.
func (f *Fleet) LinkChange(n int) *toucanhingev1.Entry {
	return operator.LinkEntry(f.Config.DataCentres[0], f.Config.DataCentres[1], uint32(1000+n))
}

// WaitServing waits until a small call through every gateway succeeds.
func (f *Fleet) WaitServing(ctx context.Context) error {
	if len(f.Sidecars) == 0 {
		return nil
	}
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	mix := load.Mix{Model: Model, UniqueBytes: 20, MinTokens: 1, Name: "probe-" + strconv.FormatInt(time.Now().UnixNano(), 36)}
	for g := range f.Gateways {
		for number := g; ; number += len(f.Gateways) {
			outcome := f.Target(g).Call(ctx, mix.Make(number), time.Now())
			if outcome.Complete {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("probe call through %s failed with status %d %s: %w",
					f.Gateways[g].Name, outcome.Status, outcome.Reason, ErrNotReady)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}
