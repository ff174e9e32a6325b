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
	// fleetBatchDelay is how long a change of the fleet waits for further changes, so that they
	// are sent together. In a large fleet gateways start and stop all the time, and each change
	// is sent to all of them.
	fleetBatchDelay      = 10 * time.Millisecond
	largeFleetBatchDelay = 40 * time.Millisecond
	// maxWait bounds how long a call waits for updates or results.
	maxWait = 2 * time.Second
	// maxSubscribers bounds the gateways that receive updates from the leader at the same time.
	// It is far above the need of any fleet size and is reached only after an outage. Further
	// gateways receive a retry delay, which costs less than sending them full views.
	maxSubscribers = 128
	retryDelay     = 200 * time.Millisecond
)

// Attend returns the updates that the gateway lacks. If there are none, the call waits for the
// next update or the timeout. In a large fleet most gateways are referred to other gateways.
func (c *Core) Attend(ctx context.Context, r *connect.Request[toucanhingev1.AttendRequest]) (*connect.Response[toucanhingev1.AttendResponse], error) {
	if err := c.requireLeader(); err != nil {
		return nil, err
	}
	m := r.Msg
	if response := c.admitSubscriber(m); response != nil {
		return connect.NewResponse(response), nil
	}
	defer c.subscribers.Add(-1)
	if m.GetConfirm() {
		// A leader that was suspended or partitioned still considers itself the leader for a
		// short time, while its successor may have acknowledged the removal of a key.
		if err := c.confirmRead(ctx); err != nil {
			return nil, c.callError(err)
		}
	}
	timer := time.NewTimer(waitLimit(m.GetWaitMs()))
	defer timer.Stop()
	for {
		table, fleet := c.tables.Next(), c.fleet.changed.Next()
		updates := c.updatesFor(m)
		if err := c.requireLeader(); err != nil {
			return nil, err
		}
		if updates.Table != nil || updates.Fleet != nil {
			return connect.NewResponse(updates), nil
		}
		select {
		case <-table:
		case <-fleet:
			// When a leader's term begins, gateways connect one after the other. Without
			// the delay, each of them would receive one update for each other gateway.
			c.delayForFleetBatch()
		case <-timer.C:
			return connect.NewResponse(updates), nil
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
}

// admitSubscriber records the presence of the calling gateway and of the gateways that it
// reports. It returns nil if the gateway may subscribe here; the gateway then counts as a
// subscriber, and the caller has to decrement subscribers. Otherwise it returns a response
// that names other gateways or a retry delay.
func (c *Core) admitSubscriber(m *toucanhingev1.AttendRequest) *toucanhingev1.AttendResponse {
	now := c.config.Clock.Now()
	self := gateway{address: m.GetDigestAddress(), dataCentre: m.GetDataCentre(), lastSeen: now, hasFleet: m.GetHaveFleet() != 0}
	c.fleet.recordGateway(m.GetName(), self)
	for _, p := range m.GetPassed() {
		c.fleet.recordGateway(p.GetName(), gateway{
			address: p.GetAddress(), dataCentre: m.GetDataCentre(), lastSeen: now - clock.Millis(p.GetAgeMs()), hasFleet: p.GetHolds(),
		})
	}
	if !m.GetInsists() {
		if m.GetHasParents() && c.fleet.discoveringGateways(now, c.group.Term()) {
			// The gateway's parents will receive updates from this leader soon. A new leader that
			// had to send the full view to all gateways at once would be slow from the start.
			return c.retryLater(attendEarly)
		}
		if parents := c.fleet.referrals(now, self); len(parents) > 0 {
			c.metrics.attendCalls.WithLabelValues(attendReferred).Inc()
			return &toucanhingev1.AttendResponse{Ask: parents}
		}
	}
	if c.subscribers.Add(1) > maxSubscribers {
		c.subscribers.Add(-1)
		level.Warn(c.config.Logger).Log(logs.KeyEvent, "attend-crowded", "gateway", m.GetName(), "attending", maxSubscribers)
		return c.retryLater(attendCrowded)
	}
	c.metrics.attendCalls.WithLabelValues(attendAnswered).Inc()
	return nil
}

// retryLater returns a response with a retry delay, randomized to spread the gateways' retries.
func (c *Core) retryLater(outcome string) *toucanhingev1.AttendResponse {
	c.metrics.attendCalls.WithLabelValues(outcome).Inc()
	return &toucanhingev1.AttendResponse{RetryMs: uint32((retryDelay/2 + rand.N(retryDelay)).Milliseconds())}
}

// updatesFor returns the updates that a gateway lacks.
func (c *Core) updatesFor(m *toucanhingev1.AttendRequest) *toucanhingev1.AttendResponse {
	updates := &toucanhingev1.AttendResponse{Confirmed: m.GetConfirm()}
	if c.fleet.hasBegun(c.group.Term()) {
		updates.Fleet = c.fleet.view(c.config.Clock.Now(), m, c.digestPeer())
	}
	if t := c.activeTable(); t != nil && t.Version > m.GetHaveVersion() {
		updates.Table = t.WithoutDocument()
	}
	if updates.Fleet != nil && m.GetHaveFleet() == 0 && c.config.Quota != nil {
		usage, known := c.config.Quota.Snapshot(c.config.Boot.Now())
		updates.Uses, updates.UsesKnownMs = usage, uint32(known)
	}
	return updates
}

// delayForFleetBatch waits for further changes of the fleet.
func (c *Core) delayForFleetBatch() {
	if c.fleet.isLarge() {
		time.Sleep(largeFleetBatchDelay)
		return
	}
	time.Sleep(fleetBatchDelay)
}

// waitLimit converts a caller's timeout in milliseconds and caps it at maxWait.
func waitLimit(ms uint32) time.Duration {
	return min(time.Duration(ms)*time.Millisecond, maxWait)
}
