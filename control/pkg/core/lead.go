package core

import (
	"context"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/control/pkg/repair"
	"toucanhinge.example/control/pkg/replica"
	"toucanhinge.example/control/pkg/systemstate"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	leadTick = 50 * time.Millisecond
	// directoryEvery is the interval between two readings of the directory. It
	// lags by most of a second anyway; a drain must be known within three.
	directoryEvery = 500 * time.Millisecond
	directoryTime  = time.Second
	// gatheringTime is how long a new leader waits before it takes it that all gateways tell it
	// what they do.
	gatheringTime clock.Millis = 1_000
	repairEvery                = 100 * time.Millisecond
	repairTime                 = 2 * time.Second
	announceEvery              = 400 * time.Millisecond
	// announceTime ends one try to tell the leader. A VM that lost its disk knows
	// the seeds only, and some of these may be gone: with a longer try it was taken
	// in again a second later.
	announceTime = 250 * time.Millisecond
	// silentAfter is the silence after which a VM of the core is replaced if
	// another one stands ready. A killed process is back within two seconds.
	silentAfter clock.Millis = 3_000
)

// lead carries out the leader's duties while this VM leads.
func (c *Core) lead(ctx context.Context) {
	ticker := time.NewTicker(leadTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, _, self := c.group.Leader(); self && c.confirm(ctx) == nil {
			c.leadOnce(ctx)
		}
	}
}

// leadOnce leads until the leadership is lost.
func (c *Core) leadOnce(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	term := c.group.Term()
	c.fleet.begin(c.config.Clock.Now(), term)
	if c.config.Quota != nil {
		c.config.Quota.Reset(c.config.Boot.Now() + gatheringTime)
	}
	level.Info(c.config.Logger).Log(logs.KeyEvent, "lead-begun", logs.KeyTerm, term)
	duties := []func(context.Context){c.driver.Run, c.readDirectory, c.repair, c.keepQuarantines}
	done := make(chan struct{}, len(duties))
	for _, run := range duties {
		go func() {
			run(ctx)
			done <- struct{}{}
		}()
	}
	c.holdLead(ctx, term)
	cancel()
	for range duties {
		<-done
	}
	level.Info(c.config.Logger).Log(logs.KeyEvent, "lead-ended", logs.KeyTerm, term)
	// Gateways that hear this VM take it that they reach the core.
	c.config.Exchange.SetPeers(nil)
	c.fleet.changed.Fire()
}

func (c *Core) holdLead(ctx context.Context, term uint64) {
	ticker := time.NewTicker(leadTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, _, self := c.group.Leader(); !self || c.group.Term() != term {
			return
		}
		c.fleet.expire(c.config.Clock.Now())
		c.config.Exchange.SetPeers(c.fleet.digestPeers())
	}
}

// readDirectory follows the platform's list of runners. Its calls are limited
// for all daemons together, so only the leader reads it.
func (c *Core) readDirectory(ctx context.Context) {
	ticker := time.NewTicker(directoryEvery)
	defer ticker.Stop()
	for {
		c.readOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Core) readOnce(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, directoryTime)
	defer cancel()
	runners, err := c.config.Directory(readCtx)
	if err != nil {
		c.metrics.directory.WithLabelValues("failed").Inc()
		if ctx.Err() == nil {
			level.Warn(c.config.Logger).Log(logs.KeyEvent, "directory-unread", logs.KeyError, err)
		}
		return
	}
	c.metrics.directory.WithLabelValues("read").Inc()
	c.config.Exchange.SetRunners(len(runners))
	if ids := c.fleet.restarted(runners); len(ids) > 0 {
		level.Info(c.config.Logger).Log(logs.KeyEvent, "runners-restarted", "runners", strings.Join(ids, " "))
	}
	if c.fleet.setRunners(runners) {
		leaving := 0
		for _, r := range runners {
			if r.GetLeaving() {
				leaving++
			}
		}
		level.Info(c.config.Logger).Log(logs.KeyEvent, "runners-changed", "runners", len(runners), "leaving", leaving)
		c.driver.Wake()
	}
}

// repair keeps the group's membership as package repair decides.
func (c *Core) repair(ctx context.Context) {
	ticker := time.NewTicker(repairEvery)
	defer ticker.Stop()
	began := c.config.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.repairOnce(ctx, began)
	}
}

func (c *Core) repairOnce(ctx context.Context, began clock.Millis) {
	c.register(ctx)
	decide := repair.Config{Self: c.config.Address, Losses: c.config.Losses, SilentAfter: silentAfter}
	members := c.members()
	step := decide.Next(c.config.Clock.Now(), members, c.vms(began, members))
	if step.Kind == repair.Nothing {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, repairTime)
	defer cancel()
	err := c.change(ctx, step)
	level.Info(c.config.Logger).Log(logs.KeyEvent, "membership-step", "kind", step.Kind, "member", step.Member.Name,
		"reason", step.Reason, "members", len(members), logs.KeyError, err)
	c.metrics.repairs.WithLabelValues(step.Reason).Inc()
}

func (c *Core) change(ctx context.Context, step repair.Step) error {
	switch step.Kind {
	case repair.AddLearner:
		return c.group.AddLearner(ctx, replica.Peer{
			Name: step.Member.Name, Address: step.Member.Address, Identity: step.Member.Identity,
		})
	case repair.Promote:
		return c.group.Promote(ctx, step.Member.Name)
	case repair.Remove:
		return c.group.Remove(ctx, step.Member.Name)
	case repair.HandOver:
		return c.group.Handover(ctx)
	default:
		return nil
	}
}

// members lists the group's replicas.
func (c *Core) members() []repair.Member {
	status := c.group.Status()
	var members []repair.Member
	var addresses []string
	for _, r := range status.GetReplicas() {
		behind := status.GetCommit() - min(r.GetMatch(), status.GetCommit())
		members = append(members, repair.Member{
			Name: r.GetName(), Address: r.GetAddress(), Identity: r.GetIdentity(), Voter: r.GetVoter(), Behind: behind,
		})
		addresses = append(addresses, r.GetAddress())
	}
	c.fleet.setCores(addresses)
	return members
}

// vms lists the VMs that announced themselves, and the members that haven't had
// the time to since this leader began.
func (c *Core) vms(began clock.Millis, members []repair.Member) []repair.VM {
	byAddress := c.fleet.announced()
	retiring := map[string]bool{}
	member := map[string]bool{}
	for _, m := range members {
		member[m.Name] = true
	}
	c.machine.View(func(s *systemstate.State) {
		for _, v := range s.VMs() {
			if _, heard := byAddress[v.Address]; !heard && member[v.Address] {
				byAddress[v.Address] = announced{name: v.Name, identity: v.Identity, heard: began}
			}
			if byAddress[v.Address].identity == v.Identity {
				retiring[v.Address] = v.Retiring
			}
		}
	})
	var vms []repair.VM
	for address, v := range byAddress {
		vms = append(vms, repair.VM{
			Name: address, Address: address, Identity: v.identity, Heard: v.heard, Retiring: retiring[address],
		})
	}
	return vms
}

// register logs the names of VMs that are new.
func (c *Core) register(ctx context.Context) {
	var steps []*toucanhingev1.SystemStep
	heard := c.fleet.announced()
	c.machine.View(func(s *systemstate.State) {
		for address, v := range heard {
			known, found := s.VM(v.name)
			if !found || known.Address != address || known.Identity != v.identity {
				steps = append(steps, &toucanhingev1.SystemStep{Step: &toucanhingev1.SystemStep_RegisterVm{
					RegisterVm: &toucanhingev1.RegisterVMStep{Name: v.name, Address: address, Identity: v.identity},
				}})
			}
		}
	})
	if len(steps) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, repairTime)
	defer cancel()
	if _, err := c.propose(ctx, steps...); err != nil {
		level.Warn(c.config.Logger).Log(logs.KeyEvent, "vms-unregistered", logs.KeyError, err)
	}
}

// announce tells the leader, again and again, that this VM is there and with
// which data folder. So a VM that lost its disk, or is new, becomes a member.
func (c *Core) announce(ctx context.Context) {
	ticker := time.NewTicker(announceEvery)
	defer ticker.Stop()
	for {
		c.announceOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Core) announceOnce(ctx context.Context) {
	if _, _, self := c.group.Leader(); self {
		c.fleet.announce(c.config.Clock.Now(), c.config.Name, c.config.Address, c.identity)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 4*announceTime)
	defer cancel()
	answer, err := control.Call(ctx, c.config.Core, Group, "announce", c.tellLeader)
	if err != nil {
		level.Debug(c.config.Logger).Log(logs.KeyEvent, "announce-failed", logs.KeyError, err)
		// The VMs that we know may all be gone, and the settings name others by now.
		c.config.Core.SetAddresses(c.acquaintances.withSeeds(c.config.Seeds()))
		return
	}
	c.config.Core.SetAddresses(answer.GetCoreAddresses())
	c.acquaintances.keep(answer.GetCoreAddresses())
}
