// Package operator implements the service for operators, scripts and consoles.
package operator

import (
	"context"

	"connectrpc.com/connect"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/record"
	"toucanhinge.example/control/pkg/entry"
	"toucanhinge.example/control/pkg/fleet"
	"toucanhinge.example/control/pkg/fleetstate"
	"toucanhinge.example/control/pkg/group"
	"toucanhinge.example/control/pkg/jobstate"
	"toucanhinge.example/control/pkg/replica"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

// Operation names, which label refused calls in metrics.
const (
	opApply    = "apply"
	opList     = "list-entries"
	opStatus   = "config-status"
	opChange   = "change-replica"
	opHandover = "handover"

	reasonInvalid = "invalid"
	reasonRefused = "change-refused"

	// approxStepBytes is the approximate size of an operator's change in the log, without
	// its entry.
	approxStepBytes = 2 << 10
	// maxEntryBytes is the largest size of a request that changes a configuration entry.
	maxEntryBytes = 256 << 10
)

// Replicas provides the operations on this process's replicas of all groups.
type Replicas struct {
	Name string
	// Identity is the identity of this process's data folder.
	Identity           string
	Status             func() []*toucanhingev1.GroupState
	Change             func(ctx context.Context, request *toucanhingev1.ChangeReplicaRequest) error
	TransferLeadership func(ctx context.Context) (moved int, err error)
}

// Config holds the settings and dependencies of a Handler.
type Config struct {
	Fleet    *group.Fleet
	Jobs     map[uint32]*group.Jobs
	Entry    *entry.Handler
	Leases   *fleet.LeaseTracker
	Replicas Replicas
	Clock    clock.Clock
	Log      *record.Log
	Refuser  group.Refuser
	// LoadInterval is the minimum time between two loads from the weight store.
	LoadInterval clock.Millis
}

// Handler implements the OperatorService.
type Handler struct {
	config Config
}

var _ toucanhingev1connect.OperatorServiceHandler = (*Handler)(nil)

// New returns a handler.
func New(config Config) *Handler {
	return &Handler{config: config}
}

// Apply submits one change of the configuration. The response reports whether it was
// accepted.
func (h *Handler) Apply(
	ctx context.Context, request *connect.Request[toucanhingev1.ApplyRequest],
) (*connect.Response[toucanhingev1.ApplyResponse], error) {
	size := requestBytes(request.Msg)
	if size > maxEntryBytes {
		return nil, h.config.Refuser.RefuseWith(opApply, reasonInvalid, connect.CodeInvalidArgument,
			"the entry is larger than %d bytes", maxEntryBytes)
	}
	step := &toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_Apply{Apply: &toucanhingev1.ApplyStep{
		Request: request.Msg, LoadIntervalMs: int64(h.config.LoadInterval),
	}}}
	response, err := group.Do[*toucanhingev1.ApplyResponse](ctx, h.config.Fleet.Steps, step, approxStepBytes+size)
	if err != nil {
		return nil, h.config.Refuser.Refuse(opApply, err)
	}
	event := "accepted"
	if !response.GetAccepted() {
		event = "refused"
	}
	h.config.Log.Add(request.Msg.GetEntry().GetName(), event, request.Msg.GetAuthor()+" "+response.GetReason())
	return connect.NewResponse(response), nil
}

// ListEntries returns the accepted configuration, confirmed by a quorum.
func (h *Handler) ListEntries(
	ctx context.Context, request *connect.Request[toucanhingev1.ListEntriesRequest],
) (*connect.Response[toucanhingev1.ListEntriesResponse], error) {
	if err := h.config.Fleet.Read(ctx); err != nil {
		return nil, h.config.Refuser.Refuse(opList, err)
	}
	query, response := request.Msg, &toucanhingev1.ListEntriesResponse{}
	h.config.Fleet.Machine.View(func(s *fleetstate.State) {
		response.Version = s.Version()
		response.Entries = s.Entries(query.GetKind(), query.GetName(), query.GetWithRemoved())
	})
	return connect.NewResponse(response), nil
}

// ConfigStatus returns the configuration version that each process has applied, according
// to its last heartbeat.
func (h *Handler) ConfigStatus(
	ctx context.Context, _ *connect.Request[toucanhingev1.ConfigStatusRequest],
) (*connect.Response[toucanhingev1.ConfigStatusResponse], error) {
	if err := h.config.Fleet.Read(ctx); err != nil {
		return nil, h.config.Refuser.Refuse(opStatus, err)
	}
	response := &toucanhingev1.ConfigStatusResponse{}
	now := h.config.Clock.Now()
	h.config.Fleet.Machine.View(func(s *fleetstate.State) {
		response.Version = s.Version()
		for _, e := range s.Members() {
			process := &toucanhingev1.ProcessConfig{Name: e.GetName(), Role: e.GetMember().GetRole(), HeardMs: -1}
			if heartbeat, found := h.config.Leases.LastHeartbeat(e.GetName()); found {
				process.Version = heartbeat.Version
				process.HeardMs = int64(now - heartbeat.At)
			}
			process.Behind = response.Version - min(process.Version, response.Version)
			response.Processes = append(response.Processes, process)
		}
	})
	return connect.NewResponse(response), nil
}

// ListJobs returns the jobs of all groups as this replica has applied them, which may lag
// slightly behind the leaders.
func (h *Handler) ListJobs(
	_ context.Context, request *connect.Request[toucanhingev1.ListJobsRequest],
) (*connect.Response[toucanhingev1.ListJobsResponse], error) {
	response := &toucanhingev1.ListJobsResponse{}
	for number := uint32(0); number <= uint32(len(h.config.Jobs)); number++ {
		if g := h.config.Jobs[number]; g != nil {
			g.Machine.View(func(s *jobstate.State) { response.Jobs = append(response.Jobs, s.Jobs(request.Msg.GetTeam())...) })
		}
	}
	return connect.NewResponse(response), nil
}

// CancelAnyJob cancels a job of any team.
func (h *Handler) CancelAnyJob(
	ctx context.Context, request *connect.Request[toucanhingev1.CancelJobRequest],
) (*connect.Response[toucanhingev1.CancelJobResponse], error) {
	return h.config.Entry.Cancel(ctx, request)
}

// GroupStatus returns the state of each group as this replica sees it.
func (h *Handler) GroupStatus(
	context.Context, *connect.Request[toucanhingev1.GroupStatusRequest],
) (*connect.Response[toucanhingev1.GroupStatusResponse], error) {
	return connect.NewResponse(&toucanhingev1.GroupStatusResponse{
		Replica: h.config.Replicas.Name, Identity: h.config.Replicas.Identity, Groups: h.config.Replicas.Status(),
	}), nil
}

// ChangeReplica adds, promotes or removes one replica in every group. Groups that this
// replica doesn't lead refuse the change. The caller repeats it at their leaders; groups
// that have already applied it are not affected.
func (h *Handler) ChangeReplica(
	ctx context.Context, request *connect.Request[toucanhingev1.ChangeReplicaRequest],
) (*connect.Response[toucanhingev1.ChangeReplicaResponse], error) {
	if request.Msg.GetName() == "" {
		return nil, h.config.Refuser.RefuseWith(opChange, reasonInvalid, connect.CodeInvalidArgument, "the replica's name is missing")
	}
	if missing := missingLearnerField(request.Msg); missing != "" {
		return nil, h.config.Refuser.RefuseWith(opChange, reasonInvalid, connect.CodeInvalidArgument, "a newcomer needs its %s", missing)
	}
	if err := h.config.Replicas.Change(ctx, request.Msg); err != nil {
		var refused *replica.RefusedError
		if asRefused(err, &refused) {
			return nil, h.config.Refuser.RefuseWith(opChange, reasonRefused, connect.CodeFailedPrecondition, "%w", err)
		}
		return nil, h.config.Refuser.Refuse(opChange, err)
	}
	return connect.NewResponse(&toucanhingev1.ChangeReplicaResponse{Groups: h.config.Replicas.Status()}), nil
}

// missingLearnerField returns the name of a field that is required for adding a learner and
// is missing. With an empty identity, the learner would match no data folder.
func missingLearnerField(request *toucanhingev1.ChangeReplicaRequest) string {
	switch {
	case request.GetChange() != toucanhingev1.ReplicaChange_REPLICA_CHANGE_ADD_LEARNER:
		return ""
	case request.GetAddress() == "":
		return "address"
	case request.GetIdentity() == "":
		return "identity"
	default:
		return ""
	}
}

// Handover transfers the leadership of the groups that this replica leads.
func (h *Handler) Handover(
	ctx context.Context, _ *connect.Request[toucanhingev1.HandoverRequest],
) (*connect.Response[toucanhingev1.HandoverResponse], error) {
	moved, err := h.config.Replicas.TransferLeadership(ctx)
	if err != nil {
		return nil, h.config.Refuser.Refuse(opHandover, err)
	}
	return connect.NewResponse(&toucanhingev1.HandoverResponse{GroupsMoved: uint32(moved)}), nil
}
