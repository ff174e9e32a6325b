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

// toleratedLosses is the number of VMs of the core that may fail at the same time, as in the large
// deployment.
const toleratedLosses = 2

var errNoGateway = errors.New("no gateway accepted the call")

// Member runs one VM of the core in its own process.
type Member struct {
	// Address is the member's own address. Addresses are those of all members; the first three
	// bootstrap the group.
	Address   string
	Addresses []string
	Folder    string
	// Profile is the path of the CPU profile.
	Profile string
	Fleet   Fleet
}

// Run serves until the context ends, then writes the heap profile.
func (m Member) Run(ctx context.Context) error {
	profile, err := os.Create(m.Profile)
	if err != nil {
		return fmt.Errorf("create CPU profile: %w", err)
	}
	defer func() { _ = profile.Close() }()
	if err := pprof.StartCPUProfile(profile); err != nil {
		return fmt.Errorf("start CPU profile: %w", err)
	}
	defer pprof.StopCPUProfile()
	var vm *core.Core
	exchange, err := digest.Listen(digest.Config{
		Address: m.Address, Source: m.Address, DataCentre: dataCentre(0), Core: true, Clock: clock.System(), Logger: log.NewNopLogger(),
		Version: func() uint64 { return 1 }, OnDigest: func(version uint64) { vm.DigestReceived(version) },
	})
	if err != nil {
		return fmt.Errorf("start digest exchange: %w", err)
	}
	vm, err = core.Open(core.Config{
		Name: m.Address, Address: m.Address, DataCentre: dataCentre(0), Folder: filepath.Join(m.Folder, m.Address),
		FoundingMembers: m.foundingMembers(), ToleratedLosses: toleratedLosses, Clock: clock.System(), Logger: log.NewJSONLogger(os.Stdout),
		Registerer: prometheus.NewRegistry(), Exchange: exchange,
		Runners:   runner.Client{Open: func(context.Context, runner.Call) (*runner.Answer, error) { return nil, errNoGateway }},
		Directory: func(context.Context) ([]*toucanhingev1.Runner, error) { return m.Fleet.runnerList(), nil },
		Core:      newClient(m.Addresses[:3]), Seeds: func() []string { return m.Addresses[:3] },
		Fatal: func(err error) { fmt.Fprintln(os.Stderr, err) },
	})
	if err != nil {
		return fmt.Errorf("open core: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle(toucanhingev1connect.NewReplicaServiceHandler(vm.ReplicaServer()))
	mux.Handle(toucanhingev1connect.NewCoreServiceHandler(vm))
	mux.Handle(TablePath, m.tableHandler(vm))
	server, err := web.Listen(m.Address, mux)
	if err != nil {
		return fmt.Errorf("listen for internal calls: %w", err)
	}
	go func() { _ = server.Serve() }()
	go exchange.Run(ctx)
	vm.Start()
	<-ctx.Done()
	return m.writeHeap()
}

// writeHeap writes a heap profile next to the CPU profile.
func (m Member) writeHeap() error {
	file, err := os.Create(m.Profile + ".heap")
	if err != nil {
		return fmt.Errorf("create heap profile: %w", err)
	}
	defer func() { _ = file.Close() }()
	if err := pprof.WriteHeapProfile(file); err != nil {
		return fmt.Errorf("write heap profile: %w", err)
	}
	return nil
}

func (m Member) foundingMembers() []string {
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

// TablePath is the HTTP path on which a member receives the request to apply the fleet's routing table.
const TablePath = "/table"

func (m Member) tableHandler(vm *core.Core) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, err := vm.ReplaceTable(r.Context(), m.Fleet.routingTable()); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	}
}
