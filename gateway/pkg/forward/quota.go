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

// maxQuotaWait limits the wait until other gateways know of the requests that this gateway counted for the
// team. The exchange takes about 20 ms, or 60 ms if data centres exchange summed digests.
const maxQuotaWait clock.Millis = 100

// AcquireQuota counts a request for its team's quota, or refuses it. A request that isn't run
// afterwards must be released with ReleaseQuota.
func (s *Server) AcquireQuota(ctx context.Context, id string, entry *Authorization) *Refusal {
	if !entry.Keyed || entry.Route.GetOpen() || entry.Route.Batch() || !entry.Team.Limited() || !s.config.Exchange.HasQuota() {
		return nil
	}
	limit := quota.Limit{Team: entry.Team.GetName(), Rate: entry.Team.GetRate(), Burst: entry.Team.GetBurst()}
	startedAt := s.config.Boot.Now()
	for {
		verdict := s.config.Exchange.AcquireQuota(limit)
		now := s.config.Boot.Now()
		if verdict.Admitted {
			entry.countedAt = now
			return nil
		}
		if verdict.Wait == 0 || now+verdict.Wait-startedAt > maxQuotaWait || !sleep(ctx, verdict.Wait) {
			return s.overQuotaRefusal(id, limit, verdict)
		}
	}
}

// ReleaseQuota releases the quota of a request that was counted and never ran.
func (s *Server) ReleaseQuota(entry Authorization) {
	if entry.countedAt > 0 {
		s.config.Exchange.ReleaseQuota(entry.countedAt, entry.Team.GetName())
	}
}

func (s *Server) overQuotaRefusal(id string, limit quota.Limit, verdict quota.Verdict) *Refusal {
	level.Info(s.config.Logger).Log(logs.KeyEvent, "quota-used-up", logs.KeyRequest, id, "team", limit.Team, "used", verdict.Used,
		"limit", verdict.Limit, "rate", limit.Rate, "burst", limit.Burst, "age-ms", s.config.Exchange.Age(),
		"retry-after-ms", verdict.RetryAfter)
	return &Refusal{
		Status: http.StatusTooManyRequests, Reason: ReasonTeamQuota, RetryAfter: max(verdict.RetryAfter, verdict.Wait, 1).Duration(),
	}
}

// sleep waits for a duration, and reports whether the context hasn't ended meanwhile.
func sleep(ctx context.Context, duration clock.Millis) bool {
	timer := time.NewTimer(duration.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
