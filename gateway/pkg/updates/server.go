package updates

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

const (
	// maxWait limits how long a call waits for updates.
	maxWait = 2 * time.Second
	// maxCalls limits the concurrent calls of subscribers, to four times as many as a data centre with
	// 256 gateways needs. A subscriber that is refused queries another gateway.
	maxCalls = 64
)

// Outcomes of calls in the metrics.
const (
	outcomeUpdates = "news"
	outcomeNone    = "none"
	outcomeRefused = "refused"
)

var (
	errNoUpdates    = errors.New("this gateway has no news, or is leaving")
	errTooManyCalls = errors.New("enough gateways hear from this one")
)

var _ toucanhingev1connect.NewsServiceHandler = (*Publisher)(nil)

// Attend returns the updates that the caller doesn't have, at once if there are any. Otherwise it waits
// until this gateway receives an answer from its own parent, so that a new freshness point reaches all
// gateways of a data centre without further delay.
func (p *Publisher) Attend(ctx context.Context, r *connect.Request[toucanhingev1.AttendRequest]) (*connect.Response[toucanhingev1.AttendResponse], error) {
	arrived := p.config.Boot.Now()
	if !p.beginCall() {
		p.calls.WithLabelValues(outcomeRefused).Inc()
		return nil, connect.NewError(connect.CodeResourceExhausted, errTooManyCalls)
	}
	defer p.endCall()
	p.recordSubscribers(arrived, r.Msg)
	changed := p.changed.Next()
	answer, hasUpdates := p.response(arrived, r.Msg)
	if !hasUpdates && !p.isDraining() {
		timer := time.NewTimer(min(time.Duration(r.Msg.GetWaitMs())*time.Millisecond, maxWait))
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
		answer, hasUpdates = p.response(arrived, r.Msg)
	}
	switch {
	case answer == nil:
		p.calls.WithLabelValues(outcomeRefused).Inc()
		return nil, connect.NewError(connect.CodeUnavailable, errNoUpdates)
	case hasUpdates:
		p.calls.WithLabelValues(outcomeUpdates).Inc()
	default:
		p.calls.WithLabelValues(outcomeNone).Inc()
	}
	return connect.NewResponse(answer), nil
}

// isDraining reports whether this gateway is shutting down.
func (p *Publisher) isDraining() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.draining
}

// beginCall counts a call, unless there are too many; endCall ends it.
func (p *Publisher) beginCall() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.activeCalls >= maxCalls {
		return false
	}
	p.activeCalls++
	return true
}

func (p *Publisher) endCall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.activeCalls--
}
