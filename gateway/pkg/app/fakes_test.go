package app

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	commoncontrol "toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/fleetconfig"
	"toucanhinge.example/common/pkg/job"
	"toucanhinge.example/common/pkg/web"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

// Names used by all tests.
const (
	team        = "agence"
	otherTeam   = "heredia"
	teamKey     = "key-of-agence"
	otherKey    = "key-of-heredia"
	model       = "servitudes-7b"
	service     = "servitudes-llm"
	plainName   = "parcels"
	dataCentre  = "agdal"
	gatewayName = "gateway-1"
)

// jobID is the only job that fakeControl knows.
var jobID = job.ID(team, "night-1", 2)

// fakeSidecar handles requests with a configurable function and records the requests it receives.
type fakeSidecar struct {
	toucanhingev1connect.UnimplementedEndpointServiceHandler
	name    string
	service string
	server  *web.Server
	run     func(context.Context, *toucanhingev1.RunRequest, *connect.ServerStream[toucanhingev1.Frame]) error
	load    func() *toucanhingev1.Load
	// software is the software version that the loads in frames name.
	software  string
	mu        sync.Mutex
	received  []*toucanhingev1.RunRequest
	cancelled []*toucanhingev1.CancelRequest
}

func (f *fakeSidecar) Cancel(
	_ context.Context, r *connect.Request[toucanhingev1.CancelRequest],
) (*connect.Response[toucanhingev1.CancelResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled = append(f.cancelled, r.Msg)
	return connect.NewResponse(&toucanhingev1.CancelResponse{}), nil
}

func (f *fakeSidecar) cancels() []*toucanhingev1.CancelRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*toucanhingev1.CancelRequest{}, f.cancelled...)
}

func idleLoad() *toucanhingev1.Load {
	return &toucanhingev1.Load{Slots: 8, Healthy: true}
}

func (f *fakeSidecar) Run(
	ctx context.Context, r *connect.Request[toucanhingev1.RunRequest], out *connect.ServerStream[toucanhingev1.Frame],
) error {
	f.mu.Lock()
	f.received = append(f.received, r.Msg)
	f.mu.Unlock()
	return f.run(ctx, r.Msg, out)
}

func (f *fakeSidecar) Report(
	context.Context, *connect.Request[toucanhingev1.ReportRequest],
) (*connect.Response[toucanhingev1.ReportResponse], error) {
	return connect.NewResponse(&toucanhingev1.ReportResponse{Endpoint: f.name, Load: f.load()}), nil
}

func (f *fakeSidecar) requests() []*toucanhingev1.RunRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*toucanhingev1.RunRequest{}, f.received...)
}

// fakeControl is a control VM without replication.
type fakeControl struct {
	toucanhingev1connect.UnimplementedFleetServiceHandler
	toucanhingev1connect.UnimplementedJobServiceHandler
	mu         sync.Mutex
	version    uint64
	entries    []*toucanhingev1.Entry
	changed    chan struct{}
	claims     map[string]*toucanhingev1.ClaimRequest
	states     map[string]toucanhingev1.ClaimState
	settled    []toucanhingev1.ClaimState
	heartbeats []*toucanhingev1.BeatRequest
	items      []*toucanhingev1.Item
	header     *toucanhingev1.UploadHeader
	// claimDelay is the time that a claim takes.
	claimDelay time.Duration
	// leaderless makes claims fail because there is no leader.
	leaderless atomic.Bool
	// refuseUploads is the number of uploads that are first refused by a replica that is not the leader.
	refuseUploads atomic.Int32
	uploads       atomic.Int32
	// loseLeadershipAfter is the number of received bytes of an upload after which the replica loses leadership,
	// once; 0 means never.
	loseLeadershipAfter atomic.Int64
	// cutResults interrupts the results in the middle.
	cutResults atomic.Bool
}

func (f *fakeControl) Floor(
	context.Context, *connect.Request[toucanhingev1.FloorRequest],
) (*connect.Response[toucanhingev1.FloorResponse], error) {
	return connect.NewResponse(&toucanhingev1.FloorResponse{Version: 1, Groups: 2}), nil
}

func (f *fakeControl) Watch(
	ctx context.Context, _ *connect.Request[toucanhingev1.WatchRequest], out *connect.ServerStream[toucanhingev1.WatchResponse],
) error {
	for {
		f.mu.Lock()
		update := &toucanhingev1.WatchResponse{Version: f.version, Whole: true, Entries: f.entries}
		changed := f.changed
		f.mu.Unlock()
		if err := out.Send(update); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// putEntries adds entries to the fleet configuration.
func (f *fakeControl) putEntries(entries ...*toucanhingev1.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.entries = append(f.entries, entries...)
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeControl) Beat(
	_ context.Context, r *connect.Request[toucanhingev1.BeatRequest],
) (*connect.Response[toucanhingev1.BeatResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heartbeats = append(f.heartbeats, r.Msg)
	return connect.NewResponse(&toucanhingev1.BeatResponse{LeaseMs: 10_000, Version: f.version, Current: true}), nil
}

func (f *fakeControl) Claim(
	_ context.Context, r *connect.Request[toucanhingev1.ClaimRequest],
) (*connect.Response[toucanhingev1.ClaimResponse], error) {
	if f.leaderless.Load() {
		return nil, commoncontrol.NotLeader("")
	}
	time.Sleep(f.claimDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	id := r.Msg.GetTeam() + "/" + r.Msg.GetRequestId()
	held, found := f.claims[id]
	state := toucanhingev1.ClaimState_CLAIM_STATE_GRANTED
	switch {
	case !found:
		f.claims[id] = r.Msg
	case f.states[id] != 0:
		state = f.states[id]
	case held.GetToken() != r.Msg.GetToken():
		state = toucanhingev1.ClaimState_CLAIM_STATE_HELD
	}
	return connect.NewResponse(&toucanhingev1.ClaimResponse{State: state}), nil
}

func (f *fakeControl) Settle(
	_ context.Context, r *connect.Request[toucanhingev1.SettleRequest],
) (*connect.Response[toucanhingev1.SettleResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := r.Msg.GetTeam() + "/" + r.Msg.GetRequestId()
	f.settled = append(f.settled, r.Msg.GetState())
	if r.Msg.GetState() == 0 {
		delete(f.claims, id)
	} else {
		f.states[id] = r.Msg.GetState()
	}
	return connect.NewResponse(&toucanhingev1.SettleResponse{}), nil
}

func (f *fakeControl) Upload(
	_ context.Context, in *connect.ClientStream[toucanhingev1.UploadRequest],
) (*connect.Response[toucanhingev1.UploadResponse], error) {
	f.uploads.Add(1)
	if f.refuseUploads.Add(-1) >= 0 {
		return nil, commoncontrol.NotLeader("")
	}
	var header *toucanhingev1.UploadHeader
	var items []*toucanhingev1.Item
	complete, size := false, int64(0)
	for in.Receive() {
		for _, item := range in.Msg().GetItems().GetItems() {
			size += int64(len(item.GetBody()))
		}
		if after := f.loseLeadershipAfter.Load(); after > 0 && size > after {
			f.loseLeadershipAfter.Store(0)
			return nil, commoncontrol.NotLeader("")
		}
		switch part := in.Msg().GetPart().(type) {
		case *toucanhingev1.UploadRequest_Header:
			header = part.Header
		case *toucanhingev1.UploadRequest_Items:
			items = append(items, part.Items.GetItems()...)
		case *toucanhingev1.UploadRequest_End:
			complete = part.End.GetCount() == uint64(len(items))
		}
	}
	if in.Err() != nil || !complete {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("no end mark"))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.header, f.items = header, items
	return connect.NewResponse(&toucanhingev1.UploadResponse{Job: f.status()}), nil
}

func (f *fakeControl) status() *toucanhingev1.JobStatus {
	return &toucanhingev1.JobStatus{
		Id: jobID, Team: f.header.GetTeam(), Key: f.header.GetKey(), Service: f.header.GetService(),
		State: toucanhingev1.JobState_JOB_STATE_FINISHED, Items: uint64(len(f.items)), Done: uint64(len(f.items)),
	}
}

func (f *fakeControl) GetJob(
	_ context.Context, r *connect.Request[toucanhingev1.GetJobRequest],
) (*connect.Response[toucanhingev1.GetJobResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.header.GetTeam() != r.Msg.GetTeam() || r.Msg.GetId() != jobID {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("no such job"))
	}
	return connect.NewResponse(&toucanhingev1.GetJobResponse{Job: f.status()}), nil
}

func (f *fakeControl) CancelJob(
	_ context.Context, _ *connect.Request[toucanhingev1.CancelJobRequest],
) (*connect.Response[toucanhingev1.CancelJobResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	job := f.status()
	job.State = toucanhingev1.JobState_JOB_STATE_CANCELLED
	return connect.NewResponse(&toucanhingev1.CancelJobResponse{Job: job}), nil
}

func (f *fakeControl) ReadResults(
	_ context.Context, r *connect.Request[toucanhingev1.ReadResultsRequest], out *connect.ServerStream[toucanhingev1.ReadResultsResponse],
) error {
	f.mu.Lock()
	items := f.items
	f.mu.Unlock()
	for i := int(r.Msg.GetFrom()); i < len(items); i++ {
		if f.cutResults.Load() && i == len(items)/2 {
			return connect.NewError(connect.CodeUnavailable, errors.New("the replica stops"))
		}
		result := &toucanhingev1.Result{
			Index: uint64(i), CustomId: items[i].GetCustomId(), Outcome: toucanhingev1.Outcome_OUTCOME_DONE,
			Body: items[i].GetBody(), Attempts: 1,
		}
		if err := out.Send(&toucanhingev1.ReadResultsResponse{Results: []*toucanhingev1.Result{result}}); err != nil {
			return err
		}
	}
	return nil
}

// serveFake serves a handler on a loopback address until the test ends.
func serveFake(t testing.TB, mount func(*http.ServeMux)) *web.Server {
	t.Helper()
	mux := http.NewServeMux()
	mount(mux)
	server, err := web.Listen("127.0.0.1:0", mux)
	require.NoError(t, err)
	go func() { _ = server.Serve() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(ctx)
	})
	return server
}

func newSidecar(t testing.TB, name, service string) *fakeSidecar {
	t.Helper()
	f := &fakeSidecar{name: name, service: service, load: idleLoad}
	f.run = f.respondWith("all", " is", " well")
	f.server = serveFake(t, func(mux *http.ServeMux) { mux.Handle(toucanhingev1connect.NewEndpointServiceHandler(f)) })
	return f
}

func (f *fakeSidecar) entry() *toucanhingev1.Entry {
	return &toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_MEMBER, Name: f.name,
		Body: &toucanhingev1.Entry_Member{Member: &toucanhingev1.Member{
			Role: toucanhingev1.Role_ROLE_SIDECAR, Address: f.server.Address(), Vm: "vm-" + f.name, DataCentre: dataCentre,
			Incarnation: 1, State: toucanhingev1.MemberState_MEMBER_STATE_READY, Service: f.service, Slots: 8,
		}},
	}
}

func newControl(t testing.TB, sidecars ...*fakeSidecar) (*fakeControl, string) {
	t.Helper()
	f := &fakeControl{
		version: 1, changed: make(chan struct{}),
		claims: map[string]*toucanhingev1.ClaimRequest{}, states: map[string]toucanhingev1.ClaimState{},
	}
	f.entries = []*toucanhingev1.Entry{
		serviceEntry(service, &toucanhingev1.Service{Kind: toucanhingev1.ServiceKind_SERVICE_KIND_MODEL, Model: model}),
		serviceEntry(plainName, &toucanhingev1.Service{Kind: toucanhingev1.ServiceKind_SERVICE_KIND_PLAIN}),
		teamEntry(team, &toucanhingev1.TeamRecord{KeyHashes: []string{fleetconfig.HashKey(teamKey)}}),
		teamEntry(otherTeam, &toucanhingev1.TeamRecord{KeyHashes: []string{fleetconfig.HashKey(otherKey)}}),
		contractEntry(team, service), contractEntry(team, plainName),
	}
	for _, s := range sidecars {
		f.entries = append(f.entries, s.entry())
	}
	server := serveFake(t, func(mux *http.ServeMux) {
		mux.Handle(toucanhingev1connect.NewFleetServiceHandler(f))
		mux.Handle(toucanhingev1connect.NewJobServiceHandler(f))
	})
	return f, server.Address()
}

func serviceEntry(name string, s *toucanhingev1.Service) *toucanhingev1.Entry {
	return &toucanhingev1.Entry{Kind: toucanhingev1.Kind_KIND_SERVICE, Name: name, Body: &toucanhingev1.Entry_Service{Service: s}}
}

func teamEntry(name string, r *toucanhingev1.TeamRecord) *toucanhingev1.Entry {
	return &toucanhingev1.Entry{Kind: toucanhingev1.Kind_KIND_TEAM, Name: name, Body: &toucanhingev1.Entry_Team{Team: r}}
}

func contractEntry(team, service string) *toucanhingev1.Entry {
	return &toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_CONTRACT, Name: team + "-" + service,
		Body: &toucanhingev1.Entry_Contract{Contract: &toucanhingev1.Contract{Team: team, Service: service, Online: true, Batch: true}},
	}
}
