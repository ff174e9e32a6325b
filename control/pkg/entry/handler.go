// Package entry implements JobService for gateways: it accepts uploads of batch jobs,
// returns the status and the results of jobs, and cancels jobs.
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
	callUpload  = "upload"
	callGet     = "get-job"
	callCancel  = "cancel-job"
	callResults = "read-results"

	reasonInvalid  = "invalid"
	reasonBroken   = "broken-off"
	reasonConflict = "key-conflict"
	reasonContract = "no-contract"
	reasonNoJob    = "no-such-job"
	reasonStorage  = "storage"

	// stepOverheadBytes is the assumed size of a step, and of a result, without its
	// payload.
	stepOverheadBytes = 256
	// contractTimeout is how long an upload waits for its contract to reach this replica.
	contractTimeout = time.Second
)

// Config configures a handler.
type Config struct {
	// Groups are the job groups by number.
	Groups map[uint32]*group.Jobs
	// GroupCount is the number of consensus groups, including the configuration group.
	GroupCount uint32
	Fleet      *group.Fleet
	Log       *record.Log
	Refuser    group.Refuser
	// MaxItems is the maximum number of items of a job, ItemBytes the maximum size of
	// each item's body.
	MaxItems  uint64
	ItemBytes int
}

// Handler implements JobService.
type Handler struct {
	config Config
}

var _ toucanhingev1connect.JobServiceHandler = (*Handler)(nil)

// New returns a handler.
func New(config Config) *Handler {
	return &Handler{config: config}
}

// leaderGroup returns the job's group if this replica leads it.
func (h *Handler) leaderGroup(call, id string) (*group.Jobs, error) {
	number, err := jobname.GroupOf(id)
	g := h.config.Groups[number]
	if err != nil || g == nil {
		return nil, h.config.Refuser.RefuseWith(call, reasonNoJob, connect.CodeNotFound, "%q is no job here", id)
	}
	name, address, self := g.Leader()
	if !self {
		return nil, h.config.Refuser.Refuse(call, &replica.NotLeaderError{Leader: name, Address: address})
	}
	return g, nil
}

// permission holds the configuration that applies to an upload.
type permission struct {
	allowed bool
	service *toucanhingev1.Service
	weight  uint32
}

// requireContract refuses an upload without a contract for batch work. This replica
// leads the job's group but may be a follower in group 0, and then may not have
// applied a contract that the gateway applies already. A refusal would be final for
// the caller, so the upload waits up to contractTimeout for the contract.
func (h *Handler) requireContract(ctx context.Context, header *toucanhingev1.UploadHeader) (permission, error) {
	timer := time.NewTimer(contractTimeout)
	defer timer.Stop()
	for {
		changed := h.config.Fleet.Machine.Changed()
		if p := h.readPermission(header); p.allowed {
			return p, nil
		}
		select {
		case <-changed:
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		return permission{}, h.config.Refuser.RefuseWith(callUpload, reasonContract, connect.CodePermissionDenied,
			"team %q has no contract for batch work on service %q", header.GetTeam(), header.GetService())
	}
}

func (h *Handler) readPermission(header *toucanhingev1.UploadHeader) permission {
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

// GetJob returns the status of a job, confirmed by a quorum.
func (h *Handler) GetJob(
	ctx context.Context, request *connect.Request[toucanhingev1.GetJobRequest],
) (*connect.Response[toucanhingev1.GetJobResponse], error) {
	g, err := h.leaderGroup(callGet, request.Msg.GetId())
	if err != nil {
		return nil, err
	}
	if err := g.Read(ctx); err != nil {
		return nil, h.config.Refuser.Refuse(callGet, err)
	}
	var status *toucanhingev1.JobStatus
	g.Machine.View(func(s *jobstate.State) { status, err = s.Job(request.Msg.GetTeam(), request.Msg.GetId()) })
	if err != nil {
		return nil, h.noJobError(callGet, request.Msg.GetId(), err)
	}
	return connect.NewResponse(&toucanhingev1.GetJobResponse{Job: status}), nil
}

func (h *Handler) noJobError(call, id string, err error) error {
	return h.config.Refuser.RefuseWith(call, reasonNoJob, connect.CodeNotFound, "%q: %w", id, err)
}

// CancelJob ends a job for good.
func (h *Handler) CancelJob(
	ctx context.Context, request *connect.Request[toucanhingev1.CancelJobRequest],
) (*connect.Response[toucanhingev1.CancelJobResponse], error) {
	if request.Msg.GetTeam() == "" {
		return nil, h.config.Refuser.RefuseWith(callCancel, reasonInvalid, connect.CodeInvalidArgument, "the team is missing")
	}
	return h.Cancel(ctx, request)
}

// Cancel cancels a job for an operator; an empty team matches any team.
func (h *Handler) Cancel(
	ctx context.Context, request *connect.Request[toucanhingev1.CancelJobRequest],
) (*connect.Response[toucanhingev1.CancelJobResponse], error) {
	g, err := h.leaderGroup(callCancel, request.Msg.GetId())
	if err != nil {
		return nil, err
	}
	step := &toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Cancel{Cancel: request.Msg}}
	answer, err := group.Do[jobstate.CancelResult](ctx, g.Steps, step, stepOverheadBytes)
	if err != nil {
		return nil, h.config.Refuser.Refuse(callCancel, err)
	}
	if errors.Is(answer.Err, jobstate.ErrNoJob) {
		return nil, h.noJobError(callCancel, request.Msg.GetId(), answer.Err)
	}
	h.config.Log.Add(request.Msg.GetId(), "cancelled", answer.Status.GetState().String())
	return connect.NewResponse(&toucanhingev1.CancelJobResponse{Job: answer.Status}), nil
}
