package core

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/digest"
	"toucanhinge.example/common/pkg/loopback"
	"toucanhinge.example/common/pkg/quota"
	"toucanhinge.example/common/pkg/runner"
	"toucanhinge.example/common/pkg/web"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

// patience is how long a test waits for what should take some hundred
// milliseconds.
const patience = 15 * time.Second

var errNoRunners = errors.New("no runner takes work here")

// vm is a VM of a core on loopback that can lose its process and its disk.
type vm struct {
	t        *testing.T
	name     string
	address  string
	folder   string
	founders []string
	known    []string
	// seeds are the addresses in its settings now; nil means known.
	seeds atomic.Pointer[[]string]

	core   *Core
	server *web.Server
	cancel context.CancelFunc
}

// site is a few VMs, the first three of which form the core.
type site struct {
	t   *testing.T
	vms []*vm
}

func newSite(t *testing.T, count int) *site {
	t.Helper()
	s := &site{t: t}
	var addresses []string
	for i := range count {
		addresses = append(addresses, loopback.Address(t, i))
		s.vms = append(s.vms, &vm{
			t: t, name: fmt.Sprintf("vm-%d", i), address: addresses[i], folder: filepath.Join(t.TempDir(), "data"),
		})
	}
	for i, v := range s.vms {
		v.known = addresses[:3]
		if i < 3 {
			v.founders = addresses[:3]
		}
	}
	t.Cleanup(func() {
		for _, v := range s.vms {
			v.kill()
		}
	})
	return s
}

func (v *vm) start() {
	v.t.Helper()
	x, err := digest.Listen(digest.Config{
		Address: v.address, Source: v.name, Clock: clock.System(), Logger: log.NewNopLogger(), Version: func() uint64 { return 0 },
	})
	require.NoError(v.t, err)
	v.core, err = Open(Config{
		Name: v.name, Address: v.address, DataCentre: "here", Folder: v.folder, FoundingMembers: v.founders, Losses: 1,
		Clock: clock.System(), Logger: log.NewNopLogger(), Registerer: prometheus.NewRegistry(), Exchange: x,
		Quota: quota.NewCounter(quota.Config{}), Boot: clock.Boot(),
		Runners: runner.Client{Open: func(context.Context, runner.Call) (*runner.Answer, error) { return nil, errNoRunners }},
		Directory: func(context.Context) ([]*toucanhingev1.Runner, error) {
			return []*toucanhingev1.Runner{{Id: "r", Service: "llm", Slots: 1, Leaving: true}}, nil
		},
		Core: client(v.known),
		Seeds: func() []string {
			if seeds := v.seeds.Load(); seeds != nil {
				return *seeds
			}
			return v.known
		},
		Fatal: func(err error) { v.t.Log(v.name, err) },
	})
	require.NoError(v.t, err)
	mux := http.NewServeMux()
	mux.Handle(toucanhingev1connect.NewReplicaServiceHandler(v.core.ReplicaServer()))
	mux.Handle(toucanhingev1connect.NewCoreServiceHandler(v.core))
	v.server, err = web.Listen(v.address, mux)
	require.NoError(v.t, err)
	go func() { _ = v.server.Serve() }()
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	go x.Run(ctx)
	v.core.Start()
	// A restart is no first start.
	v.founders = nil
}

func client(addresses []string) *control.Client {
	return control.New(control.Config{Addresses: addresses, NewHTTP: web.NewClient, AttemptTimeout: time.Second})
}

// kill ends the VM's process without a word to the others.
func (v *vm) kill() {
	if v.core == nil {
		return
	}
	v.core.cancel()
	v.cancel()
	over, done := context.WithCancel(context.Background())
	done()
	_ = v.server.Shutdown(over)
	v.core.duties.Wait()
	_ = v.core.group.Close()
	v.core.machine.Close()
	v.core = nil
}

func (v *vm) loseDisk() { require.NoError(v.t, os.RemoveAll(v.folder)) }

func (s *site) startAll() {
	for _, v := range s.vms {
		v.start()
	}
}

// leader waits until one VM leads and has confirmed it.
func (s *site) leader() *vm {
	s.t.Helper()
	var found *vm
	require.Eventually(s.t, func() bool {
		for _, v := range s.vms {
			if v.core == nil {
				continue
			}
			if _, _, self := v.core.group.Leader(); self && v.core.confirm(context.Background()) == nil {
				found = v
				return true
			}
		}
		return false
	}, patience, 10*time.Millisecond, "no VM leads: %v", s)
	return found
}

// String tells how every VM sees the group, for failures.
func (s *site) String() string {
	text := ""
	for _, v := range s.vms {
		text += "\n" + v.name + " " + v.address + " "
		if v.core == nil {
			text += "down"
			continue
		}
		text += v.core.group.Status().String()
	}
	return text
}

// follower is a VM that runs and doesn't lead.
func (s *site) follower() *vm {
	s.t.Helper()
	leader := s.leader()
	for _, v := range s.vms {
		if v != leader && v.core != nil {
			return v
		}
	}
	s.t.Fatal("no follower runs")
	return nil
}

func tableOf(version uint64) *toucanhingev1.RoutingTable {
	return &toucanhingev1.RoutingTable{
		Version: version, Document: fmt.Appendf(nil, "v%d", version), Services: []*toucanhingev1.RoutedService{{Name: "llm"}},
		Routes: []*toucanhingev1.Route{{
			Name: "jobs", Host: "h", Prefix: "/j/", Kind: toucanhingev1.RouteKind_ROUTE_KIND_BATCH, TimeLimitMs: 100,
			CompletionMs: 10_000, RetentionMs: 60_000, Shares: []*toucanhingev1.RouteShare{{Service: "llm", Weight: 1}},
		}},
	}
}

// replace sends a table to the leader until it is acknowledged, as operators do.
func (s *site) replace(version uint64) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := s.leader().core.ReplaceTable(ctx, tableOf(version))
		return err == nil
	}, patience, 20*time.Millisecond)
}

func (s *site) requireTable(version uint64) {
	s.t.Helper()
	table, err := s.leader().core.ReadTable(context.Background())
	require.NoError(s.t, err)
	require.Equal(s.t, version, table.GetVersion())
}

// voters waits until exactly these VMs vote, with the disks that they have now.
func (s *site) voters(want ...*vm) {
	s.t.Helper()
	identities := map[string]bool{}
	for _, v := range want {
		identities[v.core.identity] = true
	}
	require.Eventually(s.t, func() bool {
		count := 0
		for _, r := range s.leader().core.group.Status().GetReplicas() {
			if !r.GetVoter() {
				continue
			}
			if !identities[r.GetIdentity()] {
				return false
			}
			count++
		}
		return count == len(want)
	}, patience, 20*time.Millisecond, "the voters aren't those wanted: %v", s)
}

// standby waits until a VM is a member that holds everything and doesn't vote.
func (s *site) standby(v *vm) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		for _, m := range s.leader().core.members() {
			if m.Name == v.address && !m.Voter && m.Behind == 0 {
				return true
			}
		}
		return false
	}, patience, 20*time.Millisecond)
}

func submit(ctx context.Context, c *control.Client, job string) (toucanhingev1.SubmitOutcome, error) {
	answer, err := control.Call(ctx, c, Group, "submit",
		func(ctx context.Context, leader *control.Replica) (*connect.Response[toucanhingev1.SubmitJobResponse], error) {
			return leader.Core.SubmitJob(ctx, connect.NewRequest(&toucanhingev1.SubmitJobRequest{
				Job: job, Host: "h", Target: "/j/x", Items: []*toucanhingev1.JobItem{{Id: job + "-0", Target: "/j/y", Body: []byte("body")}},
			}))
		})
	if err != nil {
		return 0, err
	}
	return answer.Msg.GetOutcome(), nil
}

// A runner crashes and starts again under its id. The list shows another birth, and nothing
// else that differs.
func TestARunnerThatStartedAgainIsNoticed(t *testing.T) {
	f := newFleet()
	born := func(at int64) []*toucanhingev1.Runner {
		return []*toucanhingev1.Runner{{Id: "a", BornMs: at}, {Id: "b", BornMs: 5}}
	}
	require.Empty(t, f.restarted(born(1)), "both are new")
	require.True(t, f.setRunners(born(1)))
	require.Empty(t, f.restarted(born(1)))
	require.Equal(t, []string{"a"}, f.restarted(born(2)))
	require.True(t, f.setRunners(born(2)))
}
