package app

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/health"
	"toucanhinge.example/common/pkg/loopback"
	"toucanhinge.example/common/pkg/record"
	"toucanhinge.example/common/pkg/web"
	"toucanhinge.example/control/pkg/config"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	testTimeout  = 20 * time.Second
	pollInterval = 5 * time.Millisecond
)

// node is one control VM, run inside the test process.
type node struct {
	settings config.Config
	process  *process
}

// cluster is a group of nodes on loopback with a client.
type cluster struct {
	t      testing.TB
	nodes  []*node
	client *control.Client
}

func newCluster(t testing.TB, size int, adjust func(*config.Config)) *cluster {
	c := &cluster{t: t}
	var peers []config.Peer
	for i := range size {
		peers = append(peers, config.Peer{Name: fmt.Sprintf("c%d", i+1), Address: loopback.Address(t, i)})
	}
	var addresses []string
	for _, p := range peers {
		settings := config.Default()
		settings.Name, settings.Listen, settings.Peers, settings.DataFolder = p.Name, p.Address, peers, t.TempDir()
		settings.Consensus.HeartbeatMS, settings.Consensus.ElectionMS = 50, 300
		if adjust != nil {
			adjust(&settings)
		}
		n := &node{settings: settings}
		n.start(t)
		c.nodes = append(c.nodes, n)
		addresses = append(addresses, p.Address)
	}
	c.client = control.New(control.Config{Addresses: addresses, HTTP: web.NewClient()})
	// Each group elects its own leader. On a busy machine, a test that waited for only
	// one group sent its first call to another group before that had a leader.
	for id := range c.nodes[0].settings.Groups {
		require.Eventually(t, func() bool { return c.leader(id) != nil }, testTimeout, pollInterval, "group %d has no leader", id)
	}
	t.Cleanup(func() {
		var all sync.WaitGroup
		for _, n := range c.nodes {
			all.Add(1)
			go func() {
				defer all.Done()
				n.stop()
			}()
		}
		all.Wait()
	})
	return c
}

func (n *node) start(t testing.TB) {
	now, logger, set, status := clock.System(), log.NewNopLogger(), newMetrics(), health.New()
	gs, err := newGroups(n.settings, now, logger, set)
	require.NoError(t, err)
	decisionLog := record.New(record.Config{Clock: now, Process: n.settings.Name, Size: 100})
	n.process = newProcess(n.settings, status, logger, newComponents(n.settings, now, logger, set, decisionLog, status, gs), gs, nil)
	require.NoError(t, n.process.start(context.Background()))
}

func (n *node) stop() {
	if n.process == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_ = n.process.stop(ctx)
	n.process = nil
}

func (c *cluster) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	c.t.Cleanup(cancel)
	return ctx
}

// apply applies one configuration change, which must be accepted.
func (c *cluster) apply(id string, entry *toucanhingev1.Entry) *toucanhingev1.Entry {
	request := &toucanhingev1.ApplyRequest{RequestId: id, Entry: entry, Author: "test"}
	response, err := control.Call(c.context(), c.client, 0, "apply",
		func(ctx context.Context, r *control.Replica) (*connect.Response[toucanhingev1.ApplyResponse], error) {
			return r.Operators.Apply(ctx, connect.NewRequest(request))
		})
	require.NoError(c.t, err)
	require.True(c.t, response.Msg.GetAccepted(), response.Msg.GetReason())
	return response.Msg.GetEntry()
}

// createContract creates a contract of team agence for batch and online requests to
// service servitudes-llm.
func (c *cluster) createContract() {
	c.apply("1", &toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_SERVICE, Name: "servitudes-llm",
		Body: &toucanhingev1.Entry_Service{Service: &toucanhingev1.Service{
			Kind: toucanhingev1.ServiceKind_SERVICE_KIND_MODEL, Model: "servitudes-7b",
		}},
	})
	c.apply("2", &toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_TEAM, Name: "agence", Body: &toucanhingev1.Entry_Team{Team: &toucanhingev1.TeamRecord{}},
	})
	c.apply("3", &toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_CONTRACT, Name: "agence-servitudes",
		Body: &toucanhingev1.Entry_Contract{Contract: &toucanhingev1.Contract{
			Team: "agence", Service: "servitudes-llm", Batch: true, Online: true,
		}},
	})
}

func (c *cluster) upload(key string, items int) (*toucanhingev1.UploadResponse, error) {
	response, err := control.Call(c.context(), c.client, 1, "upload",
		func(ctx context.Context, r *control.Replica) (*connect.Response[toucanhingev1.UploadResponse], error) {
			return uploadItems(ctx, r, key, items)
		})
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func uploadItems(ctx context.Context, r *control.Replica, key string, items int) (*connect.Response[toucanhingev1.UploadResponse], error) {
	stream := r.Jobs.Upload(ctx)
	_ = stream.Send(&toucanhingev1.UploadRequest{Part: &toucanhingev1.UploadRequest_Header{
		Header: &toucanhingev1.UploadHeader{Team: "agence", Key: key, Service: "servitudes-llm"},
	}})
	for first := 0; first < items; first += 100 {
		part := &toucanhingev1.UploadItems{}
		for i := first; i < min(first+100, items); i++ {
			part.Items = append(part.Items, &toucanhingev1.Item{CustomId: fmt.Sprintf("item-%d", i), Body: []byte(`{"n":1}`)})
		}
		if stream.Send(&toucanhingev1.UploadRequest{Part: &toucanhingev1.UploadRequest_Items{Items: part}}) != nil {
			break
		}
	}
	_ = stream.Send(&toucanhingev1.UploadRequest{Part: &toucanhingev1.UploadRequest_End{End: &toucanhingev1.UploadEnd{Count: uint64(items)}}})
	return stream.CloseAndReceive()
}

func (c *cluster) lease(maxItems uint32) []*toucanhingev1.LeasedItem {
	response, err := control.Call(c.context(), c.client, 1, "lease",
		func(ctx context.Context, r *control.Replica) (*connect.Response[toucanhingev1.LeaseResponse], error) {
			return r.Work.Lease(ctx, connect.NewRequest(&toucanhingev1.LeaseRequest{
				Sidecar: "s1", Incarnation: 1, Service: "servitudes-llm", Group: 1, Most: maxItems,
			}))
		})
	require.NoError(c.t, err)
	return response.Msg.GetItems()
}

func (c *cluster) complete(leased []*toucanhingev1.LeasedItem) []toucanhingev1.Verdict {
	request := &toucanhingev1.CompleteRequest{Sidecar: "s1", Group: 1}
	for _, l := range leased {
		request.Completions = append(request.Completions, &toucanhingev1.Completion{
			Job: l.GetJob(), Index: l.GetIndex(), Lease: l.GetLease(), Outcome: toucanhingev1.Outcome_OUTCOME_DONE,
			Body: fmt.Appendf(nil, `{"of":%d}`, l.GetIndex()),
		})
	}
	response, err := control.Call(c.context(), c.client, 1, "complete",
		func(ctx context.Context, r *control.Replica) (*connect.Response[toucanhingev1.CompleteResponse], error) {
			return r.Work.Complete(ctx, connect.NewRequest(request))
		})
	require.NoError(c.t, err)
	return response.Msg.GetVerdicts()
}

func (c *cluster) results(id string) []*toucanhingev1.Result {
	var list []*toucanhingev1.Result
	_, err := control.Call(c.context(), c.client, 1, "results",
		func(ctx context.Context, r *control.Replica) (struct{}, error) {
			list = nil
			stream, err := r.Jobs.ReadResults(ctx, connect.NewRequest(&toucanhingev1.ReadResultsRequest{Team: "agence", Id: id}))
			if err != nil {
				return struct{}{}, err
			}
			defer func() { _ = stream.Close() }()
			for stream.Receive() {
				list = append(list, stream.Msg().GetResults()...)
			}
			return struct{}{}, stream.Err()
		})
	require.NoError(c.t, err)
	return list
}
