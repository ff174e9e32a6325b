package core

import (
	"os"
	"slices"
	"strings"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/control/pkg/disk"
)

// acquaintances are the members of the core that this VM knew last, kept on its disk. The
// settings name three VMs, and any of these may have left the group or lost its disk by
// now. When all VMs lost power then, the members elected a leader at once, but the others
// asked only the three, who asked only one another: no gateway had routes again, and no
// caller was served for the rest of the day.
type acquaintances struct {
	path      string
	logger    log.Logger
	addresses []string
}

// recall reads what was kept. Without it the seeds must do.
func recall(path string, logger log.Logger) *acquaintances {
	a := &acquaintances{path: path, logger: logger}
	data, err := disk.ReadFile(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
	case err != nil:
		level.Warn(logger).Log(logs.KeyEvent, "acquaintances-unread", logs.KeyError, err)
	default:
		a.addresses = strings.Fields(string(data))
	}
	return a
}

// keep replaces what is kept. It costs a sync when the members change, a few times a day.
func (a *acquaintances) keep(addresses []string) {
	sorted := slices.Sorted(slices.Values(addresses))
	if len(sorted) == 0 || slices.Equal(sorted, a.addresses) {
		return
	}
	if err := disk.WriteFile(a.path, []byte(strings.Join(sorted, "\n"))); err != nil {
		level.Warn(a.logger).Log(logs.KeyEvent, "acquaintances-unkept", logs.KeyError, err)
		return
	}
	a.addresses = sorted
}

// withSeeds lists all addresses where the core may be found.
func (a *acquaintances) withSeeds(seeds []string) []string {
	all := slices.Clone(seeds)
	for _, address := range a.addresses {
		if !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	return all
}
