// Package operator serves operators, scripts and consoles.
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

const (
	placeApply    = "apply"
	placeList     = "list-entries"
	placeStatus   = "config-status"
	placeChange   = "change-replica"
	placeHandover = "handover"

	reasonInvalid = "invalid"
	reasonRefused = "change-refused"

	// stepBytes is a rough size of an operator's change in the log.
	stepBytes = 2 << 10
	// mostEntryBytes bounds one entry of the configuration.
	mostEntryBytes = 256 << 10
)

// Replicas holds what this process's replicas of all groups can be asked.
type Replicas struct {
	Name string
	// Identity of this process's data folder.
	Identity string
	Status   func() []*toucanhingev1.GroupState
	Change   func(ctx context.Context, request *toucanhingev1.ChangeReplicaRequest) error
	TransferLeadership func(ctx context.Context) (moved int, err error)
}

// Config describes the handler.
type Config struct {
	Fleet    *group.Fleet
	Jobs     map[uint32]*group.Jobs
	Entry    *entry.Handler
	Leases   *fleet.LeaseTracker
	Replicas Replicas
	Clock    clock.Clock
	Log     *record.Log
	Refuser  group.Refuser
	// LoadInterval is the time between two loads from the weight store.
	LoadInterval clock.Millis
}

// Handler is the OperatorService.
type Handler struct {
	config Config
}

var _ toucanhingev1connect.OperatorServiceHandler = (*Handler)(nil)

// New makes the handler.
func New(config Config) *Handler {
	return &Handler{config: config}
}

// Apply accepts or refuses one change of the configuration.
func (h *Handler) Apply(
	ctx context.Context, request *connect.Request[toucanhingev1.ApplyRequest],
) (*connect.Response[toucanhingev1.ApplyResponse], error) {
	size := entryBytes(request.Msg)
	if size > mostEntryBytes {
		return nil, h.config.Refuser.RefuseWith(placeApply, reasonInvalid, connect.CodeInvalidArgument,
			"the entry is larger than %d bytes", mostEntryBytes)
	}
	step := &toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_Apply{Apply: &toucanhingev1.ApplyStep{
		Request: request.Msg, LoadIntervalMs: int64(h.config.LoadInterval),
	}}}
	answer, err := group.Do[*toucanhingev1.ApplyResponse](ctx, h.config.Fleet.Steps, step, stepBytes+size)
	if err != nil {
		return nil, h.config.Refuser.Refuse(placeApply, err)
	}
	event := "accepted"
	if !answer.GetAccepted() {
		event = "refused"
	}
	h.config.Log.Add(request.Msg.GetEntry().GetName(), event, request.Msg.GetAuthor()+" "+answer.GetReason())
	return connect.NewResponse(answer), nil
}

// ListEntries reads the accepted configuration, confirmed by a quorum.
func (h *Handler) ListEntries(
	ctx context.Context, request *connect.Request[toucanhingev1.ListEntriesRequest],
) (*connect.Response[toucanhingev1.ListEntriesResponse], error) {
	if err := h.config.Fleet.Read(ctx); err != nil {
		return nil, h.config.Refuser.Refuse(placeList, err)
	}
	asked, response := request.Msg, &toucanhingev1.ListEntriesResponse{}
	h.config.Fleet.Machine.View(func(s *fleetstate.State) {
		response.Version = s.Version()
		response.Entries = s.Entries(asked.GetKind(), asked.GetName(), asked.GetWithRemoved())
	})
	return connect.NewResponse(response), nil
}

// ConfigStatus shows which version each process has in force, as its last
// heartbeat said.
func (h *Handler) ConfigStatus(
	ctx context.Context, _ *connect.Request[toucanhingev1.ConfigStatusRequest],
) (*connect.Response[toucanhingev1.ConfigStatusResponse], error) {
	if err := h.config.Fleet.Read(ctx); err != nil {
		return nil, h.config.Refuser.Refuse(placeStatus, err)
	}
	response := &toucanhingev1.ConfigStatusResponse{}
	now := h.config.Clock.Now()
	h.config.Fleet.Machine.View(func(s *fleetstate.State) {
		response.Version = s.Version()
		for _, e := range s.Members() {
			process := &toucanhingev1.ProcessConfig{Name: e.GetName(), Role: e.GetMember().GetRole(), HeardMs: -1}
			if heard, known := h.config.Leases.LastHeartbeat(e.GetName()); known {
				process.Version = heard.Version
				process.HeardMs = int64(now - heard.At)
			}
			process.Behind = response.Version - min(process.Version, response.Version)
			response.Processes = append(response.Processes, process)
		}
	})
	return connect.NewResponse(response), nil
}

// ListJobs shows the jobs of all groups as this replica has applied them; it may
// lag behind the leaders by a moment.
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

// CancelAnyJob ends a job of whatever team.
func (h *Handler) CancelAnyJob(
	ctx context.Context, request *connect.Request[toucanhingev1.CancelJobRequest],
) (*connect.Response[toucanhingev1.CancelJobResponse], error) {
	return h.config.Entry.Cancel(ctx, request)
}

// GroupStatus shows each group as this replica sees it.
func (h *Handler) GroupStatus(
	context.Context, *connect.Request[toucanhingev1.GroupStatusRequest],
) (*connect.Response[toucanhingev1.GroupStatusResponse], error) {
	return connect.NewResponse(&toucanhingev1.GroupStatusResponse{
		Replica: h.config.Replicas.Name, Identity: h.config.Replicas.Identity, Groups: h.config.Replicas.Status(),
	}), nil
}

// ChangeReplica adds, promotes or removes one replica in every group. Groups
// that this replica doesn't lead refuse; the caller repeats at their leaders,
// and what is done already is done again without effect.
func (h *Handler) ChangeReplica(
	ctx context.Context, request *connect.Request[toucanhingev1.ChangeReplicaRequest],
) (*connect.Response[toucanhingev1.ChangeReplicaResponse], error) {
	if request.Msg.GetName() == "" {
		return nil, h.config.Refuser.RefuseWith(placeChange, reasonInvalid, connect.CodeInvalidArgument, "the replica's name is missing")
	}
	if missing := missingInAdd(request.Msg); missing != "" {
		return nil, h.config.Refuser.RefuseWith(placeChange, reasonInvalid, connect.CodeInvalidArgument, "a newcomer needs its %s", missing)
	}
	if err := h.config.Replicas.Change(ctx, request.Msg); err != nil {
		var refused *replica.RefusedError
		if asRefused(err, &refused) {
			return nil, h.config.Refuser.RefuseWith(placeChange, reasonRefused, connect.CodeFailedPrecondition, "%w", err)
		}
		return nil, h.config.Refuser.Refuse(placeChange, err)
	}
	return connect.NewResponse(&toucanhingev1.ChangeReplicaResponse{Groups: h.config.Replicas.Status()}), nil
}

// missingInAdd names what a newcomer can't be added without. Under an empty
// identity it would be a member that no data folder answers for.
func missingInAdd(request *toucanhingev1.ChangeReplicaRequest) string {
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

// Handover moves the leadership of this replica's groups elsewhere.
func (h *Handler) Handover(
	ctx context.Context, _ *connect.Request[toucanhingev1.HandoverRequest],
) (*connect.Response[toucanhingev1.HandoverResponse], error) {
	moved, err := h.config.Replicas.TransferLeadership(ctx)
	if err != nil {
		return nil, h.config.Refuser.Refuse(placeHandover, err)
	}
	return connect.NewResponse(&toucanhingev1.HandoverResponse{GroupsMoved: uint32(moved)}), nil
}
