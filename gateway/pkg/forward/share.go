package forward

import (
	"math"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/gateway/pkg/admission"
	"toucanhinge.example/gateway/pkg/fairshare"
	"toucanhinge.example/gateway/pkg/placement"
)

// checkShare determines whether the request belongs to a team over its share while slots are short. For such a request,
// the reserved free slots count as taken.
func (e *exchange) checkShare(choice *placement.Choice) {
	s, now := e.server, e.now()
	free := choice.QueuePosition == 0
	if !free {
		s.recordNoSlot(now, e.service)
		e.share = fairshare.Status{}
	}
	e.overShare, e.noQueue = false, false
	table := s.table.Load()
	if table == nil || len(table.Teams()) == 0 || free && !s.isContended(now, e.service) {
		return
	}
	share := s.shareStatus(now, e.service, e.team, table)
	e.overShare, e.noQueue = share.Over, share.NoQueue
	if free && share.Over && choice.Free <= share.Reserved {
		choice.QueuePosition, free, e.noQueue = 1, false, true
	}
	if !free {
		e.share = share
	}
}

// slotsScarce reports whether a free slot that the waiting request was given is probably taken by now.
func (e *exchange) slotsScarce() bool {
	for range admission.ConfirmingDraws {
		if choice, found := e.server.selectRunner(e.placementRequest()); !found || choice.QueuePosition > 0 {
			return true
		}
	}
	return false
}

// logOverShare logs that the request is refused because its team uses more than its share.
func (e *exchange) logOverShare() {
	c := &e.server.contention
	c.mu.Lock()
	allowed := c.limit.allow(e.now())
	c.mu.Unlock()
	if !allowed {
		return
	}
	level.Info(e.server.config.Logger).Log(logs.KeyEvent, ReasonOverShare, logs.KeyRequest, e.request.ID, "service", e.service,
		"team", e.auth.Team.GetName(), "running", e.share.Running, "share", roundShare(e.share.Share), "demand", e.share.Demand,
		"capacity", e.share.Capacity, "basis", e.share.Basis.String(), "age-ms", e.share.Age, "gateways", e.share.Gateways, "returned", e.retry,
		"reserved", e.share.Reserved)
}

// withShare adds the team's share to a logger if one was in force for the request.
func withShare(logger log.Logger, share fairshare.Status) log.Logger {
	if !share.InForce {
		return logger
	}
	return log.With(logger, "team-running", share.Running, "team-share", roundShare(share.Share))
}

func roundShare(share float64) float64 { return math.Round(share*100) / 100 }
