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

// waitTimeout bounds the wait for events that normally take some hundred milliseconds.
const waitTimeout = 15 * time.Second

var errNoRunners = errors.New("no runner accepts calls in this test")

// vm is a control VM on loopback whose process and disk can be lost.
type vm struct {
	t               *testing.T
	name            string
	address         string
	folder          string
	foundingMembers []string
	// known are the core addresses with which the VM starts.
	known []string
	// seeds are the addresses in its current settings; nil means known.
	seeds atomic.Pointer[[]string]

	core   *Core
	server *web.Server
	cancel context.CancelFunc
}

// cluster is a group of control VMs, the first three of which form the core.
type cluster struct {
	t   *testing.T
	vms []*vm
}

func newCluster(t *testing.T, count int) *cluster {
	t.Helper()
	cl := &cluster{t: t}
	var addresses []string
	for i := range count {
		addresses = append(addresses, loopback.Address(t, i))
		cl.vms = append(cl.vms, &vm{
			t: t, name: fmt.Sprintf("vm-%d", i), address: addresses[i], folder: filepath.Join(t.TempDir(), "data"),
		})
	}
	for i, v := range cl.vms {
		v.known = addresses[:3]
		if i < 3 {
			v.foundingMembers = addresses[:3]
		}
	}
	t.Cleanup(func() {
		for _, v := range cl.vms {
			v.kill()
		}
	})
	return cl
}

func (v *vm) start() {
	v.t.Helper()
	exchange, err := digest.Listen(digest.Config{
		Address: v.address, Source: v.name, Clock: clock.System(), Logger: log.NewNopLogger(), Version: func() uint64 { return 0 },
	})
	require.NoError(v.t, err)
	v.core, err = Open(Config{
		Name: v.name, Address: v.address, DataCentre: "here", Folder: v.folder, FoundingMembers: v.foundingMembers, ToleratedLosses: 1,
		Clock: clock.System(), Logger: log.NewNopLogger(), Registerer: prometheus.NewRegistry(), Exchange: exchange,
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
	go exchange.Run(ctx)
	v.core.Start()
	// Only the first start forms the group.
	v.foundingMembers = nil
}

func client(addresses []string) *control.Client {
	return control.New(control.Config{Addresses: addresses, NewHTTP: web.NewClient, AttemptTimeout: time.Second})
}

// kill stops the VM without a leadership transfer, like the end of its process.
func (v *vm) kill() {
	if v.core == nil {
		return
	}
	v.core.cancel()
	v.cancel()
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	_ = v.server.Shutdown(expired)
	v.core.tasks.Wait()
	_ = v.core.group.Close()
	v.core.machine.Close()
	v.core = nil
}

func (v *vm) loseDisk() { require.NoError(v.t, os.RemoveAll(v.folder)) }

func (cl *cluster) startAll() {
	for _, v := range cl.vms {
		v.start()
	}
}

// leader waits for a VM that leads and can confirm it with a majority.
func (cl *cluster) leader() *vm {
	cl.t.Helper()
	var found *vm
	cl.eventually(func(leader *vm) bool {
		found = leader
		return true
	}, "no VM leads")
	return found
}

// eventually polls a condition of the VM that leads. A condition may still run after the test has failed, so it must not call
// methods that fail the test.
func (cl *cluster) eventually(condition func(leader *vm) bool, failure string) {
	cl.t.Helper()
	require.Eventually(cl.t, func() bool {
		leader := cl.currentLeader()
		return leader != nil && condition(leader)
	}, waitTimeout, 10*time.Millisecond, "%s: %v", failure, cl)
}

// currentLeader returns the VM that leads and can confirm it with a majority, or nil.
func (cl *cluster) currentLeader() *vm {
	for _, v := range cl.vms {
		if v.core == nil {
			continue
		}
		if _, _, self := v.core.group.Leader(); self && v.core.confirmRead(context.Background()) == nil {
			return v
		}
	}
	return nil
}

// String returns each VM's view of the group, for failure messages.
func (cl *cluster) String() string {
	text := ""
	for _, v := range cl.vms {
		text += "\n" + v.name + " " + v.address + " "
		if v.core == nil {
			text += "down"
			continue
		}
		text += v.core.group.Status().String()
	}
	return text
}

// follower returns a running VM that doesn't lead.
func (cl *cluster) follower() *vm {
	cl.t.Helper()
	leader := cl.leader()
	for _, v := range cl.vms {
		if v != leader && v.core != nil {
			return v
		}
	}
	cl.t.Fatal("no follower is running")
	return nil
}

func testTable(version uint64) *toucanhingev1.RoutingTable {
	return &toucanhingev1.RoutingTable{
		Version: version, Document: fmt.Appendf(nil, "v%d", version), Services: []*toucanhingev1.RoutedService{{Name: "llm"}},
		Routes: []*toucanhingev1.Route{{
			Name: "jobs", Host: "h", Prefix: "/j/", Kind: toucanhingev1.RouteKind_ROUTE_KIND_BATCH, TimeLimitMs: 100,
			CompletionMs: 10_000, RetentionMs: 60_000, Shares: []*toucanhingev1.RouteShare{{Service: "llm", Weight: 1}},
		}},
	}
}

// replaceTable sends the test's table to the leader until it is acknowledged.
func (cl *cluster) replaceTable(version uint64) {
	cl.t.Helper()
	cl.replaceTableWith(testTable(version))
}

func (cl *cluster) replaceTableWith(table *toucanhingev1.RoutingTable) {
	cl.t.Helper()
	cl.eventually(func(leader *vm) bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := leader.core.ReplaceTable(ctx, table)
		return err == nil
	}, "table not replaced")
}

func (cl *cluster) requireTable(version uint64) {
	cl.t.Helper()
	table, err := cl.leader().core.ReadTable(context.Background())
	require.NoError(cl.t, err)
	require.Equal(cl.t, version, table.GetVersion())
}

// waitForVoters waits until exactly these VMs vote, with their current data folders.
func (cl *cluster) waitForVoters(want ...*vm) {
	cl.t.Helper()
	identities := map[string]bool{}
	for _, v := range want {
		identities[v.core.identity] = true
	}
	cl.eventually(func(leader *vm) bool {
		count := 0
		for _, r := range leader.core.group.Status().GetReplicas() {
			if !r.GetVoter() {
				continue
			}
			if !identities[r.GetIdentity()] {
				return false
			}
			count++
		}
		return count == len(want)
	}, "unexpected voters")
}

// waitForStandby waits until a VM is a member without a vote that has the whole log.
func (cl *cluster) waitForStandby(v *vm) {
	cl.t.Helper()
	cl.eventually(func(leader *vm) bool {
		for _, m := range leader.core.members() {
			if m.Name == v.address && !m.Voter && m.Lag == 0 {
				return true
			}
		}
		return false
	}, v.name+" is no standby")
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

// A runner crashes and restarts under the same ID. Only its start time differs in the list.
func TestRunnerRestartIsDetected(t *testing.T) {
	f := newFleet()
	startedAt := func(at int64) []*toucanhingev1.Runner {
		return []*toucanhingev1.Runner{{Id: "a", BornMs: at}, {Id: "b", BornMs: 5}}
	}
	require.Empty(t, f.restartedRunners(startedAt(1)), "both runners are new")
	require.True(t, f.setRunners(startedAt(1)))
	require.Empty(t, f.restartedRunners(startedAt(1)))
	require.Equal(t, []string{"a"}, f.restartedRunners(startedAt(2)))
	require.True(t, f.setRunners(startedAt(2)))
}
