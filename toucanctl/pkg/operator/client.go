// Package operator implements the client for the operator API of the control VMs.
package operator

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/control"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// ErrRefused reports a change that control did not accept.
var ErrRefused = errors.New("refused")

// ErrNotFound reports a name that control does not know.
var ErrNotFound = errors.New("not found")

// Config holds the dependencies of a Client and the addresses of the control VMs.
type Config struct {
	Client    *control.Client
	HTTP      *http.Client
	Addresses []string
	Author    string
}

// Client calls the control VMs on behalf of an operator.
type Client struct {
	config Config
}

// New returns a client.
func New(config Config) *Client {
	return &Client{config: config}
}

// Change is one configuration change.
type Change struct {
	Entry *toucanhingev1.Entry
	// RequestID identifies the change across retries. If it is empty, a new one is generated.
	RequestID string
	// Base is the version that the change is based on. If it is nil, the version in force is
	// fetched first.
	Base *uint64
}

// call sends a request to the leader of the consensus group and retries until the context ends.
func call[Q, A any](
	ctx context.Context, c *Client, operation string, request *Q,
	do func(*control.Replica) func(context.Context, *connect.Request[Q]) (*connect.Response[A], error),
) (*A, error) {
	response, err := control.Call(ctx, c.config.Client, 0, operation,
		func(ctx context.Context, r *control.Replica) (*connect.Response[A], error) {
			return do(r)(ctx, connect.NewRequest(request))
		})
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

type (
	applyCall  = func(context.Context, *connect.Request[toucanhingev1.ApplyRequest]) (*connect.Response[toucanhingev1.ApplyResponse], error)
	listCall   = func(context.Context, *connect.Request[toucanhingev1.ListEntriesRequest]) (*connect.Response[toucanhingev1.ListEntriesResponse], error)
	statusCall = func(context.Context, *connect.Request[toucanhingev1.ConfigStatusRequest]) (*connect.Response[toucanhingev1.ConfigStatusResponse], error)
	jobsCall   = func(context.Context, *connect.Request[toucanhingev1.ListJobsRequest]) (*connect.Response[toucanhingev1.ListJobsResponse], error)
	teamsCall  = func(context.Context, *connect.Request[toucanhingev1.ListTeamsRequest]) (*connect.Response[toucanhingev1.ListTeamsResponse], error)
	cancelCall = func(context.Context, *connect.Request[toucanhingev1.CancelJobRequest]) (*connect.Response[toucanhingev1.CancelJobResponse], error)
	changeCall = func(context.Context, *connect.Request[toucanhingev1.ChangeReplicaRequest]) (*connect.Response[toucanhingev1.ChangeReplicaResponse], error)
)

// Apply submits one change. If control refuses it, the response holds the entry in
// force and the error wraps ErrRefused.
func (c *Client) Apply(ctx context.Context, change Change) (*toucanhingev1.ApplyResponse, error) {
	request := &toucanhingev1.ApplyRequest{RequestId: change.RequestID, Entry: change.Entry, Author: c.config.Author}
	if request.RequestId == "" {
		request.RequestId = rand.Text()
	}
	base, err := c.baseVersion(ctx, change)
	if err != nil {
		return nil, err
	}
	request.BaseVersion = base
	response, err := call(ctx, c, "apply", request, func(r *control.Replica) applyCall { return r.Operators.Apply })
	if err != nil {
		return nil, err
	}
	if !response.GetAccepted() {
		return response, fmt.Errorf("%s: %w", response.GetReason(), ErrRefused)
	}
	return response, nil
}

func (c *Client) baseVersion(ctx context.Context, change Change) (uint64, error) {
	if change.Base != nil {
		return *change.Base, nil
	}
	response, err := c.List(ctx, change.Entry.GetKind(), change.Entry.GetName())
	if err != nil {
		return 0, fmt.Errorf("fetch the version in force: %w", err)
	}
	for _, e := range response.GetEntries() {
		return e.GetVersion(), nil
	}
	if change.Entry.GetRemoved() {
		return 0, fmt.Errorf("%s: %w", change.Entry.GetName(), ErrNotFound)
	}
	return 0, nil
}

// List returns accepted entries of a kind, or the one with the given name.
func (c *Client) List(ctx context.Context, kind toucanhingev1.Kind, name string) (*toucanhingev1.ListEntriesResponse, error) {
	return call(ctx, c, "list", &toucanhingev1.ListEntriesRequest{Kind: kind, Name: name},
		func(r *control.Replica) listCall { return r.Operators.ListEntries })
}

// ConfigStatus returns the configuration version that each process applies.
func (c *Client) ConfigStatus(ctx context.Context) (*toucanhingev1.ConfigStatusResponse, error) {
	return call(ctx, c, "config-status", &toucanhingev1.ConfigStatusRequest{},
		func(r *control.Replica) statusCall { return r.Operators.ConfigStatus })
}

// Jobs lists the jobs of a team, or of all teams if the name is empty.
func (c *Client) Jobs(ctx context.Context, team string) (*toucanhingev1.ListJobsResponse, error) {
	return call(ctx, c, "jobs", &toucanhingev1.ListJobsRequest{Team: team},
		func(r *control.Replica) jobsCall { return r.Operators.ListJobs })
}

// Teams lists the teams of the routing table, or only the named one.
func (c *Client) Teams(ctx context.Context, team string) (*toucanhingev1.ListTeamsResponse, error) {
	response, err := call(ctx, c, "teams", &toucanhingev1.ListTeamsRequest{Team: team},
		func(r *control.Replica) teamsCall { return r.Core.ListTeams })
	if err == nil && team != "" && len(response.GetTeams()) == 0 {
		return response, fmt.Errorf("team %q: %w", team, ErrNotFound)
	}
	return response, err
}

// Cancel cancels a job of any team.
func (c *Client) Cancel(ctx context.Context, job, requestID string) (*toucanhingev1.CancelJobResponse, error) {
	if requestID == "" {
		requestID = rand.Text()
	}
	return call(ctx, c, "cancel", &toucanhingev1.CancelJobRequest{Id: job, RequestId: requestID},
		func(r *control.Replica) cancelCall { return r.Operators.CancelAnyJob })
}

// ChangeReplica adds, promotes or removes a control VM. If the request adds a VM and
// names no identity, the new VM is queried for it.
func (c *Client) ChangeReplica(
	ctx context.Context, request *toucanhingev1.ChangeReplicaRequest,
) (*toucanhingev1.ChangeReplicaResponse, error) {
	if request.GetChange() == toucanhingev1.ReplicaChange_REPLICA_CHANGE_ADD_LEARNER && request.GetIdentity() == "" {
		status, err := c.config.Client.Replica(request.GetAddress()).Operators.GroupStatus(
			ctx, connect.NewRequest(&toucanhingev1.GroupStatusRequest{}))
		if err != nil {
			return nil, fmt.Errorf("query the new control VM at %s for its identity: %w", request.GetAddress(), err)
		}
		request.Identity = status.Msg.GetIdentity()
	}
	return call(ctx, c, "change-replica", request, func(r *control.Replica) changeCall { return r.Operators.ChangeReplica })
}

// Handover requests one control VM to transfer its leaderships to other VMs.
func (c *Client) Handover(ctx context.Context, address string) (*toucanhingev1.HandoverResponse, error) {
	response, err := c.config.Client.Replica(address).Operators.Handover(ctx, connect.NewRequest(&toucanhingev1.HandoverRequest{}))
	if err != nil {
		return nil, fmt.Errorf("leadership transfer at %s: %w", address, err)
	}
	return response.Msg, nil
}
