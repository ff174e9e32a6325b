package updatefleet

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/digest"
	"toucanhinge.example/common/pkg/runner"
	"toucanhinge.example/common/pkg/web"
	"toucanhinge.example/control/pkg/core"
	"toucanhinge.example/lab/pkg/process"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

var errNoRunner = errors.New("no runner accepts calls in this fleet")

// VM is one VM of the core.
type VM struct {
	name      string
	address   string
	addresses []string
	folder    string
	// foundingMembers bootstrap the group at the first start.
	foundingMembers []string
	runners         func() []*toucanhingev1.Runner

	lines recentLines

	mu       sync.Mutex
	running  bool
	core     *core.Core
	server   *web.Server
	registry *prometheus.Registry
	cancel   context.CancelFunc
	// earlierCalls holds the subscribe calls counted before the last restart, by outcome.
	earlierCalls map[string]float64
}

func freeAddress() (string, error) { return process.FreeAddress() }

// Start starts the VM with the state in its data folder.
func (v *VM) Start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	x, err := digest.Listen(digest.Config{
		Address: v.address, Source: v.name, DataCentre: dataCentreName(0), Core: true, Clock: clock.System(), Logger: log.NewNopLogger(),
		Version: func() uint64 { return 0 },
	})
	if err != nil {
		return fmt.Errorf("start digest exchange: %w", err)
	}
	v.registry = prometheus.NewRegistry()
	v.core, err = core.Open(core.Config{
		Name: v.name, Address: v.address, DataCentre: dataCentreName(0), Folder: v.folder, FoundingMembers: v.foundingMembers, ToleratedLosses: 1,
		Clock: clock.System(), Boot: clock.Boot(), Logger: log.NewLogfmtLogger(&v.lines), Registerer: v.registry, Exchange: x,
		Runners:   runner.Client{Open: func(context.Context, runner.Call) (*runner.Answer, error) { return nil, errNoRunner }},
		Directory: func(context.Context) ([]*toucanhingev1.Runner, error) { return v.runners(), nil },
		Core:      newClient(v.addresses), Seeds: func() []string { return v.addresses },
		Fatal: func(error) {},
	})
	if err != nil {
		return fmt.Errorf("open core: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle(toucanhingev1connect.NewReplicaServiceHandler(v.core.ReplicaServer()))
	mux.Handle(toucanhingev1connect.NewCoreServiceHandler(v.core))
	if v.server, err = web.Listen(v.address, mux); err != nil {
		return fmt.Errorf("listen for internal calls: %w", err)
	}
	go func() { _ = v.server.Serve() }()
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	go x.Run(ctx)
	v.core.Start()
	v.running, v.foundingMembers = true, nil
	return nil
}

// Kill stops the VM without a leadership transfer; its data folder is retained.
func (v *VM) Kill() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.running {
		return
	}
	v.running = false
	if v.earlierCalls == nil {
		v.earlierCalls = map[string]float64{}
	}
	addCounterValues(v.registry, subscribeCounter, v.earlierCalls)
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	_ = v.server.Shutdown(expired)
	v.cancel()
	v.core.Stop(expired)
}

// subscribeCounter is the metric that counts subscribe calls of gateways at a VM of the core.
const subscribeCounter = "toucanhinge_attend_calls_total"

func (v *VM) addSubscribeCalls(counts map[string]float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for outcome, count := range v.earlierCalls {
		counts[outcome] += count
	}
	if v.running {
		addCounterValues(v.registry, subscribeCounter, counts)
	}
}

// Leads reports whether the VM is running and is the leader.
func (v *VM) Leads() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.running && v.core.Leader() == v.address
}

// describe returns the VM's role, its subscribe calls by outcome and its last log lines.
func (v *VM) describe() string {
	calls := map[string]float64{}
	v.addSubscribeCalls(calls)
	return fmt.Sprintf("%s: leads %t, subscribe calls %v; last log lines:\n%s", v.name, v.Leads(), calls, v.lines.String())
}

func (v *VM) replaceTable(ctx context.Context, table *toucanhingev1.RoutingTable) error {
	v.mu.Lock()
	vm, running := v.core, v.running
	v.mu.Unlock()
	if !running {
		return errNoRunner
	}
	_, err := vm.ReplaceTable(ctx, table)
	return err
}

func newClient(addresses []string) *control.Client {
	return control.New(control.Config{Addresses: addresses, NewHTTP: web.NewClient, FindLeader: control.QueryLeader})
}
