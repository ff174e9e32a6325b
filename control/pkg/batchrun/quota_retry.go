package batchrun

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/control/pkg/systemstate"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// QuotaRetry returns the time after which a job that exceeds its token quota may fit: the time in
// which as many tokens as are missing are processed at the present rate. It is 0 if that is unknown.
func (d *Driver) QuotaRetry(now clock.Millis, job *toucanhingev1.SubmitJobRequest) clock.Millis {
	var missing int64
	var scope quotaScope
	d.config.Machine.View(func(s *systemstate.State) {
		quota, found := s.QuotaOf(job)
		missing = quota.Missing
		if found {
			scope = quotaScope{team: quota.Team, host: quota.Route.GetHost(), prefix: quota.Route.GetPrefix()}
		}
	})
	return d.tokens.retryAfter(now, scope, missing)
}

// recordTokens counts the tokens of an item that was listed.
func (d *Driver) recordTokens(now clock.Millis, change systemstate.Change) {
	d.config.Machine.View(func(s *systemstate.State) {
		j := s.Job(change.Job)
		if j == nil || int(change.Item) >= len(j.Items) {
			return
		}
		if route, found := s.Route(j); found {
			d.tokens.record(now, quotaScope{team: j.Team, host: route.GetHost(), prefix: route.GetPrefix()}, j.Items[change.Item].Tokens)
		}
	})
}
