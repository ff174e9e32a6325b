package core

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/crashes"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/control/pkg/systemstate"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// quarantinesEvery is how often the leader looks for requests that were quarantined or
	// cleared. All daemons know of one at once by datagrams; the log is for the case that all
	// processes end at once. Without it a request crashed four more runners then.
	quarantinesEvery = 200 * time.Millisecond
	quarantinesTime  = time.Second
)

// keepQuarantines tells what the log holds, and logs what the daemons found out since.
func (c *Core) keepQuarantines(ctx context.Context) {
	var kept []crashes.Quarantine
	c.machine.View(func(s *systemstate.State) { kept = s.Quarantines() })
	c.config.Exchange.ApplyQuarantines(kept)
	ticker := time.NewTicker(quarantinesEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := c.config.Exchange.Quarantines()
		if slices.Equal(contentsOf(kept), contentsOf(now)) {
			continue
		}
		if err := c.logQuarantines(ctx, now); err != nil {
			level.Warn(c.config.Logger).Log(logs.KeyEvent, "quarantines-unlogged", "quarantines", len(now), logs.KeyError, err)
			continue
		}
		kept = now
	}
}

func (c *Core) logQuarantines(parent context.Context, list []crashes.Quarantine) error {
	ctx, cancel := context.WithTimeout(parent, quarantinesTime)
	defer cancel()
	_, err := c.propose(ctx, &toucanhingev1.SystemStep{Step: &toucanhingev1.SystemStep_KeepQuarantines{
		KeepQuarantines: &toucanhingev1.KeepQuarantinesStep{Quarantines: systemstate.EncodeQuarantines(list)},
	}})
	return err
}

// contentsOf lists what the quarantines are about and how often each was imposed, in order.
func contentsOf(list []crashes.Quarantine) []quarantineKey {
	keys := make([]quarantineKey, 0, len(list))
	for _, q := range list {
		keys = append(keys, quarantineKey{q.Fingerprint, q.Count})
	}
	slices.SortFunc(keys, func(a, b quarantineKey) int {
		if order := slices.Compare(a.content[:], b.content[:]); order != 0 {
			return order
		}
		return a.terms - b.terms
	})
	return keys
}

type quarantineKey struct {
	content crashes.Fingerprint
	terms   int
}
