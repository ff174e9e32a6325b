package core

import (
	"context"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/routing"
	"toucanhinge.example/control/pkg/repair"
	"toucanhinge.example/control/pkg/replica"
	"toucanhinge.example/control/pkg/systemstate"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

var (
	// ErrUnknownVM means that no control VM has the given name.
	ErrUnknownVM = errors.New("no VM of the core has this name")
	// ErrTooFewVMs means that too few control VMs would remain.
	ErrTooFewVMs = errors.New("too few VMs of the core would remain")
	// ErrNoTable means that no routing table was acknowledged yet.
	ErrNoTable = errors.New("no routing table exists yet")
)

// ReplaceTable activates a table once it is synced on a majority, unless a table with an equal
// or higher version is active. It returns the active version. The error for an invalid table
// is a routing.ErrInvalid.
func (c *Core) ReplaceTable(ctx context.Context, table *toucanhingev1.RoutingTable) (uint64, error) {
	if _, err := routing.New(table); err != nil {
		return 0, err
	}
	version, err := proposeOne[uint64](ctx, c, &toucanhingev1.SystemStep{
		Step: &toucanhingev1.SystemStep_ReplaceTable{ReplaceTable: table},
	})
	if err != nil {
		return 0, err
	}
	level.Info(c.config.Logger).Log(logs.KeyEvent, "table-acknowledged", "version", table.GetVersion(), "in-force", version)
	return version, nil
}

// ReadTable returns the newest acknowledged table, confirmed by a majority.
func (c *Core) ReadTable(ctx context.Context) (*toucanhingev1.RoutingTable, error) {
	if err := c.confirmRead(ctx); err != nil {
		return nil, err
	}
	table := c.activeTable()
	if table == nil {
		return nil, ErrNoTable
	}
	return table.Wire(), nil
}

// RetireVM starts to remove a control VM from the group. Retired reports the end of the removal.
func (c *Core) RetireVM(ctx context.Context, name string) error {
	if err := c.confirmRead(ctx); err != nil {
		return err
	}
	vm, found := c.vm(name)
	if !found {
		return ErrUnknownVM
	}
	if vm.Retiring {
		return nil
	}
	now := c.config.Clock.Now()
	planner := repair.Config{Self: c.config.Address, ToleratedLosses: c.config.ToleratedLosses, UnresponsiveAfter: unresponsiveAfter}
	if !planner.MayRetire(now, vm.Address, c.vms(now, c.members())) {
		return ErrTooFewVMs
	}
	if _, err := proposeOne[bool](ctx, c, &toucanhingev1.SystemStep{
		Step: &toucanhingev1.SystemStep_RetireVm{RetireVm: &toucanhingev1.RetireVMStep{Name: name}},
	}); err != nil {
		return err
	}
	level.Info(c.config.Logger).Log(logs.KeyEvent, "vm-retiring", "vm", name)
	return nil
}

// Retired reports whether a VM is retiring and no longer a member of the group.
func (c *Core) Retired(ctx context.Context, name string) (bool, error) {
	if err := c.confirmRead(ctx); err != nil {
		return false, err
	}
	vm, found := c.vm(name)
	if !found {
		return false, ErrUnknownVM
	}
	if !vm.Retiring {
		return false, nil
	}
	for _, r := range c.group.Status().GetReplicas() {
		if r.GetName() == vm.Address {
			return false, nil
		}
	}
	return true, nil
}

func (c *Core) vm(name string) (vm systemstate.VM, found bool) {
	c.machine.View(func(s *systemstate.State) { vm, found = s.VM(name) })
	return vm, found
}

// IsNotLeader reports whether an error means that this VM doesn't lead, so that the call had no
// effect and can be sent to the leader.
func IsNotLeader(err error) bool {
	var notLeader *replica.NotLeaderError
	return errors.As(err, &notLeader)
}
