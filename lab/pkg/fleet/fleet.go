// Package fleet starts a small fleet of the system's programs and stand-ins on
// loopback, for demos, failure tests and experiments.
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

// Fleet is a running fleet. Sidecar n stands before engine n; the sidecars of
// plain services follow those of engines.
type Fleet struct {
	Config   Config
	Controls []*Node
	Gateways []*Node
	Sidecars []*Node
	Engines  []*Node
	PlainServices   []*Node
	// PlainSidecars stand before the plain services.
	PlainSidecars []*Node
	VMList        *Node
	// Relays stand before the controls, when the fleet is relayed.
	Relays   []*relay.Relay
	Operator *operator.Operator

	http *http.Client
}

// New starts a fleet, waits until all is ready and applies the lab's configuration.
// On an error everything started is ended.
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

// Start starts a fleet without any configuration.
func Start(ctx context.Context, config Config) (*Fleet, error) {
	f := &Fleet{Config: config.withDefaults(), http: load.NewClient(clientConnections)}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// clientConnections is enough for every caller of an experiment.
const clientConnections = 2048

func (f *Fleet) start(ctx context.Context) error {
	if err := makeFolder(f.Config.Folder); err != nil {
		return err
	}
	for _, build := range []func() error{f.addVMList, f.addControls, f.addGateways, f.addEngines, f.addPlains} {
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

// Nodes is every program, in the order of starting.
func (f *Fleet) Nodes() []*Node {
	var all []*Node
	if f.VMList != nil {
		all = append(all, f.VMList)
	}
	for _, some := range [][]*Node{f.Controls, f.Engines, f.PlainServices, f.Sidecars, f.PlainSidecars, f.Gateways} {
		all = append(all, some...)
	}
	return all
}

// SystemNodes is the system's own programs without stand-ins.
func (f *Fleet) SystemNodes() []*Node {
	var all []*Node
	for _, some := range [][]*Node{f.Controls, f.Sidecars, f.PlainSidecars, f.Gateways} {
		all = append(all, some...)
	}
	return all
}

// Stop stops all gracefully: first who takes in work, last who keeps the state.
func (f *Fleet) Stop() error {
	order := [][]*Node{f.Gateways, append(append([]*Node(nil), f.Sidecars...), f.PlainSidecars...), f.Controls, f.Engines, f.PlainServices}
	if f.VMList != nil {
		order = append(order, []*Node{f.VMList})
	}
	for _, some := range order {
		if err := stopTogether(some); err != nil {
			return err
		}
	}
	return nil
}

func stopTogether(nodes []*Node) error {
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

// Close ends whatever still runs, at once.
func (f *Fleet) Close() {
	for _, n := range f.Nodes() {
		n.end()
	}
	for _, r := range f.Relays {
		r.Close()
	}
}

// Target is a gateway for the load generator; calls take the gateways in turn.
func (f *Fleet) Target(n int) load.Target {
	return load.Target{URL: f.Gateways[n%len(f.Gateways)].URL(), Key: TeamKey, Client: f.http}
}

// EngineTarget is an engine itself.
func (f *Fleet) EngineTarget(n int) load.Target {
	return load.Target{URL: f.Engines[n%len(f.Engines)].URL(), Client: f.http}
}

// ControlAddresses is where the controls serve.
func (f *Fleet) ControlAddresses() []string {
	addresses := make([]string, len(f.Controls))
	for i, n := range f.Controls {
		addresses[i] = n.Address
	}
	return addresses
}

// Setup applies the lab's configuration and waits until a call gets through.
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
		accepted, err := f.Operator.Apply(ctx, e)
		if err != nil {
			return fmt.Errorf("set up: %w", err)
		}
		version = accepted.GetVersion()
	}
	if err := f.WaitForVersion(ctx, version); err != nil {
		return err
	}
	return f.WaitServing(ctx)
}

// WaitForVersion waits until every daemon has at least this configuration version in force.
func (f *Fleet) WaitForVersion(ctx context.Context, version uint64) error {
	ctx, stop := context.WithTimeout(ctx, readyWait)
	defer stop()
	for !f.inForce(ctx, version) {
		if ctx.Err() != nil {
			return fmt.Errorf("configuration %d: %w", version, ErrNotReady)
		}
		time.Sleep(pollPause)
	}
	return nil
}

func (f *Fleet) inForce(ctx context.Context, version uint64) bool {
	status, err := f.Operator.ConfigStatus(ctx)
	if err != nil {
		return false
	}
	known := make(map[string]uint64)
	for _, p := range status.GetProcesses() {
		known[p.GetName()] = p.GetVersion()
	}
	for _, n := range f.daemons() {
		if known[n.Name] < version {
			return false
		}
	}
	return true
}

func (f *Fleet) daemons() []*Node {
	return append(append(append([]*Node(nil), f.Gateways...), f.Sidecars...), f.PlainSidecars...)
}

// ApplyLinkChange makes the n-th of a row of changes that have no effect on work.
func (f *Fleet) ApplyLinkChange(ctx context.Context, n int) (*toucanhingev1.Entry, error) {
	return f.Operator.Apply(ctx, f.LinkChange(n))
}

// LinkChange is the n-th of these changes.
func (f *Fleet) LinkChange(n int) *toucanhingev1.Entry {
	return operator.LinkEntry(f.Config.DataCentres[0], f.Config.DataCentres[1], uint32(1000+n))
}

// WaitServing waits until every gateway runs a small call.
func (f *Fleet) WaitServing(ctx context.Context) error {
	if len(f.Sidecars) == 0 {
		return nil
	}
	ctx, stop := context.WithTimeout(ctx, readyWait)
	defer stop()
	mix := load.Mix{Model: Model, UniqueBytes: 20, MinTokens: 1, Name: "probe-" + strconv.FormatInt(time.Now().UnixNano(), 36)}
	for g := range f.Gateways {
		for try := g; ; try += len(f.Gateways) {
			outcome := f.Target(g).Call(ctx, mix.Make(try), time.Now())
			if outcome.Complete {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s answers %d %s: %w", f.Gateways[g].Name, outcome.Status, outcome.Reason, ErrNotReady)
			}
			time.Sleep(pollPause)
		}
	}
	return nil
}
