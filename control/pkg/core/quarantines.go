package core

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/crashes"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/prompt"
	"toucanhinge.example/control/pkg/systemstate"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// quarantineInterval is the interval at which the leader checks for new and cleared
	// quarantines. Daemons receive them at once in datagrams. Quarantines are logged too, so that
	// they survive when all processes end at the same time: without the log, a quarantined
	// request crashed four more runners after such a restart.
	quarantineInterval = 200 * time.Millisecond
	quarantineTimeout  = time.Second
)

// syncQuarantines applies the logged quarantines to this daemon and then logs the changes that
// daemons report.
func (c *Core) syncQuarantines(ctx context.Context) {
	var logged []crashes.Quarantine
	c.machine.View(func(s *systemstate.State) { logged = s.Quarantines() })
	c.config.Exchange.ApplyQuarantines(logged)
	ticker := time.NewTicker(quarantineInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := c.config.Exchange.Quarantines()
		if slices.Equal(quarantineKeys(logged), quarantineKeys(now)) {
			continue
		}
		if err := c.logQuarantines(ctx, now); err != nil {
			level.Warn(c.config.Logger).Log(logs.KeyEvent, "quarantines-unlogged", "quarantines", len(now), logs.KeyError, err)
			continue
		}
		logged = now
	}
}

func (c *Core) logQuarantines(parent context.Context, list []crashes.Quarantine) error {
	ctx, cancel := context.WithTimeout(parent, quarantineTimeout)
	defer cancel()
	_, err := c.propose(ctx, &toucanhingev1.SystemStep{Step: &toucanhingev1.SystemStep_KeepQuarantines{
		KeepQuarantines: &toucanhingev1.KeepQuarantinesStep{Quarantines: systemstate.EncodeQuarantines(list)},
	}})
	return err
}

// quarantineKeys returns the quarantined requests and parts in order.
func quarantineKeys(list []crashes.Quarantine) []quarantineKey {
	keys := make([]quarantineKey, 0, len(list))
	for _, q := range list {
		keys = append(keys, quarantineKey{q.Fingerprint, q.Part, q.Count, len(q.History.Runs)})
	}
	slices.SortFunc(keys, func(a, b quarantineKey) int {
		return cmp.Or(
			slices.Compare(a.fingerprint[:], b.fingerprint[:]), cmp.Compare(a.part, b.part), cmp.Compare(a.count, b.count), cmp.Compare(a.runs, b.runs),
		)
	})
	return keys
}

// quarantineKey identifies the nth quarantine of a request or part, where n is count, and what is known of its runs.
type quarantineKey struct {
	fingerprint crashes.Fingerprint
	part        prompt.PartID
	count       int
	runs        int
}
