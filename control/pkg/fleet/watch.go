package fleet

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"toucanhinge.example/control/pkg/fleetstate"
	"toucanhinge.example/control/pkg/replica"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// repeatInterval is the interval at which the version is sent again without a change.
	// A watcher that receives nothing for a few intervals switches to another replica.
	repeatInterval = time.Second
	// coalesceDelay is how long an update is delayed after a change, so that many changes,
	// as when a whole data centre registers, are sent as one update.
	coalesceDelay = 20 * time.Millisecond
	// maxLeaderAbsence is the time without a leader after which a replica ends its
	// watches. Such a replica receives no changes, and its watchers would stay at an old
	// configuration.
	maxLeaderAbsence = 3 * time.Second
)

// Watch streams the configuration and its changes. Every replica serves it, so that the
// fan-out is shared among the replicas instead of loading the leader.
func (h *Handler) Watch(
	ctx context.Context, request *connect.Request[toucanhingev1.WatchRequest],
	stream *connect.ServerStream[toucanhingev1.WatchResponse],
) error {
	after := request.Msg.GetAfter()
	repeat := time.NewTicker(repeatInterval)
	defer repeat.Stop()
	lastLeader := h.config.Clock.Now()
	for {
		if name, _, _ := h.config.Fleet.Leader(); name != "" {
			lastLeader = h.config.Clock.Now()
		}
		if (h.config.Clock.Now() - lastLeader).Duration() > maxLeaderAbsence {
			return h.config.Refuser.RefuseWith(opWatch, reasonNoLeader, connect.CodeUnavailable, "this replica has lost its leader")
		}
		changed := h.config.Fleet.Machine.Changed()
		var update *toucanhingev1.WatchResponse
		h.config.Fleet.Machine.View(func(s *fleetstate.State) { update = s.Delta(after) })
		if err := stream.Send(update); err != nil {
			return err
		}
		after = max(after, update.GetVersion())
		if !h.waitForUpdate(ctx, changed, repeat.C) {
			return nil
		}
	}
}

// waitForUpdate waits for a change or for the next repetition. It returns false when the
// watch has to end.
func (h *Handler) waitForUpdate(ctx context.Context, changed <-chan struct{}, repeat <-chan time.Time) bool {
	select {
	case <-changed:
	case <-repeat:
		return true
	case <-ctx.Done():
		return false
	case <-h.config.Leases.stopped:
		return false
	}
	select {
	case <-time.After(coalesceDelay):
		return true
	case <-ctx.Done():
		return false
	}
}

// requireLeader returns a *replica.NotLeaderError unless this replica leads group 0.
func (h *Handler) requireLeader() error {
	name, address, self := h.config.Fleet.Leader()
	if !self {
		return &replica.NotLeaderError{Leader: name, Address: address}
	}
	return nil
}
