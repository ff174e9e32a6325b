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

// runRelay relays summaries between data centres while this daemon is the relay. Otherwise it
// requests them if they don't arrive.
func (x *Exchange) runRelay(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval.Duration())
	defer ticker.Stop()
	wasActive := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		x.mu.Lock()
		messages := x.relay.step(x.config.Clock.Now(), x.table, x.dataCentreUsage)
		active := x.relay.activeSince > 0
		x.mu.Unlock()
		if active != wasActive {
			wasActive = active
			level.Info(x.config.Logger).Log(logs.KeyEvent, "digest-relay", "acts", active, "data-centre", x.config.DataCentre)
			// An inactive relay only checks whether it has to take the role.
			interval := heartbeatInterval
			if active {
				interval = relayInterval
			}
			ticker.Reset(interval.Duration())
		}
		for _, m := range messages {
			x.sendTo(m.to, m.digest)
		}
	}
}

func (x *Exchange) sendTo(recipients []string, d *toucanhingev1.LoadDigest) {
	data, err := proto.Marshal(d)
	if err != nil {
		level.Error(x.config.Logger).Log(logs.KeyEvent, "digest-unencodable", logs.KeyError, err)
		return
	}
	x.mu.Lock()
	peers := x.all
	x.mu.Unlock()
	for _, address := range recipients {
		if peer, known := peers[address]; known {
			x.write(data, peer)
		}
	}
}

// dataCentreUsage lists the quota usage in this data centre that others may not know yet.
func (x *Exchange) dataCentreUsage() ([]*toucanhingev1.TeamUse, uint32) {
	return x.config.Quota.Publish(true), x.countingMs()
}

// apply applies a received digest and lists the peers to forward the datagram to unchanged.
func (x *Exchange) apply(from string, d *toucanhingev1.LoadDigest) (forwardTo []netip.AddrPort) {
	now, boot := x.config.Clock.Now(), x.bootNow()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.isolation.digestAt = boot
	switch {
	case d.GetAsks():
		x.relay.hubs.recordQuery(now, from)
		return nil
	case !d.GetRelays():
		if x.relay.acceptsDigest(from, d.GetSource()) {
			x.table.ApplyDigest(now, d)
			x.config.Quota.Receive(boot, d, false)
			x.applyContention(now, d)
		}
		return nil
	}
	summaries, to := x.relay.receive(now, from, d)
	for _, address := range to {
		if peer, known := x.all[address]; known {
			forwardTo = append(forwardTo, peer)
		}
	}
	for _, summary := range summaries {
		if summary.GetDataCentre() != x.config.DataCentre {
			// Only summaries of other data centres prove that this data centre isn't partitioned.
			x.isolation.recordSummary(boot, summary.GetDataCentre())
			x.table.ApplySummary(now, summary)
			x.config.Quota.Receive(boot, summary, true)
			x.applyContention(now, summary)
		}
	}
	return forwardTo
}
