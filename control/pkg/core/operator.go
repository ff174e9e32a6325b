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
	// ErrUnknownVM tells that no VM of the core has that name.
	ErrUnknownVM = errors.New("no VM of the core has that name")
	// ErrTooFewVMs tells that too few VMs would be left.
	ErrTooFewVMs = errors.New("too few VMs of the core would be left")
	// ErrNoTable tells that there is no routing table yet.
	ErrNoTable = errors.New("there is no routing table yet")
)

// ReplaceTable puts a table in force once it is synced on a majority, if no equal
// or higher version is. It returns the version in force. An invalid table is a
// routing.ErrInvalid.
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
	if err := c.confirm(ctx); err != nil {
		return nil, err
	}
	table := c.inForce()
	if table == nil {
		return nil, ErrNoTable
	}
	return table.Wire(), nil
}

// RetireVM begins to empty a VM of the core.
func (c *Core) RetireVM(ctx context.Context, name string) error {
	if err := c.confirm(ctx); err != nil {
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
	decide := repair.Config{Self: c.config.Address, Losses: c.config.Losses, SilentAfter: silentAfter}
	if !decide.MayRetire(now, vm.Address, c.vms(now, c.members())) {
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

// Retired says whether a VM that was to be emptied holds nothing any more.
func (c *Core) Retired(ctx context.Context, name string) (bool, error) {
	if err := c.confirm(ctx); err != nil {
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

// IsNotLeader says whether the error is that this VM doesn't lead, so that the
// call had no effect and the leader can be asked.
func IsNotLeader(err error) bool {
	var notLeader *replica.NotLeaderError
	return errors.As(err, &notLeader)
}
