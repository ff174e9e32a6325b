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
	leadershipCheckInterval = 50 * time.Millisecond
	// gatewayDiscoveryPeriod is how long a new leader waits until it assumes that it knows all gateways
	// and receives their usage.
	gatewayDiscoveryPeriod clock.Millis = 1_000
	repairInterval                      = 100 * time.Millisecond
	repairTimeout                       = 2 * time.Second
	// unresponsiveAfter is the time without an announcement after which a control VM is replaced
	// if another one is available. A killed process restarts within two seconds.
	unresponsiveAfter clock.Millis = 3_000
)

// lead runs the leader's tasks whenever this VM leads.
func (c *Core) lead(ctx context.Context) {
	ticker := time.NewTicker(leadershipCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, _, self := c.group.Leader(); self && c.confirmRead(ctx) == nil {
			c.leadTerm(ctx)
		}
	}
}

// leadTerm runs the leader's tasks until the leadership is lost.
func (c *Core) leadTerm(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	term := c.group.Term()
	c.fleet.startTerm(c.config.Clock.Now(), term)
	if c.config.Quota != nil {
		c.config.Quota.Reset(c.config.Boot.Now() + gatewayDiscoveryPeriod)
	}
	level.Info(c.config.Logger).Log(logs.KeyEvent, "lead-begun", logs.KeyTerm, term)
	tasks := []func(context.Context){c.driver.Run, c.readDirectory, c.repair, c.syncQuarantines}
	done := make(chan struct{}, len(tasks))
	for _, run := range tasks {
		go func() {
			run(ctx)
			done <- struct{}{}
		}()
	}
	c.watchTerm(ctx, term)
	cancel()
	for range tasks {
		<-done
	}
	level.Info(c.config.Logger).Log(logs.KeyEvent, "lead-ended", logs.KeyTerm, term)
	// Gateways that receive digests from this VM assume that they can reach the core.
	c.config.Exchange.SetPeers(nil)
	c.fleet.changed.Fire()
}

// watchTerm maintains the gateways and digest peers until the term ends or the leadership is lost.
func (c *Core) watchTerm(ctx context.Context, term uint64) {
	ticker := time.NewTicker(leadershipCheckInterval)
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
		c.fleet.expireGateways(c.config.Clock.Now())
		c.config.Exchange.SetPeers(c.fleet.digestPeers())
	}
}

// repair continuously adapts the group's membership as package repair decides.
func (c *Core) repair(ctx context.Context) {
	ticker := time.NewTicker(repairInterval)
	defer ticker.Stop()
	leaderSince := c.config.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.repairOnce(ctx, leaderSince)
	}
}

func (c *Core) repairOnce(ctx context.Context, leaderSince clock.Millis) {
	c.registerVMs(ctx)
	planner := repair.Config{Self: c.config.Address, ToleratedLosses: c.config.ToleratedLosses, UnresponsiveAfter: unresponsiveAfter}
	members := c.members()
	step := planner.Next(c.config.Clock.Now(), members, c.vms(leaderSince, members))
	if step.Kind == repair.NoStep {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	err := c.applyStep(ctx, step)
	level.Info(c.config.Logger).Log(logs.KeyEvent, "membership-step", "kind", step.Kind, "member", step.Member.Name,
		"reason", step.Reason, "members", len(members), logs.KeyError, err)
	c.metrics.membershipSteps.WithLabelValues(step.Reason).Inc()
}

// applyStep carries out a membership change.
func (c *Core) applyStep(ctx context.Context, step repair.Step) error {
	switch step.Kind {
	case repair.AddLearner:
		return c.group.AddLearner(ctx, replica.Peer{
			Name: step.Member.Name, Address: step.Member.Address, Identity: step.Member.Identity,
		})
	case repair.Promote:
		return c.group.Promote(ctx, step.Member.Name)
	case repair.Remove:
		return c.group.Remove(ctx, step.Member.Name)
	case repair.TransferLeadership:
		return c.group.TransferLeadership(ctx)
	default:
		return nil
	}
}

// members returns the group's replicas and passes their addresses on to the fleet.
func (c *Core) members() []repair.Member {
	status := c.group.Status()
	var members []repair.Member
	var addresses []string
	for _, r := range status.GetReplicas() {
		lag := status.GetCommit() - min(r.GetMatch(), status.GetCommit())
		members = append(members, repair.Member{
			Name: r.GetName(), Address: r.GetAddress(), Identity: r.GetIdentity(), Voter: r.GetVoter(), Lag: lag, InContact: r.GetInContact(),
		})
		addresses = append(addresses, r.GetAddress())
	}
	c.fleet.setCoreAddresses(addresses)
	return members
}

// vms returns the VMs that announced themselves, and the members that have not announced
// themselves since this leader's term began. The latter count as last seen at its beginning.
func (c *Core) vms(leaderSince clock.Millis, members []repair.Member) []repair.VM {
	byAddress := c.fleet.announcedVMs()
	retiring := map[string]bool{}
	unseen := map[string]bool{}
	for _, m := range members {
		if _, seen := byAddress[m.Name]; !seen {
			byAddress[m.Name] = announcedVM{identity: m.Identity, lastSeen: leaderSince}
			unseen[m.Name] = true
		}
	}
	c.machine.View(func(s *systemstate.State) {
		for _, v := range s.VMs() {
			if unseen[v.Address] {
				byAddress[v.Address] = announcedVM{identity: v.Identity, lastSeen: leaderSince}
			}
			if byAddress[v.Address].identity == v.Identity {
				retiring[v.Address] = v.Retiring
			}
		}
	})
	var vms []repair.VM
	for address, v := range byAddress {
		vms = append(vms, repair.VM{
			Name: address, Address: address, Identity: v.identity, LastSeen: v.lastSeen, Retiring: retiring[address],
		})
	}
	return vms
}

// registerVMs logs the announced VMs that are new or whose address or identity changed.
func (c *Core) registerVMs(ctx context.Context) {
	var steps []*toucanhingev1.SystemStep
	announced := c.fleet.announcedVMs()
	c.machine.View(func(s *systemstate.State) {
		for address, v := range announced {
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
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	if _, err := c.propose(ctx, steps...); err != nil {
		level.Warn(c.config.Logger).Log(logs.KeyEvent, "vms-unregistered", logs.KeyError, err)
	}
}
