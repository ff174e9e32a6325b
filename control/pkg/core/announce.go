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
	announceEvery = 400 * time.Millisecond
	// announceTime ends one try to tell the leader. A VM that lost its disk knows
	// the seeds only, and some of these may be gone: with a longer try it was taken
	// in again a second later.
	announceTime = 250 * time.Millisecond
)

// announce tells the leader, again and again, that this VM is there and with
// which data folder. So a VM that lost its disk, or is new, becomes a member.
func (c *Core) announce(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.asked:
		case <-timer.C:
		}
		again := c.announceOnce(ctx)
		c.announcedAt.Store(int64(c.config.Clock.Now()))
		timer.Reset(again)
	}
}

// look asks who leads, if this VM rests and may not know it any more: someone wants to know.
func (c *Core) look() {
	if int64(c.config.Clock.Now())-c.announcedAt.Load() < announceEvery.Milliseconds() {
		return
	}
	select {
	case c.asked <- struct{}{}:
	default:
	}
}

// announceOnce returns when to announce again.
func (c *Core) announceOnce(ctx context.Context) time.Duration {
	if _, _, self := c.group.Leader(); self {
		c.fleet.announce(c.config.Clock.Now(), c.config.Name, c.config.Address, c.identity)
		return announceEvery
	}
	ctx, cancel := context.WithTimeout(ctx, 4*announceTime)
	defer cancel()
	answer, err := control.Call(ctx, c.config.Core, Group, "announce", c.tellLeader)
	if err != nil {
		level.Debug(c.config.Logger).Log(logs.KeyEvent, "announce-failed", logs.KeyError, err)
		// The VMs that we know may all be gone, and the settings name others by now.
		c.config.Core.SetAddresses(c.acquaintances.withSeeds(c.config.Seeds()))
		return announceEvery
	}
	c.config.Core.SetAddresses(answer.GetCoreAddresses())
	c.acquaintances.keep(answer.GetCoreAddresses())
	if rest := time.Duration(answer.GetAgainMs()) * time.Millisecond; rest > 0 {
		// Those that rest come one after the other.
		return rest*3/4 + rand.N(rest/4)
	}
	return announceEvery
}

func (c *Core) tellLeader(ctx context.Context, leader *control.Replica) (*toucanhingev1.AnnounceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTime)
	defer cancel()
	answer, err := leader.Core.Announce(ctx, connect.NewRequest(&toucanhingev1.AnnounceRequest{
		Name: c.config.Name, Address: c.config.Address, Identity: c.identity,
	}))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}
