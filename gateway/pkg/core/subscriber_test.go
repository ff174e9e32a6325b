package core

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/routing"
	"toucanhinge.example/common/pkg/web"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

// fakeCore is a VM of the core that leads, names another leader, or doesn't answer.
type fakeCore struct {
	toucanhingev1connect.UnimplementedCoreServiceHandler
	mu           sync.Mutex
	address      string
	leader       string
	unresponsive bool
	version      uint64
	// unconfirmed is set for a leader of an earlier version, which confirms nothing.
	unconfirmed bool
	// unreadable is set for a routing table of a later version, which can't be read.
	unreadable bool
}

func (f *fakeCore) Attend(ctx context.Context, r *connect.Request[toucanhingev1.AttendRequest]) (*connect.Response[toucanhingev1.AttendResponse], error) {
	f.mu.Lock()
	leader, unresponsive, version := f.leader, f.unresponsive, f.version
	f.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if leader != f.address {
		return nil, control.NotLeader(leader)
	}
	answer := &toucanhingev1.AttendResponse{Confirmed: r.Msg.GetConfirm() && !f.unconfirmed}
	if version > r.Msg.GetHaveVersion() {
		answer.Table = &toucanhingev1.RoutingTable{Version: version}
		if f.unreadable {
			answer.Table.Routes = []*toucanhingev1.Route{{Name: "without a host"}}
		}
	}
	if answer.Table == nil {
		time.Sleep(20 * time.Millisecond)
	}
	return connect.NewResponse(answer), nil
}

func (f *fakeCore) NameLeader(
	ctx context.Context, _ *connect.Request[toucanhingev1.NameLeaderRequest],
) (*connect.Response[toucanhingev1.NameLeaderResponse], error) {
	f.mu.Lock()
	leader, unresponsive := f.leader, f.unresponsive
	f.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return connect.NewResponse(&toucanhingev1.NameLeaderResponse{Address: leader}), nil
}

func (f *fakeCore) set(leader string, unresponsive bool, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader, f.unresponsive, f.version = leader, unresponsive, version
}

func start(t *testing.T, count int) []*fakeCore {
	t.Helper()
	var cores []*fakeCore
	for range count {
		f := &fakeCore{}
		mux := http.NewServeMux()
		mux.Handle(toucanhingev1connect.NewCoreServiceHandler(f))
		server := httptest.NewUnstartedServer(mux)
		server.Config.Protocols = new(http.Protocols)
		server.Config.Protocols.SetUnencryptedHTTP2(true)
		server.Start()
		t.Cleanup(server.CloseClientConnections)
		f.address = strings.TrimPrefix(server.URL, "http://")
		cores = append(cores, f)
	}
	return cores
}

// tables collects the versions of the applied routing tables.
type tables struct {
	mu       sync.Mutex
	versions []uint64
}

func (v *tables) apply(t *routing.Table) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.versions = append(v.versions, t.Version)
}

func (v *tables) last() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.versions) == 0 {
		return 0
	}
	return v.versions[len(v.versions)-1]
}

func startSubscriber(t *testing.T, known []string, seeds func() []string) *tables {
	t.Helper()
	applied := &tables{}
	s := New(Config{
		Name: "g", Publisher: newPublisher(), Core: control.New(control.Config{Addresses: known, NewHTTP: web.NewClient, AttemptTimeout: time.Second, FindLeader: control.QueryLeader}),
		Logger: log.NewNopLogger(), OnTable: applied.apply, OnFleet: func(*toucanhingev1.FleetView) {}, Seeds: seeds,
		Boot: clock.System(), OnFreshness: func(clock.Millis) {}, OnUsage: func([]*toucanhingev1.TeamUse, clock.Millis) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return applied
}

func addresses(cores []*fakeCore) []string {
	var list []string
	for _, f := range cores {
		list = append(list, f.address)
	}
	return list
}

// The leader is cut off from this gateway without a reset, and another VM still names it as the leader.
// The gateway must skip it and find the next leader within the time in which it has to know of a draining
// runner.
func TestUnresponsiveLeaderIsReplaced(t *testing.T) {
	cores := start(t, 3)
	first, second, third := cores[0], cores[1], cores[2]
	for _, f := range cores {
		f.set(first.address, false, 1)
	}
	applied := startSubscriber(t, addresses(cores), func() []string { return nil })
	require.Eventually(t, func() bool { return applied.last() == 1 }, 5*time.Second, 5*time.Millisecond)

	startedAt := time.Now()
	first.set(first.address, true, 1)
	second.set(third.address, false, 2)
	third.set(third.address, false, 2)
	time.AfterFunc(300*time.Millisecond, func() { second.set(third.address, false, 2) })
	require.Eventually(t, func() bool { return applied.last() == 2 }, 5*time.Second, 5*time.Millisecond)
	require.Less(t, time.Since(startedAt), 1500*time.Millisecond)
}

// All VMs that the gateway knows are gone. It must use the addresses that the platform wrote into its
// settings meanwhile.
func TestSeedsAreReadWhenNoVMAnswers(t *testing.T) {
	cores := start(t, 2)
	oldVM, newVM := cores[0], cores[1]
	oldVM.set("", false, 1)
	newVM.set(newVM.address, false, 3)
	applied := startSubscriber(t, []string{oldVM.address}, func() []string { return []string{newVM.address} })
	require.Eventually(t, func() bool { return applied.last() == 3 }, findLeaderTimeout+5*time.Second, 10*time.Millisecond)
}

// All VMs of the core lose power for a while and restart. The gateway must find the new leader within
// half a second, independent of the time of its last query: callers are refused until then, and retry
// only once.
func TestLeaderIsFoundSoonAfterOutage(t *testing.T) {
	for _, outage := range []time.Duration{900, 1200, 1500, 1800} {
		t.Run(fmt.Sprint(int(outage)), func(t *testing.T) {
			t.Parallel()
			cores := start(t, 4)
			leader := cores[2]
			for _, f := range cores {
				f.set(leader.address, false, 1)
			}
			applied := startSubscriber(t, addresses(cores), func() []string { return nil })
			require.Eventually(t, func() bool { return applied.last() == 1 }, 5*time.Second, 5*time.Millisecond)
			for _, f := range cores {
				f.set("", true, 1)
			}
			time.Sleep(outage * time.Millisecond)
			for _, f := range cores {
				f.set(leader.address, false, 2)
			}
			startedAt := time.Now()
			require.Eventually(t, func() bool { return applied.last() == 2 }, 10*time.Second, 5*time.Millisecond)
			t.Logf("found after %v", time.Since(startedAt))
			require.Less(t, time.Since(startedAt), 500*time.Millisecond)
		})
	}
}

// All machines lost power. Two VMs of the core are back and one of them leads; the other two answer
// nothing, not even with a reset. A gateway that starts must not wait for those two: it refuses all
// callers until it has found the leader.
func TestUnresponsiveVMsDoNotDelayFindingLeader(t *testing.T) {
	cores := start(t, 4)
	for i, f := range cores {
		f.set(cores[3].address, i < 2, 7)
	}
	startedAt := time.Now()
	applied := startSubscriber(t, addresses(cores), func() []string { return nil })
	require.Eventually(t, func() bool { return applied.last() == 7 }, 5*time.Second, time.Millisecond)
	require.Less(t, time.Since(startedAt), maxFindTime)
}

// maxFindTime is the maximum time until the leader is found if the first VM that answers names it,
// allowing for a busy machine.
const maxFindTime = 150 * time.Millisecond
