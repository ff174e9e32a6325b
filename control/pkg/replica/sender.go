package replica

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/ring"
	"toucanhinge.example/control/pkg/consensus"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

const (
	// maxStepBytes limits the entries of one call, so that a heartbeat behind them isn't
	// late.
	maxStepBytes    = 4 << 20
	maxStepMessages = 1024
)

// sender sends the messages for one peer: one call at a time, each with all pending
// messages. Under load, calls get larger instead of more frequent.
type sender struct {
	group   *Group
	name    string
	address string
	http    *http.Client
	client  toucanhingev1connect.ReplicaServiceClient
	ring    *ring.Ring[consensus.Message]
	failing bool
	stop    context.CancelFunc
}

func (g *Group) startSender(name, address string) *sender {
	client := g.config.Client()
	ctx, cancel := context.WithCancel(g.ctx)
	s := &sender{
		stop:  cancel,
		group: g, name: name, address: address, http: client,
		client: newClient(client, address),
		ring: ring.New[consensus.Message](ring.Config{
			Size: g.config.RingSize, Refused: g.metrics.dropped.WithLabelValues(dropSenderFull),
		}),
	}
	g.done.Add(1)
	go func() {
		defer g.done.Done()
		s.run(ctx)
	}()
	return s
}

// newClient returns a client without compression: responses are empty, and preparing a
// compressor for each costs more than the call.
func newClient(client *http.Client, address string) toucanhingev1connect.ReplicaServiceClient {
	return toucanhingev1connect.NewReplicaServiceClient(client, "http://"+address,
		connect.WithAcceptCompression("gzip", nil, nil))
}

func (s *sender) run(ctx context.Context) {
	defer s.http.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.ring.Items():
			s.call(ctx, s.collect(m))
		}
	}
}

func (s *sender) collect(first consensus.Message) []*toucanhingev1.ReplicaMessage {
	messages := []*toucanhingev1.ReplicaMessage{toWire(s.group.config.Group, first)}
	bytes := size(first)
	for len(messages) < maxStepMessages && bytes < maxStepBytes {
		next := s.ring.Drain(1)
		if len(next) == 0 {
			break
		}
		bytes += size(next[0])
		messages = append(messages, toWire(s.group.config.Group, next[0]))
	}
	return messages
}

func size(m consensus.Message) int {
	bytes := 0
	for _, e := range m.Entries {
		bytes += len(e.Data)
	}
	return bytes
}

// call sends messages and drops them if the call fails: consensus resends the messages
// that still matter, and by then newer information may be available. The connection is
// closed too: if a partition drops its packets, further calls over it would hang until the
// connection times out.
func (s *sender) call(ctx context.Context, messages []*toucanhingev1.ReplicaMessage) {
	config := s.group.config
	ctx, cancel := context.WithTimeout(ctx, max(2*config.ElectionTimeout.Duration(), time.Second))
	defer cancel()
	_, err := s.client.Step(ctx, connect.NewRequest(&toucanhingev1.StepRequest{
		From: config.Name, Identity: config.Identity, Address: config.Address, Messages: messages,
	}))
	s.group.metrics.calls.Inc()
	if err == nil {
		s.failing = false
		s.group.metrics.sent.Add(float64(len(messages)))
		return
	}
	s.group.metrics.dropped.WithLabelValues(dropCallFailed).Add(float64(len(messages)))
	s.http.CloseIdleConnections()
	if !s.failing {
		s.failing = true
		_ = level.Warn(s.group.logger).Log("event", "peer_unreachable", "peer", s.name, "address", s.address, "error", err)
	}
}
