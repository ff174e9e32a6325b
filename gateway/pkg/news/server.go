package news

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

const (
	// mostWait bounds how long a call may be kept waiting.
	mostWait = 2 * time.Second
	// mostWaiting bounds the gateways that hear from one: four times what a data centre of 256
	// needs. One that isn't taken asks another one.
	mostWaiting = 64
)

// Outcomes under which calls are counted.
const (
	outcomeNews    = "news"
	outcomeNone    = "none"
	outcomeRefused = "refused"
)

var (
	errNothing = errors.New("this gateway has no news, or is leaving")
	errCrowded = errors.New("enough gateways hear from this one")
)

var _ toucanhingev1connect.NewsServiceHandler = (*Publisher)(nil)

// Attend answers with what the caller doesn't hold yet, at once if there is any. Else it waits
// until this gateway hears from its own parent, so that all of a data centre hear at the
// same moment that there is nothing new.
func (b *Publisher) Attend(ctx context.Context, r *connect.Request[toucanhingev1.AttendRequest]) (*connect.Response[toucanhingev1.AttendResponse], error) {
	arrived := b.config.Boot.Now()
	if !b.enter() {
		b.answered.WithLabelValues(outcomeRefused).Inc()
		return nil, connect.NewError(connect.CodeResourceExhausted, errCrowded)
	}
	defer b.exit()
	b.note(arrived, r.Msg)
	pulse := b.pulse.Next()
	answer, news := b.answer(arrived, r.Msg)
	if !news && !b.left() {
		timer := time.NewTimer(min(time.Duration(r.Msg.GetWaitMs())*time.Millisecond, mostWait))
		defer timer.Stop()
		select {
		case <-pulse:
		case <-timer.C:
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
		answer, news = b.answer(arrived, r.Msg)
	}
	switch {
	case answer == nil:
		b.answered.WithLabelValues(outcomeRefused).Inc()
		return nil, connect.NewError(connect.CodeUnavailable, errNothing)
	case news:
		b.answered.WithLabelValues(outcomeNews).Inc()
	default:
		b.answered.WithLabelValues(outcomeNone).Inc()
	}
	return connect.NewResponse(answer), nil
}

// left says whether this gateway is leaving.
func (b *Publisher) left() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving
}

// enter takes a place among those who wait; exit gives it back.
func (b *Publisher) enter() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting >= mostWaiting {
		return false
	}
	b.waiting++
	return true
}

func (b *Publisher) exit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
}
