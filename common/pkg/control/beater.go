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

// beatPeriod is a fraction of the shortest lease that control grants.
const beatPeriod = 2 * time.Second

// HeartbeaterConfig describes a beater.
type HeartbeaterConfig struct {
	Client *Client
	Logger log.Logger
	// Request says what this process is now.
	Request func() *toucanhingev1.BeatRequest
	// Accepted is told the newest accepted configuration version; may be nil.
	Accepted func(version uint64)
	// Superseded is called once when a newer process of this name is known.
	Superseded func()
}

// Heartbeater keeps this process's lease with control.
type Heartbeater struct {
	config HeartbeaterConfig
	now    chan struct{}
}

// NewHeartbeater makes a beater.
func NewHeartbeater(config HeartbeaterConfig) *Heartbeater {
	return &Heartbeater{config: config, now: make(chan struct{}, 1)}
}

// Trigger sends a heartbeat at once, for a change that others should know soon.
func (b *Heartbeater) Trigger() {
	select {
	case b.now <- struct{}{}:
	default:
	}
}

// Run sends heartbeats until the context ends.
func (b *Heartbeater) Run(ctx context.Context) {
	ticker := time.NewTicker(beatPeriod)
	defer ticker.Stop()
	for {
		if !b.Send(ctx) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-b.now:
		}
	}
}

// Send sends one heartbeat; it returns false when this process was superseded.
func (b *Heartbeater) Send(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*beatPeriod)
	defer cancel()
	request := b.config.Request()
	reply, err := Call(ctx, b.config.Client, 0, "beat",
		func(ctx context.Context, r *Replica) (*connect.Response[toucanhingev1.BeatResponse], error) {
			return r.Fleet.Beat(ctx, connect.NewRequest(request))
		})
	if err != nil {
		level.Warn(b.config.Logger).Log(logs.KeyEvent, "beat-failed", logs.KeyError, err)
		return true
	}
	if b.config.Accepted != nil {
		b.config.Accepted(reply.Msg.GetVersion())
	}
	if reply.Msg.GetCurrent() {
		return true
	}
	level.Error(b.config.Logger).Log(logs.KeyEvent, "superseded")
	if b.config.Superseded != nil {
		b.config.Superseded()
	}
	return false
}
