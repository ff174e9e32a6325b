// Package fleet serves gateways and sidecars: it spreads the configuration,
// keeps the members' leases, and records claims.
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

const (
	placeFloor  = "floor"
	placeWatch  = "watch"
	placeBeat   = "beat"
	placeClaim  = "claim"
	placeSettle = "settle"

	reasonInvalid = "invalid"
	reasonFull    = "claims-full"
	reasonCutOff  = "no-leader"

	longestName = 128
	// stepBytes is a rough size of a small step in the log.
	stepBytes = 256
)

// Config describes the handler.
type Config struct {
	Fleet   *group.Fleet
	Leases  *LeaseTracker
	Clock   clock.Clock
	Refuser group.Refuser
	// Groups is the number of consensus groups, the one for configuration included.
	Groups uint32
	// Lease is how long a member is kept without a heartbeat.
	Lease clock.Millis
}

// Handler is the FleetService.
type Handler struct {
	config Config
}

var _ toucanhingev1connect.FleetServiceHandler = (*Handler)(nil)

// New makes the handler.
func New(config Config) *Handler {
	return &Handler{config: config}
}

// Floor tells the newest accepted version, confirmed by a quorum.
func (h *Handler) Floor(
	ctx context.Context, _ *connect.Request[toucanhingev1.FloorRequest],
) (*connect.Response[toucanhingev1.FloorResponse], error) {
	if err := h.config.Fleet.Read(ctx); err != nil {
		return nil, h.config.Refuser.Refuse(placeFloor, err)
	}
	return connect.NewResponse(&toucanhingev1.FloorResponse{Version: h.version(), Groups: h.config.Groups}), nil
}

func (h *Handler) version() uint64 {
	var version uint64
	h.config.Fleet.Machine.View(func(s *fleetstate.State) { version = s.Version() })
	return version
}

// Beat registers a process and renews its lease. Only what changed is logged;
// a plain renewal stays in the leader's memory.
func (h *Handler) Beat(
	ctx context.Context, request *connect.Request[toucanhingev1.BeatRequest],
) (*connect.Response[toucanhingev1.BeatResponse], error) {
	beat := request.Msg
	if reason := checkBeat(beat); reason != "" {
		return nil, h.config.Refuser.RefuseWith(placeBeat, reasonInvalid, connect.CodeInvalidArgument, "%s", reason)
	}
	if err := h.leads(); err != nil {
		return nil, h.config.Refuser.Refuse(placeBeat, err)
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
		answer, err := group.Do[fleetstate.MemberResult](ctx, h.config.Fleet.Steps, step, stepBytes)
		if err != nil {
			return nil, h.config.Refuser.Refuse(placeBeat, err)
		}
		current, version = answer.Current, answer.Version
	}
	return connect.NewResponse(&toucanhingev1.BeatResponse{
		LeaseMs: int64(h.config.Lease), Version: version, Current: current,
	}), nil
}

func checkBeat(beat *toucanhingev1.BeatRequest) string {
	m := beat.GetMember()
	switch {
	case beat.GetName() == "" || len(beat.GetName()) > longestName:
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
	if c.GetTeam() == "" || c.GetRequestId() == "" || c.GetToken() == "" || len(c.GetRequestId()) > longestName {
		return nil, h.config.Refuser.RefuseWith(placeClaim, reasonInvalid, connect.CodeInvalidArgument,
			"want a team, a request id of at most %d bytes, and a token", longestName)
	}
	step := &toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_Claim{Claim: c}}
	answer, err := group.Do[fleetstate.ClaimResult](ctx, h.config.Fleet.Steps, step, stepBytes)
	if err != nil {
		return nil, h.config.Refuser.Refuse(placeClaim, err)
	}
	if answer.Full {
		return nil, h.config.Refuser.RefuseWith(placeClaim, reasonFull, connect.CodeResourceExhausted, "too many claims are held")
	}
	return connect.NewResponse(&toucanhingev1.ClaimResponse{State: answer.State}), nil
}

// Settle records how a claimed request ended.
func (h *Handler) Settle(
	ctx context.Context, request *connect.Request[toucanhingev1.SettleRequest],
) (*connect.Response[toucanhingev1.SettleResponse], error) {
	step := &toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_Settle{Settle: request.Msg}}
	if _, err := group.Do[fleetstate.SettleResult](ctx, h.config.Fleet.Steps, step, stepBytes); err != nil {
		return nil, h.config.Refuser.Refuse(placeSettle, err)
	}
	return connect.NewResponse(&toucanhingev1.SettleResponse{}), nil
}
