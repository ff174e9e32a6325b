package app

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/control"
	jobname "toucanhinge.example/common/pkg/job"
	"toucanhinge.example/control/pkg/config"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

func headerPart(change func(*toucanhingev1.UploadHeader)) *toucanhingev1.UploadRequest {
	h := &toucanhingev1.UploadHeader{Team: "agence", Key: "k", Service: "servitudes-llm"}
	if change != nil {
		change(h)
	}
	return &toucanhingev1.UploadRequest{Part: &toucanhingev1.UploadRequest_Header{Header: h}}
}

func itemsPart(list ...*toucanhingev1.Item) *toucanhingev1.UploadRequest {
	return &toucanhingev1.UploadRequest{Part: &toucanhingev1.UploadRequest_Items{Items: &toucanhingev1.UploadItems{Items: list}}}
}

func newItem(id, body string) *toucanhingev1.Item {
	return &toucanhingev1.Item{CustomId: id, Body: []byte(body)}
}

func endPart(count uint64) *toucanhingev1.UploadRequest {
	return &toucanhingev1.UploadRequest{Part: &toucanhingev1.UploadRequest_End{End: &toucanhingev1.UploadEnd{Count: count}}}
}

// TestFaultyUploadsAreRefused checks the code and the reason of each faulty upload. A
// reason about an item names its line, and the job must not exist afterwards.
func TestFaultyUploadsAreRefused(t *testing.T) {
	c := newCluster(t, 1, func(s *config.Config) { s.Jobs.MaxItems, s.Jobs.ItemBytes = 3, 100 })
	c.createContract()
	good := newItem("a", `{}`)
	scenarios := []struct {
		name   string
		parts  []*toucanhingev1.UploadRequest
		code   connect.Code
		reason string
	}{
		{"empty stream", nil, connect.CodeInvalidArgument, "broken off"},
		{"no header", []*toucanhingev1.UploadRequest{itemsPart(good)}, connect.CodeInvalidArgument, "must be the header"},
		{"empty message", []*toucanhingev1.UploadRequest{{}}, connect.CodeInvalidArgument, "must be the header"},
		{"two headers", []*toucanhingev1.UploadRequest{headerPart(nil), headerPart(nil)}, connect.CodeInvalidArgument, "only items and the end"},
		{"no end", []*toucanhingev1.UploadRequest{headerPart(nil), itemsPart(good)}, connect.CodeInvalidArgument, "without its end mark"},
		{"no team", []*toucanhingev1.UploadRequest{headerPart(func(h *toucanhingev1.UploadHeader) { h.Team = "" })}, connect.CodeInvalidArgument, "want a team"},
		{"no key", []*toucanhingev1.UploadRequest{headerPart(func(h *toucanhingev1.UploadHeader) { h.Key = "" })}, connect.CodeInvalidArgument, "want a team and a key"},
		{"long key", []*toucanhingev1.UploadRequest{headerPart(func(h *toucanhingev1.UploadHeader) { h.Key = strings.Repeat("k", 257) })}, connect.CodeInvalidArgument, "at most 256"},
		{"no contract", []*toucanhingev1.UploadRequest{headerPart(func(h *toucanhingev1.UploadHeader) { h.Team = "heredia" })}, connect.CodePermissionDenied, "no contract"},
		{"unknown service", []*toucanhingev1.UploadRequest{headerPart(func(h *toucanhingev1.UploadHeader) { h.Service = "x" })}, connect.CodePermissionDenied, "no contract"},
		{"empty job", []*toucanhingev1.UploadRequest{headerPart(nil), endPart(0)}, connect.CodeInvalidArgument, "no items"},
		{"missing item", []*toucanhingev1.UploadRequest{headerPart(nil), itemsPart(good), endPart(2)}, connect.CodeInvalidArgument, "names 2 items, 1 came"},
		{"item without custom_id", []*toucanhingev1.UploadRequest{headerPart(nil), itemsPart(good, newItem("", `{}`)), endPart(2)}, connect.CodeInvalidArgument, "line 2: custom_id"},
		{"duplicate custom_id", []*toucanhingev1.UploadRequest{headerPart(nil), itemsPart(good), itemsPart(newItem("b", `1`), good), endPart(3)}, connect.CodeInvalidArgument, `line 3: custom_id "a" came before`},
		{"body is not JSON", []*toucanhingev1.UploadRequest{headerPart(nil), itemsPart(good, newItem("b", `{"cut":`)), endPart(2)}, connect.CodeInvalidArgument, "line 2: the body is not JSON"},
		{"empty body", []*toucanhingev1.UploadRequest{headerPart(nil), itemsPart(newItem("b", ``)), endPart(1)}, connect.CodeInvalidArgument, "line 1: the body is not JSON"},
		{"large body", []*toucanhingev1.UploadRequest{headerPart(nil), itemsPart(newItem("b", `"`+strings.Repeat("x", 100)+`"`)), endPart(1)}, connect.CodeInvalidArgument, "line 1: the body is larger than 100"},
		{"too many items", []*toucanhingev1.UploadRequest{headerPart(nil), itemsPart(good, newItem("b", `1`), newItem("c", `1`), newItem("d", `1`)), endPart(4)}, connect.CodeInvalidArgument, "line 4: a job holds at most 3"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			stream := c.client.Leader(1).Jobs.Upload(c.context())
			for _, part := range s.parts {
				if stream.Send(part) != nil {
					break
				}
			}
			_, err := stream.CloseAndReceive()
			require.Equal(t, s.code, connect.CodeOf(err), "%v", err)
			require.ErrorContains(t, err, s.reason)
			_, err = c.client.Leader(1).Jobs.GetJob(c.context(), connect.NewRequest(&toucanhingev1.GetJobRequest{
				Team: "agence", Id: jobname.ID("agence", "k", 2),
			}))
			require.Equal(t, connect.CodeNotFound, connect.CodeOf(err))
		})
	}
}

// TestFaultyCallsAreRefused checks the code and the reason of each faulty call.
func TestFaultyCallsAreRefused(t *testing.T) {
	c := newCluster(t, 1, func(s *config.Config) { s.Jobs.ResultBytes = 100 })
	c.createContract()
	accepted, err := c.upload("k", 3)
	require.NoError(t, err)
	job := accepted.GetJob().GetId()
	r := c.client.Leader(0)
	lease := func(sidecar, service string, group, maxItems uint32) func(context.Context) error {
		return func(ctx context.Context) error {
			_, err := r.Work.Lease(ctx, connect.NewRequest(&toucanhingev1.LeaseRequest{Sidecar: sidecar, Service: service, Group: group, Most: maxItems}))
			return err
		}
	}
	complete := func(list ...*toucanhingev1.Completion) func(context.Context) error {
		return func(ctx context.Context) error {
			_, err := r.Work.Complete(ctx, connect.NewRequest(&toucanhingev1.CompleteRequest{Group: 1, Completions: list}))
			return err
		}
	}
	beat := func(name string, m *toucanhingev1.Member) func(context.Context) error {
		return func(ctx context.Context) error {
			_, err := r.Fleet.Beat(ctx, connect.NewRequest(&toucanhingev1.BeatRequest{Name: name, Member: m}))
			return err
		}
	}
	claim := func(team, id, token string) func(context.Context) error {
		return func(ctx context.Context) error {
			_, err := r.Fleet.Claim(ctx, connect.NewRequest(&toucanhingev1.ClaimRequest{Team: team, RequestId: id, Token: token}))
			return err
		}
	}
	cancel := func(team, id string) func(context.Context) error {
		return func(ctx context.Context) error {
			_, err := r.Jobs.CancelJob(ctx, connect.NewRequest(&toucanhingev1.CancelJobRequest{Team: team, Id: id}))
			return err
		}
	}
	results := func(team, id string) func(context.Context) error {
		return func(ctx context.Context) error {
			stream, err := r.Jobs.ReadResults(ctx, connect.NewRequest(&toucanhingev1.ReadResultsRequest{Team: team, Id: id}))
			if err != nil {
				return err
			}
			for stream.Receive() {
			}
			return stream.Err()
		}
	}
	ready := toucanhingev1.MemberState_MEMBER_STATE_READY
	scenarios := []struct {
		name   string
		call   func(context.Context) error
		code   connect.Code
		reason string
	}{
		{"lease without sidecar", lease("", "s", 1, 1), connect.CodeInvalidArgument, "want a sidecar"},
		{"lease without service", lease("s1", "", 1, 1), connect.CodeInvalidArgument, "a service"},
		{"lease of no items", lease("s1", "s", 1, 0), connect.CodeInvalidArgument, "1 to 256"},
		{"lease of too many items", lease("s1", "s", 1, 257), connect.CodeInvalidArgument, "1 to 256"},
		{"lease in the configuration group", lease("s1", "s", 0, 1), connect.CodeInvalidArgument, "no job group 0"},
		{"lease in an unknown group", lease("s1", "s", 9, 1), connect.CodeInvalidArgument, "no job group 9"},
		{"large result", complete(&toucanhingev1.Completion{Body: make([]byte, 101)}), connect.CodeInvalidArgument, "larger than 100"},
		{"too many completions", complete(make([]*toucanhingev1.Completion, 1025)...), connect.CodeInvalidArgument, "at most 1024"},
		{"heartbeat without name", beat("", &toucanhingev1.Member{}), connect.CodeInvalidArgument, "name"},
		{"heartbeat without member", beat("s1", nil), connect.CodeInvalidArgument, "member: missing"},
		{"heartbeat without role", beat("s1", &toucanhingev1.Member{State: ready, Incarnation: 1}), connect.CodeInvalidArgument, "role"},
		{"heartbeat in state dead", beat("s1", &toucanhingev1.Member{
			Role: toucanhingev1.Role_ROLE_GATEWAY, Incarnation: 1, State: toucanhingev1.MemberState_MEMBER_STATE_DEAD,
		}), connect.CodeInvalidArgument, "ready or leaving"},
		{"heartbeat without incarnation", beat("s1", &toucanhingev1.Member{Role: toucanhingev1.Role_ROLE_GATEWAY, State: ready}), connect.CodeInvalidArgument, "incarnation"},
		{"claim without team", claim("", "r", "t"), connect.CodeInvalidArgument, "want a team"},
		{"claim without id", claim("d", "", "t"), connect.CodeInvalidArgument, "request id"},
		{"claim without token", claim("d", "r", ""), connect.CodeInvalidArgument, "token"},
		{"cancel without team", cancel("", job), connect.CodeInvalidArgument, "team is missing"},
		{"cancel of another team's job", cancel("heredia", job), connect.CodeNotFound, "no such job"},
		{"cancel with a malformed job id", cancel("agence", "x"), connect.CodeNotFound, "no job here"},
		{"cancel in an unknown group", cancel("agence", "j7-000000000000000000000000"), connect.CodeNotFound, "no job here"},
		{"results of another team's job", results("heredia", job), connect.CodeNotFound, "no such job"},
		{"results of an unknown job", results("agence", "j1-000000000000000000000000"), connect.CodeNotFound, "no such job"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			err := s.call(c.context())
			require.Equal(t, s.code, connect.CodeOf(err), "%v", err)
			require.ErrorContains(t, err, s.reason)
		})
	}
}

// TestMalformedRequestsAreRefused sends requests that no generated client would send.
// Control must refuse them and continue to serve.
func TestMalformedRequestsAreRefused(t *testing.T) {
	c := newCluster(t, 1, nil)
	c.createContract()
	scenarios := []struct {
		name, path, kind, body string
		status                 int
	}{
		{"malformed JSON", "/toucanhinge.v1.OperatorService/Apply", "application/json", `{"entry":`, http.StatusBadRequest},
		{"wrong type", "/toucanhinge.v1.OperatorService/Apply", "application/json", `{"baseVersion":"x"}`, http.StatusBadRequest},
		{"garbage", "/toucanhinge.v1.WorkService/Lease", "application/proto", "\xff\xff\xff", http.StatusBadRequest},
		{"unknown codec", "/toucanhinge.v1.WorkService/Lease", "text/plain", "x", http.StatusUnsupportedMediaType},
		{"unknown call", "/toucanhinge.v1.WorkService/Steal", "application/json", "{}", http.StatusNotFound},
		{"oversized", "/toucanhinge.v1.OperatorService/Apply", "application/json", `{"author":"` + strings.Repeat("x", maxMessageBytes) + `"}`, http.StatusTooManyRequests},
		{"cut stream", "/toucanhinge.v1.JobService/Upload", "application/connect+proto", "\x00\x00\x00\x00\x09ab", http.StatusOK},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			url := "http://" + c.nodes[0].settings.Listen + s.path
			response, err := http.Post(url, s.kind, strings.NewReader(s.body))
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, s.status, response.StatusCode, string(body))
			if s.status == http.StatusOK {
				require.Contains(t, string(body), "invalid_argument")
			}
		})
	}
	_, err := c.upload("after", 1)
	require.NoError(t, err)
}

// TestHealthPages checks that a process that shuts down is alive but not ready.
func TestHealthPages(t *testing.T) {
	c := newCluster(t, 1, nil)
	get := func(path string) int {
		response, err := http.Get("http://" + c.nodes[0].settings.Listen + path)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response.StatusCode
	}
	require.Equal(t, http.StatusOK, get("/healthz"))
	require.Equal(t, http.StatusOK, get("/metrics"))
	require.Eventually(t, func() bool { return get("/readyz") == http.StatusOK }, testTimeout, pollInterval)
	c.nodes[0].process.beginShutdown()
	require.Equal(t, http.StatusServiceUnavailable, get("/readyz"))
	require.Equal(t, http.StatusOK, get("/healthz"), "a process that shuts down is alive")
}

// TestRefusedResultsAreCounted reports a result twice. The second report must be
// refused and counted in the metrics.
func TestRefusedResultsAreCounted(t *testing.T) {
	c := newCluster(t, 1, nil)
	c.createContract()
	_, err := c.upload("k", 1)
	require.NoError(t, err)
	leased := c.lease(1)
	c.complete(leased)
	require.Equal(t, []toucanhingev1.Verdict{toucanhingev1.Verdict_VERDICT_DECIDED}, c.complete(leased))
	response, err := http.Get("http://" + c.nodes[0].settings.Listen + "/metrics")
	require.NoError(t, err)
	page, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Contains(t, string(page), `toucanhinge_control_events_total{event="result-refused-decided",group="1"} 1`)
	require.Contains(t, string(page), `toucanhinge_control_held{group="1",kind="items"} 1`)
}

// TestFollowersReturnTheLeader calls replicas that are not the leader. Each must refuse
// the call and return the leader's address, so that callers reach it with one more call.
func TestFollowersReturnTheLeader(t *testing.T) {
	// With this long election timeout, the leader doesn't change on a busy machine.
	c := newCluster(t, 3, func(s *config.Config) { s.Consensus.ElectionMS = 3_000 })
	c.createContract()
	_, err := c.upload("k", 1)
	require.NoError(t, err)
	// Entries that a majority accepted may not have reached the third VM yet, which then
	// does not know the leader.
	for group := range uint32(2) {
		for _, n := range c.nodes {
			require.Eventually(t, func() bool {
				_, address, _ := n.process.groups.replicas[group].Leader()
				return address != ""
			}, testTimeout, pollInterval)
		}
	}
	leaders := map[uint32]string{0: c.client.Leader(0).Address, 1: c.client.Leader(1).Address}
	id := jobname.ID("agence", "k", 2)
	calls := map[uint32][]func(ctx context.Context, r *control.Replica) error{
		0: {
			func(ctx context.Context, r *control.Replica) error {
				_, err := r.Operators.Apply(ctx, connect.NewRequest(&toucanhingev1.ApplyRequest{RequestId: "x"}))
				return err
			},
			func(ctx context.Context, r *control.Replica) error {
				_, err := r.Operators.ListEntries(ctx, connect.NewRequest(&toucanhingev1.ListEntriesRequest{}))
				return err
			},
			func(ctx context.Context, r *control.Replica) error {
				_, err := r.Fleet.Floor(ctx, connect.NewRequest(&toucanhingev1.FloorRequest{}))
				return err
			},
			func(ctx context.Context, r *control.Replica) error {
				_, err := r.Fleet.Claim(ctx, connect.NewRequest(&toucanhingev1.ClaimRequest{Team: "d", RequestId: "r", Token: "t"}))
				return err
			},
		},
		1: {
			func(ctx context.Context, r *control.Replica) error {
				_, err := r.Work.Lease(ctx, connect.NewRequest(&toucanhingev1.LeaseRequest{Sidecar: "s", Service: "s", Group: 1, Most: 1}))
				return err
			},
			func(ctx context.Context, r *control.Replica) error {
				_, err := r.Work.Renew(ctx, connect.NewRequest(&toucanhingev1.RenewRequest{Sidecar: "s", Group: 1}))
				return err
			},
			func(ctx context.Context, r *control.Replica) error {
				_, err := r.Jobs.GetJob(ctx, connect.NewRequest(&toucanhingev1.GetJobRequest{Id: id}))
				return err
			},
			func(ctx context.Context, r *control.Replica) error {
				_, err := uploadItems(ctx, r, "k", 1)
				return err
			},
		},
	}
	for group, list := range calls {
		for i, call := range list {
			for _, n := range c.nodes {
				if n.settings.Listen == leaders[group] {
					continue
				}
				t.Run(fmt.Sprintf("group %d call %d at %s", group, i, n.settings.Name), func(t *testing.T) {
					address, refused := control.LeaderOf(call(c.context(), c.client.Replica(n.settings.Listen)))
					require.True(t, refused)
					require.Equal(t, leaders[group], address)
				})
			}
		}
	}
}
