package core

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// fleetGather is how long a change of the fleet waits for others. In a large fleet
	// gateways come and go all the time, and each change goes through all of them.
	fleetGather      = 10 * time.Millisecond
	largeFleetGather = 40 * time.Millisecond
	// mostWait bounds how long a call may be kept waiting for news.
	mostWait = 2 * time.Second
	// mostAttending bounds the gateways that hear from the leader at the same time. It is far
	// above what a fleet of any size needs, so more are a crowd after an outage: they
	// are told to come back, which costs less than the views that they lack.
	mostAttending = 128
	retryAfter    = 200 * time.Millisecond
)

// Attend answers with what the gateway doesn't hold yet, at once if there is any, else when
// there is or the time is up. In a large fleet it sends most gateways to others.
func (c *Core) Attend(ctx context.Context, r *connect.Request[toucanhingev1.AttendRequest]) (*connect.Response[toucanhingev1.AttendResponse], error) {
	if err := c.leads(); err != nil {
		return nil, err
	}
	m := r.Msg
	if answer := c.turnAway(m); answer != nil {
		return connect.NewResponse(answer), nil
	}
	defer c.attending.Add(-1)
	if m.GetConfirm() {
		// A leader that was frozen or cut off believes in itself for a moment; meanwhile
		// another one may have acknowledged that a key is taken away.
		if err := c.confirm(ctx); err != nil {
			return nil, c.refusal(err)
		}
	}
	timer := time.NewTimer(wait(m.GetWaitMs()))
	defer timer.Stop()
	for {
		state, fleet := c.tables.Next(), c.fleet.changed.Next()
		answer := c.newsFor(m)
		if err := c.leads(); err != nil {
			return nil, err
		}
		if answer.Table != nil || answer.Fleet != nil {
			return connect.NewResponse(answer), nil
		}
		select {
		case <-state:
		case <-fleet:
			// Gateways come one after the other when a leader begins; each would
			// else be told of each.
			c.gatherFleet()
		case <-timer.C:
			return connect.NewResponse(answer), nil
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
}

// turnAway notes who is there by a gateway's call, and tells it whom to ask or when to come
// back; nil if it is answered here. Then it counts as attending.
func (c *Core) turnAway(m *toucanhingev1.AttendRequest) *toucanhingev1.AttendResponse {
	now := c.config.Clock.Now()
	self := gateway{address: m.GetDigestAddress(), dataCentre: m.GetDataCentre(), heard: now, holds: m.GetHaveFleet() != 0}
	c.fleet.attend(m.GetName(), self)
	for _, p := range m.GetPassed() {
		c.fleet.attend(p.GetName(), gateway{
			address: p.GetAddress(), dataCentre: m.GetDataCentre(), heard: now - clock.Millis(p.GetAgeMs()), holds: p.GetHolds(),
		})
	}
	if !m.GetInsists() {
		if m.GetHasParents() && c.fleet.gathers(now) {
			// Its parents hear of this leader in a moment. A leader that begins with all gateways
			// at its door, each of which lacks the whole fleet, is late from the start.
			return c.comeBack(attendEarly)
		}
		if others := c.fleet.refer(now, self); len(others) > 0 {
			c.metrics.attends.WithLabelValues(attendReferred).Inc()
			return &toucanhingev1.AttendResponse{Ask: others}
		}
	}
	if c.attending.Add(1) > mostAttending {
		c.attending.Add(-1)
		level.Warn(c.config.Logger).Log(logs.KeyEvent, "attend-crowded", "gateway", m.GetName(), "attending", mostAttending)
		return c.comeBack(attendCrowded)
	}
	c.metrics.attends.WithLabelValues(attendAnswered).Inc()
	return nil
}

// comeBack tells a gateway to ask again in a while, each after another one.
func (c *Core) comeBack(outcome string) *toucanhingev1.AttendResponse {
	c.metrics.attends.WithLabelValues(outcome).Inc()
	return &toucanhingev1.AttendResponse{RetryMs: uint32((retryAfter/2 + rand.N(retryAfter)).Milliseconds())}
}

// newsFor is what a gateway doesn't hold yet.
func (c *Core) newsFor(m *toucanhingev1.AttendRequest) *toucanhingev1.AttendResponse {
	answer := &toucanhingev1.AttendResponse{
		Fleet: c.fleet.view(c.config.Clock.Now(), m, c.self()), Confirmed: m.GetConfirm(),
	}
	if t := c.inForce(); t != nil && t.Version > m.GetHaveVersion() {
		answer.Table = t.WithoutDocument()
	}
	if answer.Fleet != nil && m.GetHaveFleet() == 0 && c.config.Quota != nil {
		uses, known := c.config.Quota.Snapshot(c.config.Boot.Now())
		answer.Uses, answer.UsesKnownMs = uses, uint32(known)
	}
	return answer
}

func (c *Core) gatherFleet() {
	if c.fleet.large() {
		time.Sleep(largeFleetGather)
		return
	}
	time.Sleep(fleetGather)
}

func wait(ms uint32) time.Duration {
	return min(time.Duration(ms)*time.Millisecond, mostWait)
}
