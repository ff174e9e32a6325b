package control

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/logs"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// heartbeatInterval is a fraction of the shortest lease that control grants.
const heartbeatInterval = 2 * time.Second

// HeartbeaterConfig configures a Heartbeater.
type HeartbeaterConfig struct {
	Client *Client
	Logger log.Logger
	// Request returns the current description of this process.
	Request func() *toucanhingev1.BeatRequest
	// Accepted is called with the newest accepted configuration version; may be nil.
	Accepted func(version uint64)
	// Superseded is called once when control knows a newer process of this name.
	Superseded func()
}

// Heartbeater renews the lease of this process with control.
type Heartbeater struct {
	config  HeartbeaterConfig
	trigger chan struct{}
}

// NewHeartbeater returns a heartbeater.
func NewHeartbeater(config HeartbeaterConfig) *Heartbeater {
	return &Heartbeater{config: config, trigger: make(chan struct{}, 1)}
}

// Trigger sends a heartbeat at once, to publish a change early.
func (h *Heartbeater) Trigger() {
	select {
	case h.trigger <- struct{}{}:
	default:
	}
}

// Run sends heartbeats until the context ends.
func (h *Heartbeater) Run(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		if !h.Send(ctx) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-h.trigger:
		}
	}
}

// Send sends one heartbeat and returns false if this process was superseded.
func (h *Heartbeater) Send(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*heartbeatInterval)
	defer cancel()
	request := h.config.Request()
	reply, err := Call(ctx, h.config.Client, 0, "beat",
		func(ctx context.Context, r *Replica) (*connect.Response[toucanhingev1.BeatResponse], error) {
			return r.Fleet.Beat(ctx, connect.NewRequest(request))
		})
	if err != nil {
		level.Warn(h.config.Logger).Log(logs.KeyEvent, "beat-failed", logs.KeyError, err)
		return true
	}
	if h.config.Accepted != nil {
		h.config.Accepted(reply.Msg.GetVersion())
	}
	if reply.Msg.GetCurrent() {
		return true
	}
	level.Error(h.config.Logger).Log(logs.KeyEvent, "superseded")
	if h.config.Superseded != nil {
		h.config.Superseded()
	}
	return false
}
