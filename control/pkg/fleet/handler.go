// Package fleet serves gateways and sidecars: it distributes the configuration, tracks
// the leases of members, and records claims.
package fleet

import (
	"context"

	"connectrpc.com/connect"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/control/pkg/fleetstate"
	"toucanhinge.example/control/pkg/group"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

// Operation names, which label refused calls in metrics.
const (
	opFloor  = "floor"
	opWatch  = "watch"
	opBeat   = "beat"
	opClaim  = "claim"
	opSettle = "settle"

	reasonInvalid  = "invalid"
	reasonFull     = "claims-full"
	reasonNoLeader = "no-leader"

	maxNameBytes = 128
	// approxStepBytes is the approximate size of a small step in the log.
	approxStepBytes = 256
)

// Config holds the settings and dependencies of a Handler.
type Config struct {
	Fleet   *group.Fleet
	Leases  *LeaseTracker
	Clock   clock.Clock
	Refuser group.Refuser
	// Groups is the number of consensus groups, including the configuration group.
	Groups uint32
	// Lease is the time without heartbeats after which a member is declared dead.
	Lease clock.Millis
}

// Handler implements the FleetService.
type Handler struct {
	config Config
}

var _ toucanhingev1connect.FleetServiceHandler = (*Handler)(nil)

// New returns a handler.
func New(config Config) *Handler {
	return &Handler{config: config}
}

// Floor returns the newest accepted configuration version, confirmed by a quorum.
func (h *Handler) Floor(
	ctx context.Context, _ *connect.Request[toucanhingev1.FloorRequest],
) (*connect.Response[toucanhingev1.FloorResponse], error) {
	if err := h.config.Fleet.Read(ctx); err != nil {
		return nil, h.config.Refuser.Refuse(opFloor, err)
	}
	return connect.NewResponse(&toucanhingev1.FloorResponse{Version: h.version(), Groups: h.config.Groups}), nil
}

func (h *Handler) version() uint64 {
	var version uint64
	h.config.Fleet.Machine.View(func(s *fleetstate.State) { version = s.Version() })
	return version
}

// Beat registers a process and renews its lease. Only changes are logged; a renewal
// without a change is recorded in the leader's memory alone.
func (h *Handler) Beat(
	ctx context.Context, request *connect.Request[toucanhingev1.BeatRequest],
) (*connect.Response[toucanhingev1.BeatResponse], error) {
	beat := request.Msg
	if reason := validateHeartbeat(beat); reason != "" {
		return nil, h.config.Refuser.RefuseWith(opBeat, reasonInvalid, connect.CodeInvalidArgument, "%s", reason)
	}
	if err := h.requireLeader(); err != nil {
		return nil, h.config.Refuser.Refuse(opBeat, err)
	}
	var current, changed bool
	var version uint64
	h.config.Fleet.Machine.View(func(s *fleetstate.State) {
		current, changed = s.CheckHeartbeat(beat.GetName(), beat.GetMember())
		version = s.Version()
	})
	if current {
		h.config.Leases.RecordHeartbeat(beat)
	}
	if changed {
		step := &toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_Member{
			Member: &toucanhingev1.MemberStep{Name: beat.GetName(), Member: beat.GetMember()},
		}}
		result, err := group.Do[fleetstate.MemberResult](ctx, h.config.Fleet.Steps, step, approxStepBytes)
		if err != nil {
			return nil, h.config.Refuser.Refuse(opBeat, err)
		}
		current, version = result.Current, result.Version
	}
	return connect.NewResponse(&toucanhingev1.BeatResponse{
		LeaseMs: int64(h.config.Lease), Version: version, Current: current,
	}), nil
}

func validateHeartbeat(beat *toucanhingev1.BeatRequest) string {
	m := beat.GetMember()
	switch {
	case beat.GetName() == "" || len(beat.GetName()) > maxNameBytes:
		return "name: want 1 to 128 bytes"
	case m == nil:
		return "member: missing"
	case m.GetRole() == toucanhingev1.Role_ROLE_UNSPECIFIED:
		return "member: the role is missing"
	case m.GetState() != toucanhingev1.MemberState_MEMBER_STATE_READY && m.GetState() != toucanhingev1.MemberState_MEMBER_STATE_LEAVING:
		return "member: the state must be ready or leaving"
	case m.GetIncarnation() == 0:
		return "member: the incarnation is missing"
	default:
		return ""
	}
}

// Claim records that a non-idempotent request is about to run.
func (h *Handler) Claim(
	ctx context.Context, request *connect.Request[toucanhingev1.ClaimRequest],
) (*connect.Response[toucanhingev1.ClaimResponse], error) {
	c := request.Msg
	if c.GetTeam() == "" || c.GetRequestId() == "" || c.GetToken() == "" || len(c.GetRequestId()) > maxNameBytes {
		return nil, h.config.Refuser.RefuseWith(opClaim, reasonInvalid, connect.CodeInvalidArgument,
			"want a team, a request id of at most %d bytes, and a token", maxNameBytes)
	}
	step := &toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_Claim{Claim: c}}
	result, err := group.Do[fleetstate.ClaimResult](ctx, h.config.Fleet.Steps, step, approxStepBytes)
	if err != nil {
		return nil, h.config.Refuser.Refuse(opClaim, err)
	}
	if result.Full {
		return nil, h.config.Refuser.RefuseWith(opClaim, reasonFull, connect.CodeResourceExhausted, "too many claims are held")
	}
	return connect.NewResponse(&toucanhingev1.ClaimResponse{State: result.State}), nil
}

// Settle records how a claimed request ended.
func (h *Handler) Settle(
	ctx context.Context, request *connect.Request[toucanhingev1.SettleRequest],
) (*connect.Response[toucanhingev1.SettleResponse], error) {
	step := &toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_Settle{Settle: request.Msg}}
	if _, err := group.Do[fleetstate.SettleResult](ctx, h.config.Fleet.Steps, step, approxStepBytes); err != nil {
		return nil, h.config.Refuser.Refuse(opSettle, err)
	}
	return connect.NewResponse(&toucanhingev1.SettleResponse{}), nil
}
