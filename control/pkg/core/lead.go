package core

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/control/pkg/repair"
	"toucanhinge.example/control/pkg/replica"
	"toucanhinge.example/control/pkg/systemstate"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	leadTick = 50 * time.Millisecond
	// gatheringTime is how long a new leader waits before it takes it that all gateways tell it
	// what they do.
	gatheringTime clock.Millis = 1_000
	repairEvery                = 100 * time.Millisecond
	repairTime                 = 2 * time.Second
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
		return c.group.TransferLeadership(ctx)
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
