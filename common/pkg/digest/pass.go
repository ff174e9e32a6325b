package digest

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"toucanhinge.example/common/pkg/logs"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// pass relays between data centres, if it is this daemon's turn.
func (x *Exchange) pass(ctx context.Context) {
	ticker := time.NewTicker(signEvery.Duration())
	defer ticker.Stop()
	acting := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		x.mu.Lock()
		parcels := x.relay.turn(x.config.Clock.Now(), x.table, x.centreUses)
		acts := x.relay.acts > 0
		x.mu.Unlock()
		if acts != acting {
			acting = acts
			level.Info(x.config.Logger).Log(logs.KeyEvent, "digest-relay", "acts", acts, "data-centre", x.config.DataCentre)
			// One that doesn't relay only looks whether it has to.
			every := signEvery
			if acts {
				every = relayEvery
			}
			ticker.Reset(every.Duration())
		}
		for _, p := range parcels {
			x.sendTo(p.to, p.digest)
		}
	}
}

func (x *Exchange) sendTo(to []string, d *toucanhingev1.LoadDigest) {
	data, err := proto.Marshal(d)
	if err != nil {
		level.Error(x.config.Logger).Log(logs.KeyEvent, "digest-unencodable", logs.KeyError, err)
		return
	}
	x.mu.Lock()
	all := x.all
	x.mu.Unlock()
	for _, address := range to {
		if peer, known := all[address]; known {
			x.write(data, peer)
		}
	}
}

// centreUses lists what other data centres may not know of the teams' requests in this one.
func (x *Exchange) centreUses() ([]*toucanhingev1.TeamUse, uint32) {
	return x.config.Quota.Publish(true), x.counting()
}

// take takes over a digest, and lists to whom it must be passed on as it came.
func (x *Exchange) take(from string, d *toucanhingev1.LoadDigest) (passOn []netip.AddrPort) {
	now, boot := x.config.Clock.Now(), x.boot()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.hearing.anyAt = boot
	switch {
	case d.GetAsks():
		x.relay.hubs.asked(now, from)
		return nil
	case !d.GetRelays():
		if x.relay.notice(from, d.GetSource()) {
			x.table.ApplyDigest(now, d)
			x.config.Quota.Receive(boot, d, false)
		}
		return nil
	}
	summaries, to := x.relay.receive(now, from, d)
	for _, address := range to {
		if peer, known := x.all[address]; known {
			passOn = append(passOn, peer)
		}
	}
	for _, summary := range summaries {
		if summary.GetDataCentre() != x.config.DataCentre {
			// Where data centres tell one another sums, one's own daemons tell nothing of the others.
			x.hearing.otherAt = boot
			x.table.ApplySummary(now, summary)
			x.config.Quota.Receive(boot, summary, true)
		}
	}
	return passOn
}
