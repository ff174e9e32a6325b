// Package work implements WorkService for sidecars: it leases batch items to them
// and records the outcomes they report.
package work

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/fleetconfig"
	"toucanhinge.example/common/pkg/record"
	"toucanhinge.example/control/pkg/fleetstate"
	"toucanhinge.example/control/pkg/group"
	"toucanhinge.example/control/pkg/jobstate"
	"toucanhinge.example/control/pkg/replica"
	"toucanhinge.example/control/pkg/segment"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

const (
	callLease    = "lease"
	callComplete = "complete"
	callRenew    = "renew"

	reasonInvalid  = "invalid"
	reasonGroup    = "no-such-group"
	reasonStorage  = "storage"
	reasonTooLarge = "too-large"

	// retryIdleMillis and retryBusyMillis are the retry intervals sent to a sidecar
	// that got no items: if no items wait, and if items wait that the sidecar can't
	// have yet.
	retryIdleMillis = 500
	retryBusyMillis = 50

	maxLeased      = 256
	maxCompletions = 1024
	// stepOverheadBytes is the assumed size of a step, and of a completion, without
	// its payload.
	stepOverheadBytes = 128
)

// Config configures a handler.
type Config struct {
	// Groups are the job groups by number.
	Groups map[uint32]*group.Jobs
	Fleet  *group.Fleet
	Leases *LeaseTracker
	Clock  clock.Clock
	Log   *record.Log
	// Lease is the time after which a lease expires without a renewal.
	Lease   clock.Millis
	Refuser group.Refuser
	// ResultBytes is the maximum size of one item's result.
	ResultBytes int
}

// Handler implements WorkService.
type Handler struct {
	config Config
}

var _ toucanhingev1connect.WorkServiceHandler = (*Handler)(nil)

// New returns a handler.
func New(config Config) *Handler {
	return &Handler{config: config}
}

// leaderGroup returns a job group if this replica leads it.
func (h *Handler) leaderGroup(call string, number uint32) (*group.Jobs, error) {
	g := h.config.Groups[number]
	if g == nil {
		return nil, h.config.Refuser.RefuseWith(call, reasonGroup, connect.CodeInvalidArgument, "there is no job group %d", number)
	}
	name, address, self := g.Leader()
	if !self {
		return nil, h.config.Refuser.Refuse(call, &replica.NotLeaderError{Leader: name, Address: address})
	}
	return g, nil
}

// Lease leases items to a sidecar. If no items wait, the leader answers from its
// state without a log entry.
func (h *Handler) Lease(
	ctx context.Context, request *connect.Request[toucanhingev1.LeaseRequest],
) (*connect.Response[toucanhingev1.LeaseResponse], error) {
	msg := request.Msg
	if msg.GetSidecar() == "" || msg.GetService() == "" || msg.GetMost() == 0 || msg.GetMost() > maxLeased {
		return nil, h.config.Refuser.RefuseWith(callLease, reasonInvalid, connect.CodeInvalidArgument,
			"want a sidecar, a service and 1 to %d items", maxLeased)
	}
	g, err := h.leaderGroup(callLease, msg.GetGroup())
	if err != nil {
		return nil, err
	}
	waiting := false
	g.Machine.View(func(s *jobstate.State) { waiting = s.HasWaitingItems(msg.GetService()) })
	if !waiting {
		return connect.NewResponse(&toucanhingev1.LeaseResponse{LeaseMs: int64(h.config.Lease), RetryMs: retryIdleMillis}), nil
	}
	step := &toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Lease{Lease: &toucanhingev1.LeaseStep{
		Request: msg, Excluded: h.excludedTeams(msg.GetService(), msg.GetSidecar()),
	}}}
	answer, err := group.Do[jobstate.LeaseResult](ctx, g.Steps, step, stepOverheadBytes)
	if err != nil {
		return nil, h.config.Refuser.Refuse(callLease, err)
	}
	return h.leaseResponse(g, msg, answer)
}

func (h *Handler) leaseResponse(
	g *group.Jobs, msg *toucanhingev1.LeaseRequest, answer jobstate.LeaseResult,
) (*connect.Response[toucanhingev1.LeaseResponse], error) {
	response := &toucanhingev1.LeaseResponse{LeaseMs: int64(h.config.Lease)}
	if len(answer.Items) == 0 {
		response.RetryMs = retryIdleMillis
		if answer.Waiting {
			response.RetryMs = retryBusyMillis
		}
		return connect.NewResponse(response), nil
	}
	items, err := readItems(g, answer.Items)
	if err != nil {
		return nil, h.config.Refuser.RefuseWith(callLease, reasonStorage, connect.CodeDataLoss, "read leased items: %w", err)
	}
	for _, l := range items {
		h.config.Leases.Granted(g.Number, l.GetLease())
	}
	response.Items = items
	h.config.Log.Add(items[0].GetJob(), "leased", msg.GetSidecar())
	return connect.NewResponse(response), nil
}

func readItems(g *group.Jobs, leased []jobstate.Leased) ([]*toucanhingev1.LeasedItem, error) {
	refs := make([]segment.Ref, 0, len(leased))
	for _, l := range leased {
		refs = append(refs, l.Body)
	}
	payloads, err := g.Machine.ReadItems(refs)
	if err != nil {
		return nil, err
	}
	items := make([]*toucanhingev1.LeasedItem, 0, len(leased))
	for n, l := range leased {
		item := &toucanhingev1.Item{}
		if err := proto.Unmarshal(payloads[n], item); err != nil {
			return nil, fmt.Errorf("decode item %s/%d: %w", l.Job, l.Index, err)
		}
		items = append(items, &toucanhingev1.LeasedItem{
			Job: l.Job, Index: uint64(l.Index), Lease: l.Lease, Attempt: l.Attempt,
			DeadlineMs: int64(l.Deadline), Team: l.Team, Body: item.GetBody(), Alone: l.Alone,
		})
	}
	return items, nil
}

// excludedTeams returns the teams whose contract excludes the sidecar's data centre.
func (h *Handler) excludedTeams(service, sidecar string) []string {
	var excluded []string
	h.config.Fleet.Machine.View(func(s *fleetstate.State) {
		member, found := s.Entry(toucanhingev1.Kind_KIND_MEMBER, sidecar)
		if !found {
			return
		}
		for _, team := range s.RestrictedContracts(service) {
			if !(fleetconfig.Contract{Contract: team}).Allows(member.GetMember().GetDataCentre()) {
				excluded = append(excluded, team.GetTeam())
			}
		}
	})
	return excluded
}

// Complete records outcomes and returns one verdict for each.
func (h *Handler) Complete(
	ctx context.Context, request *connect.Request[toucanhingev1.CompleteRequest],
) (*connect.Response[toucanhingev1.CompleteResponse], error) {
	if len(request.Msg.GetCompletions()) > maxCompletions {
		return nil, h.config.Refuser.RefuseWith(callComplete, reasonInvalid, connect.CodeInvalidArgument,
			"want at most %d completions", maxCompletions)
	}
	size := stepOverheadBytes
	for _, c := range request.Msg.GetCompletions() {
		if len(c.GetBody())+len(c.GetReason()) > h.config.ResultBytes {
			return nil, h.config.Refuser.RefuseWith(callComplete, reasonTooLarge, connect.CodeInvalidArgument,
				"the result of item %s/%d is larger than %d bytes", c.GetJob(), c.GetIndex(), h.config.ResultBytes)
		}
		size += len(c.GetBody()) + len(c.GetReason()) + stepOverheadBytes
	}
	g, err := h.leaderGroup(callComplete, request.Msg.GetGroup())
	if err != nil {
		return nil, err
	}
	step := &toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Complete{Complete: request.Msg}}
	answer, err := group.Do[jobstate.CompleteResult](ctx, g.Steps, step, size)
	if err != nil {
		return nil, h.config.Refuser.Refuse(callComplete, err)
	}
	return connect.NewResponse(&toucanhingev1.CompleteResponse{Verdicts: answer.Verdicts}), nil
}

// Renew renews leases and returns the leases that are no longer live.
func (h *Handler) Renew(
	ctx context.Context, request *connect.Request[toucanhingev1.RenewRequest],
) (*connect.Response[toucanhingev1.RenewResponse], error) {
	g, err := h.leaderGroup(callRenew, request.Msg.GetGroup())
	if err != nil {
		return nil, err
	}
	if err := h.config.Leases.Confirm(ctx, g); err != nil {
		return nil, h.config.Refuser.Refuse(callRenew, err)
	}
	response := &toucanhingev1.RenewResponse{LeaseMs: int64(h.config.Lease)}
	g.Machine.View(func(s *jobstate.State) {
		for _, number := range request.Msg.GetLeases() {
			if !s.Live(number) {
				response.Revoked = append(response.Revoked, number)
			}
		}
	})
	h.config.Leases.Renewed(g.Number, request.Msg)
	return connect.NewResponse(response), nil
}
