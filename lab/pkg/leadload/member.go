package leadload

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"runtime/pprof"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/digest"
	"toucanhinge.example/common/pkg/runner"
	"toucanhinge.example/common/pkg/web"
	"toucanhinge.example/control/pkg/core"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

// losses is how many VMs of the core may be lost at the same time, as on the large
// deployment.
const losses = 2

var errNoGateway = errors.New("no gateway took the call")

// Member is one VM of the core, in a process of its own.
type Member struct {
	// Address is its own, Addresses those of all members; the first three form the group.
	Address   string
	Addresses []string
	Folder    string
	// Profile is where the process's processor profile goes.
	Profile string
	Fleet   Fleet
}

// Run serves until the context ends.
func (m Member) Run(ctx context.Context) error {
	profile, err := os.Create(m.Profile)
	if err != nil {
		return fmt.Errorf("profile: %w", err)
	}
	defer func() { _ = profile.Close() }()
	if err := pprof.StartCPUProfile(profile); err != nil {
		return fmt.Errorf("profile: %w", err)
	}
	defer pprof.StopCPUProfile()
	var vm *core.Core
	exchange, err := digest.Listen(digest.Config{
		Address: m.Address, Source: m.Address, DataCentre: dataCentre(0), Core: true, Clock: clock.System(), Logger: log.NewNopLogger(),
		Version: func() uint64 { return 1 }, OnDigest: func(version uint64) { vm.DigestReceived(version) },
	})
	if err != nil {
		return fmt.Errorf("exchange: %w", err)
	}
	vm, err = core.Open(core.Config{
		Name: m.Address, Address: m.Address, DataCentre: dataCentre(0), Folder: filepath.Join(m.Folder, m.Address),
		FoundingMembers: m.founders(), ToleratedLosses: losses, Clock: clock.System(), Logger: log.NewJSONLogger(os.Stdout),
		Registerer: prometheus.NewRegistry(), Exchange: exchange,
		Runners:   runner.Client{Open: func(context.Context, runner.Call) (*runner.Answer, error) { return nil, errNoGateway }},
		Directory: func(context.Context) ([]*toucanhingev1.Runner, error) { return m.Fleet.list(), nil },
		Core:      newClient(m.Addresses[:3]), Seeds: func() []string { return m.Addresses[:3] },
		Fatal: func(err error) { fmt.Fprintln(os.Stderr, err) },
	})
	if err != nil {
		return fmt.Errorf("core: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle(toucanhingev1connect.NewReplicaServiceHandler(vm.ReplicaServer()))
	mux.Handle(toucanhingev1connect.NewCoreServiceHandler(vm))
	mux.Handle(TablePath, m.takeTable(vm))
	server, err := web.Listen(m.Address, mux)
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	go func() { _ = server.Serve() }()
	go exchange.Run(ctx)
	vm.Start()
	<-ctx.Done()
	return m.writeHeap()
}

// writeHeap writes what the process holds in memory beside its processor profile.
func (m Member) writeHeap() error {
	file, err := os.Create(m.Profile + ".heap")
	if err != nil {
		return fmt.Errorf("heap profile: %w", err)
	}
	defer func() { _ = file.Close() }()
	if err := pprof.WriteHeapProfile(file); err != nil {
		return fmt.Errorf("heap profile: %w", err)
	}
	return nil
}

func (m Member) founders() []string {
	for _, address := range m.Addresses[:3] {
		if address == m.Address {
			return m.Addresses[:3]
		}
	}
	return nil
}

func newClient(addresses []string) *control.Client {
	return control.New(control.Config{Addresses: addresses, NewHTTP: web.NewClient, FindLeader: control.QueryLeader})
}

// TablePath is where a member takes the fleet's routing table.
const TablePath = "/table"

func (m Member) takeTable(vm *core.Core) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, err := vm.ReplaceTable(r.Context(), m.Fleet.table()); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	}
}
