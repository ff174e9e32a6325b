// Package work serves sidecars: it leases batch items to them and takes their
// outcomes.
package work

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/record"
	"toucanhinge.example/common/pkg/world"
	"toucanhinge.example/control/pkg/fleetstate"
	"toucanhinge.example/control/pkg/group"
	"toucanhinge.example/control/pkg/jobstate"
	"toucanhinge.example/control/pkg/replica"
	"toucanhinge.example/control/pkg/segment"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

const (
	placeLease    = "lease"
	placeComplete = "complete"
	placeRenew    = "renew"

	reasonInvalid  = "invalid"
	reasonGroup    = "no-such-group"
	reasonStorage  = "storage"
	reasonTooLarge = "too-large"

	// retryIdle and retryBusy are when to ask again, milliseconds: if nothing
	// waits at all, and if something waits that the sidecar can't have yet.
	retryIdle = 500
	retryBusy = 50

	mostLeased      = 256
	mostCompletions = 1024
	stepBytes       = 128
)

// Config describes the handler.
type Config struct {
	// Groups are the job groups by number.
	Groups map[uint32]*group.Jobs
	Fleet  *group.Fleet
	Leases *LeaseTracker
	Clock  clock.Clock
	Book   *record.Log
	// Lease is how long a lease holds without a renewal.
	Lease   clock.Millis
	Refuser group.Refuser
	// ResultBytes is the largest result of one item.
	ResultBytes int
}

// Handler is the WorkService.
type Handler struct {
	config Config
}

var _ toucanhingev1connect.WorkServiceHandler = (*Handler)(nil)

// New makes the handler.
func New(config Config) *Handler {
	return &Handler{config: config}
}

func (h *Handler) group(place string, number uint32) (*group.Jobs, error) {
	g := h.config.Groups[number]
	if g == nil {
		return nil, h.config.Refuser.RefuseWith(place, reasonGroup, connect.CodeInvalidArgument, "there is no job group %d", number)
	}
	name, address, self := g.Leader()
	if !self {
		return nil, h.config.Refuser.Refuse(place, &replica.NotLeaderError{Leader: name, Address: address})
	}
	return g, nil
}

// Lease hands out items. An idle sidecar's question is answered from the
// leader's state and costs no log entry.
func (h *Handler) Lease(
	ctx context.Context, request *connect.Request[toucanhingev1.LeaseRequest],
) (*connect.Response[toucanhingev1.LeaseResponse], error) {
	asked := request.Msg
	if asked.GetSidecar() == "" || asked.GetService() == "" || asked.GetMost() == 0 || asked.GetMost() > mostLeased {
		return nil, h.config.Refuser.RefuseWith(placeLease, reasonInvalid, connect.CodeInvalidArgument,
			"want a sidecar, a service and 1 to %d items", mostLeased)
	}
	g, err := h.group(placeLease, asked.GetGroup())
	if err != nil {
		return nil, err
	}
	waiting := false
	g.Machine.View(func(s *jobstate.State) { waiting = s.HasWaitingItems(asked.GetService()) })
	if !waiting {
		return connect.NewResponse(&toucanhingev1.LeaseResponse{LeaseMs: int64(h.config.Lease), RetryMs: retryIdle}), nil
	}
	step := &toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Lease{Lease: &toucanhingev1.LeaseStep{
		Request: asked, Excluded: h.excluded(asked.GetService(), asked.GetSidecar()),
	}}}
	answer, err := group.Do[jobstate.LeaseAnswer](ctx, g.Steps, step, stepBytes)
	if err != nil {
		return nil, h.config.Refuser.Refuse(placeLease, err)
	}
	return h.handOut(g, asked, answer)
}

func (h *Handler) handOut(
	g *group.Jobs, asked *toucanhingev1.LeaseRequest, answer jobstate.LeaseAnswer,
) (*connect.Response[toucanhingev1.LeaseResponse], error) {
	response := &toucanhingev1.LeaseResponse{LeaseMs: int64(h.config.Lease)}
	if len(answer.Items) == 0 {
		response.RetryMs = retryIdle
		if answer.Waiting {
			response.RetryMs = retryBusy
		}
		return connect.NewResponse(response), nil
	}
	items, err := readItems(g, answer.Items)
	if err != nil {
		return nil, h.config.Refuser.RefuseWith(placeLease, reasonStorage, connect.CodeDataLoss, "read leased items: %w", err)
	}
	for _, l := range items {
		h.config.Leases.Granted(g.Number, l.GetLease())
	}
	response.Items = items
	h.config.Book.Add(items[0].GetJob(), "leased", asked.GetSidecar())
	return connect.NewResponse(response), nil
}

func readItems(g *group.Jobs, leased []jobstate.Leased) ([]*toucanhingev1.LeasedItem, error) {
	places := make([]segment.Ref, 0, len(leased))
	for _, l := range leased {
		places = append(places, l.Body)
	}
	payloads, err := g.Machine.ReadItems(places)
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

// excluded lists the teams whose contract keeps their work out of the sidecar's
// data centre.
func (h *Handler) excluded(service, sidecar string) []string {
	var excluded []string
	h.config.Fleet.Machine.View(func(s *fleetstate.State) {
		member, found := s.Entry(toucanhingev1.Kind_KIND_MEMBER, sidecar)
		if !found {
			return
		}
		for _, team := range s.RestrictedContracts(service) {
			if !(world.Contract{Contract: team}).Allows(member.GetMember().GetDataCentre()) {
				excluded = append(excluded, team.GetTeam())
			}
		}
	})
	return excluded
}

// Complete takes outcomes; each gets its own verdict.
func (h *Handler) Complete(
	ctx context.Context, request *connect.Request[toucanhingev1.CompleteRequest],
) (*connect.Response[toucanhingev1.CompleteResponse], error) {
	if len(request.Msg.GetCompletions()) > mostCompletions {
		return nil, h.config.Refuser.RefuseWith(placeComplete, reasonInvalid, connect.CodeInvalidArgument,
			"want at most %d completions", mostCompletions)
	}
	size := stepBytes
	for _, c := range request.Msg.GetCompletions() {
		if len(c.GetBody())+len(c.GetReason()) > h.config.ResultBytes {
			return nil, h.config.Refuser.RefuseWith(placeComplete, reasonTooLarge, connect.CodeInvalidArgument,
				"the result of item %s/%d is larger than %d bytes", c.GetJob(), c.GetIndex(), h.config.ResultBytes)
		}
		size += len(c.GetBody()) + len(c.GetReason()) + stepBytes
	}
	g, err := h.group(placeComplete, request.Msg.GetGroup())
	if err != nil {
		return nil, err
	}
	step := &toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Complete{Complete: request.Msg}}
	answer, err := group.Do[jobstate.CompleteAnswer](ctx, g.Steps, step, size)
	if err != nil {
		return nil, h.config.Refuser.Refuse(placeComplete, err)
	}
	return connect.NewResponse(&toucanhingev1.CompleteResponse{Verdicts: answer.Verdicts}), nil
}

// Renew keeps leases alive and names those that no longer hold.
func (h *Handler) Renew(
	ctx context.Context, request *connect.Request[toucanhingev1.RenewRequest],
) (*connect.Response[toucanhingev1.RenewResponse], error) {
	g, err := h.group(placeRenew, request.Msg.GetGroup())
	if err != nil {
		return nil, err
	}
	if err := h.config.Leases.Confirm(ctx, g); err != nil {
		return nil, h.config.Refuser.Refuse(placeRenew, err)
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
