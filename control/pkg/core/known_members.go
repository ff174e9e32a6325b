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

// knownMembers stores the last known addresses of the core's members on disk. The settings
// name only three seeds, and each of them may have left the group or lost its disk since.
// After a power loss of all VMs, the members elect a leader at once, but the other VMs would
// query only the seeds, which query only one another: gateways would get no routes, and no
// caller would be served.
type knownMembers struct {
	path      string
	logger    log.Logger
	addresses []string
}

// loadKnownMembers reads the stored addresses. If there are none, only the seeds are used.
func loadKnownMembers(path string, logger log.Logger) *knownMembers {
	m := &knownMembers{path: path, logger: logger}
	data, err := disk.ReadFile(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
	case err != nil:
		level.Warn(logger).Log(logs.KeyEvent, "acquaintances-unread", logs.KeyError, err)
	default:
		m.addresses = strings.Fields(string(data))
	}
	return m
}

// save replaces the stored addresses. It syncs the disk only when the members change, a few times a day.
func (m *knownMembers) save(addresses []string) {
	sorted := slices.Sorted(slices.Values(addresses))
	if len(sorted) == 0 || slices.Equal(sorted, m.addresses) {
		return
	}
	if err := disk.WriteFile(m.path, []byte(strings.Join(sorted, "\n"))); err != nil {
		level.Warn(m.logger).Log(logs.KeyEvent, "acquaintances-unkept", logs.KeyError, err)
		return
	}
	m.addresses = sorted
}

// withSeeds returns the seeds followed by the known members that aren't seeds.
func (m *knownMembers) withSeeds(seeds []string) []string {
	all := slices.Clone(seeds)
	for _, address := range m.addresses {
		if !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	return all
}
