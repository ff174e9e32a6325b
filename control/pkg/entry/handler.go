// Package entry serves gateways: it takes uploads of batch jobs, and tells and
// cancels jobs and reads their results.
package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	jobname "toucanhinge.example/common/pkg/job"
	"toucanhinge.example/common/pkg/record"
	"toucanhinge.example/control/pkg/fleetstate"
	"toucanhinge.example/control/pkg/group"
	"toucanhinge.example/control/pkg/jobstate"
	"toucanhinge.example/control/pkg/replica"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

const (
	placeUpload  = "upload"
	placeGet     = "get-job"
	placeCancel  = "cancel-job"
	placeResults = "read-results"

	reasonInvalid  = "invalid"
	reasonBroken   = "broken-off"
	reasonConflict = "key-conflict"
	reasonContract = "no-contract"
	reasonNoJob    = "no-such-job"
	reasonStorage  = "storage"

	stepBytes = 256
	// contractWait is how long an upload waits for its contract to arrive here.
	contractWait = time.Second
)

// Config describes the handler.
type Config struct {
	// Groups are the job groups by number.
	Groups map[uint32]*group.Jobs
	// GroupCount is the number of consensus groups, the one for configuration included.
	GroupCount   uint32
	Fleet   *group.Fleet
	Book    *record.Log
	Refuser group.Refuser
	// MaxItems and ItemBytes bound a job and each of its items.
	MaxItems uint64
	ItemBytes int
}

// Handler is the JobService.
type Handler struct {
	config Config
}

var _ toucanhingev1connect.JobServiceHandler = (*Handler)(nil)

// New makes the handler.
func New(config Config) *Handler {
	return &Handler{config: config}
}

// lead returns the job's group if this replica leads it.
func (h *Handler) lead(place, id string) (*group.Jobs, error) {
	number, err := jobname.GroupOf(id)
	g := h.config.Groups[number]
	if err != nil || g == nil {
		return nil, h.config.Refuser.RefuseWith(place, reasonNoJob, connect.CodeNotFound, "%q is no job here", id)
	}
	name, address, self := g.Leader()
	if !self {
		return nil, h.config.Refuser.Refuse(place, &replica.NotLeaderError{Leader: name, Address: address})
	}
	return g, nil
}

// permission is what an upload needs to know of the configuration.
type permission struct {
	allowed bool
	service *toucanhingev1.Service
	weight  uint32
}

// permit refuses an upload without a contract for batch work. This replica leads
// the job's group but may follow in group 0, and then lag behind a contract that
// the gateway has in force already; a refusal would be final for the caller, so
// we wait a little for the contract to arrive here too.
func (h *Handler) permit(ctx context.Context, header *toucanhingev1.UploadHeader) (permission, error) {
	timer := time.NewTimer(contractWait)
	defer timer.Stop()
	for {
		changed := h.config.Fleet.Machine.Changed()
		if p := h.permission(header); p.allowed {
			return p, nil
		}
		select {
		case <-changed:
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		return permission{}, h.config.Refuser.RefuseWith(placeUpload, reasonContract, connect.CodePermissionDenied,
			"team %q has no contract for batch work on service %q", header.GetTeam(), header.GetService())
	}
}

func (h *Handler) permission(header *toucanhingev1.UploadHeader) permission {
	var p permission
	h.config.Fleet.Machine.View(func(s *fleetstate.State) {
		service, found := s.Entry(toucanhingev1.Kind_KIND_SERVICE, header.GetService())
		p.service = service.GetService()
		p.allowed = found && s.AllowsBatch(header.GetTeam(), header.GetService())
		if e, known := s.Entry(toucanhingev1.Kind_KIND_TEAM, header.GetTeam()); known {
			p.weight = e.GetTeam().GetWeight()
		}
	})
	return p
}

// GetJob tells how far a job is, confirmed by a quorum.
func (h *Handler) GetJob(
	ctx context.Context, request *connect.Request[toucanhingev1.GetJobRequest],
) (*connect.Response[toucanhingev1.GetJobResponse], error) {
	g, err := h.lead(placeGet, request.Msg.GetId())
	if err != nil {
		return nil, err
	}
	if err := g.Read(ctx); err != nil {
		return nil, h.config.Refuser.Refuse(placeGet, err)
	}
	var status *toucanhingev1.JobStatus
	g.Machine.View(func(s *jobstate.State) { status, err = s.Job(request.Msg.GetTeam(), request.Msg.GetId()) })
	if err != nil {
		return nil, h.noJob(placeGet, request.Msg.GetId(), err)
	}
	return connect.NewResponse(&toucanhingev1.GetJobResponse{Job: status}), nil
}

func (h *Handler) noJob(place, id string, err error) error {
	return h.config.Refuser.RefuseWith(place, reasonNoJob, connect.CodeNotFound, "%q: %w", id, err)
}

// CancelJob ends a job for good.
func (h *Handler) CancelJob(
	ctx context.Context, request *connect.Request[toucanhingev1.CancelJobRequest],
) (*connect.Response[toucanhingev1.CancelJobResponse], error) {
	if request.Msg.GetTeam() == "" {
		return nil, h.config.Refuser.RefuseWith(placeCancel, reasonInvalid, connect.CodeInvalidArgument, "the team is missing")
	}
	return h.Cancel(ctx, request)
}

// Cancel is CancelJob for operators, who may leave the team empty.
func (h *Handler) Cancel(
	ctx context.Context, request *connect.Request[toucanhingev1.CancelJobRequest],
) (*connect.Response[toucanhingev1.CancelJobResponse], error) {
	g, err := h.lead(placeCancel, request.Msg.GetId())
	if err != nil {
		return nil, err
	}
	step := &toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Cancel{Cancel: request.Msg}}
	answer, err := group.Do[jobstate.CancelAnswer](ctx, g.Steps, step, stepBytes)
	if err != nil {
		return nil, h.config.Refuser.Refuse(placeCancel, err)
	}
	if errors.Is(answer.Err, jobstate.ErrNoJob) {
		return nil, h.noJob(placeCancel, request.Msg.GetId(), answer.Err)
	}
	h.config.Book.Add(request.Msg.GetId(), "cancelled", answer.Status.GetState().String())
	return connect.NewResponse(&toucanhingev1.CancelJobResponse{Job: answer.Status}), nil
}
