package core

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/logs"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	announceInterval = 400 * time.Millisecond
	// announceTimeout bounds one announcement to the leader. A VM that lost its disk knows
	// only the seeds, some of which may not exist any more. A longer timeout delayed its
	// return to the group by a second.
	announceTimeout = 250 * time.Millisecond
)

// announce periodically sends the identity of this VM's data folder to the leader, so that
// a new VM, or one that lost its disk, becomes a member.
func (c *Core) announce(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.announceNow:
		case <-timer.C:
		}
		delay := c.announceOnce(ctx)
		c.announcedAt.Store(int64(c.config.Clock.Now()))
		timer.Reset(delay)
	}
}

// triggerAnnounce makes an idle VM announce itself at once, because its knowledge of the
// leader may be outdated. It does nothing if the last announcement is recent.
func (c *Core) triggerAnnounce() {
	if int64(c.config.Clock.Now())-c.announcedAt.Load() < announceInterval.Milliseconds() {
		return
	}
	select {
	case c.announceNow <- struct{}{}:
	default:
	}
}

// announceOnce announces this VM once and returns the delay until the next announcement.
func (c *Core) announceOnce(ctx context.Context) time.Duration {
	if _, _, self := c.group.Leader(); self {
		c.fleet.recordAnnouncement(c.config.Clock.Now(), c.config.Name, c.config.Address, c.identity)
		return announceInterval
	}
	ctx, cancel := context.WithTimeout(ctx, 4*announceTimeout)
	defer cancel()
	response, err := control.Call(ctx, c.config.Core, Group, "announce", c.sendAnnounce)
	if err != nil {
		level.Debug(c.config.Logger).Log(logs.KeyEvent, "announce-failed", logs.KeyError, err)
		// All known VMs may have been replaced, and the settings may name other seeds by now.
		c.config.Core.SetAddresses(c.knownMembers.withSeeds(c.config.Seeds()))
		return announceInterval
	}
	c.config.Core.SetAddresses(response.GetCoreAddresses())
	c.knownMembers.save(response.GetCoreAddresses())
	if idle := time.Duration(response.GetAgainMs()) * time.Millisecond; idle > 0 {
		// The jitter spreads the announcements of idle VMs.
		return idle*3/4 + rand.N(idle/4)
	}
	return announceInterval
}

func (c *Core) sendAnnounce(ctx context.Context, leader *control.Replica) (*toucanhingev1.AnnounceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	response, err := leader.Core.Announce(ctx, connect.NewRequest(&toucanhingev1.AnnounceRequest{
		Name: c.config.Name, Address: c.config.Address, Identity: c.identity,
	}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}
