package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/quota"
)

// mostQuotaWait bounds the wait until other gateways know of the team's requests here. It takes
// some 20 ms, 60 where data centres tell one another sums.
const mostQuotaWait clock.Millis = 100

// AcquireQuota counts a request for its team's quota, or refuses it. One that isn't served afterwards
// must be given back.
func (s *Server) AcquireQuota(ctx context.Context, id string, entry *Authorization) *Refusal {
	if !entry.Keyed || entry.Route.GetOpen() || entry.Route.Batch() || !entry.Team.Limited() || !s.config.Exchange.HasQuota() {
		return nil
	}
	limit := quota.Limit{Team: entry.Team.GetName(), Rate: entry.Team.GetRate(), Burst: entry.Team.GetBurst()}
	began := s.config.Boot.Now()
	for {
		verdict := s.config.Exchange.AcquireQuota(limit)
		now := s.config.Boot.Now()
		if verdict.Admitted {
			entry.counted = now
			return nil
		}
		if verdict.Wait == 0 || now+verdict.Wait-began > mostQuotaWait || !pause(ctx, verdict.Wait) {
			return s.overQuota(id, limit, verdict)
		}
	}
}

// ReleaseQuota takes a request back that was counted for its team's quota and never ran.
func (s *Server) ReleaseQuota(entry Authorization) {
	if entry.counted > 0 {
		s.config.Exchange.ReleaseQuota(entry.counted, entry.Team.GetName())
	}
}

func (s *Server) overQuota(id string, limit quota.Limit, verdict quota.Verdict) *Refusal {
	level.Info(s.config.Logger).Log(logs.KeyEvent, "quota-used-up", logs.KeyRequest, id, "team", limit.Team, "used", verdict.Used,
		"limit", verdict.Limit, "rate", limit.Rate, "burst", limit.Burst, "age-ms", s.config.Exchange.Age(), "retry-after-ms", verdict.RetryAfter)
	return &Refusal{
		Status: http.StatusTooManyRequests, Reason: ReasonTeamQuota, RetryAfter: max(verdict.RetryAfter, verdict.Wait, 1).Duration(),
	}
}

// pause waits, and says whether the caller is still there.
func pause(ctx context.Context, span clock.Millis) bool {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
