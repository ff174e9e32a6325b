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
	// repeatEvery is how often the version is repeated without a change; watchers
	// leave a replica that they hear nothing from for a few times as long.
	repeatEvery = time.Second
	// gatherFor keeps a watcher from being sent each of many changes alone, as
	// when a whole data centre registers.
	gatherFor = 20 * time.Millisecond
	// cutOffLimit ends watches on a replica without a leader. It can't learn of
	// changes, and its watchers would stay at an old configuration.
	cutOffLimit = 3 * time.Second
)

// Watch spreads the configuration. Every replica serves it, so that the fan-out
// is shared among them and doesn't weigh on the leader.
func (h *Handler) Watch(
	ctx context.Context, request *connect.Request[toucanhingev1.WatchRequest],
	stream *connect.ServerStream[toucanhingev1.WatchResponse],
) error {
	after := request.Msg.GetAfter()
	repeat := time.NewTicker(repeatEvery)
	defer repeat.Stop()
	contact := h.config.Clock.Now()
	for {
		if name, _, _ := h.config.Fleet.Leader(); name != "" {
			contact = h.config.Clock.Now()
		}
		if (h.config.Clock.Now() - contact).Duration() > cutOffLimit {
			return h.config.Refuser.RefuseWith(placeWatch, reasonCutOff, connect.CodeUnavailable, "this replica has lost its leader")
		}
		changed := h.config.Fleet.Machine.Changed()
		var update *toucanhingev1.WatchResponse
		h.config.Fleet.Machine.View(func(s *fleetstate.State) { update = s.Delta(after) })
		if err := stream.Send(update); err != nil {
			return err
		}
		after = max(after, update.GetVersion())
		if !h.pause(ctx, changed, repeat.C) {
			return nil
		}
	}
}

// pause waits for a change or for the next repetition.
func (h *Handler) pause(ctx context.Context, changed <-chan struct{}, repeat <-chan time.Time) bool {
	select {
	case <-changed:
	case <-repeat:
		return true
	case <-ctx.Done():
		return false
	case <-h.config.Leases.stopping:
		return false
	}
	select {
	case <-time.After(gatherFor):
		return true
	case <-ctx.Done():
		return false
	}
}

// leads refuses unless this replica leads group 0.
func (h *Handler) leads() error {
	name, address, self := h.config.Fleet.Leader()
	if !self {
		return &replica.NotLeaderError{Leader: name, Address: address}
	}
	return nil
}
