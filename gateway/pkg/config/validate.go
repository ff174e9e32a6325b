package config

import (
	"slices"

	"toucanhinge.example/common/pkg/settings"
)

func validate(c *settings.Check, s *Settings) {
	c.Require(s.Name != "", "name", "must be given")
	c.Require(s.VM != "", "vm", "must be given")
	c.Require(s.DataCentre != "", "data_centre", "must be given")
	c.Address("listen", s.Listen)
	c.Address("admin_listen", s.AdminListen)
	c.Require(len(s.Control) > 0, "control", "needs at least one address")
	for _, address := range s.Control {
		c.Address("control", address)
	}
	levels := []string{"debug", "info", "warn", "error"}
	c.Require(slices.Contains(levels, s.LogLevel), "log_level", "must be one of %v, got %q", levels, s.LogLevel)
	c.Require(s.Records > 0, "records", "must be above 0, got %d", s.Records)
	validateLimits(c, s.Limits)
	validateRetry(c, s.Retry)
	validateRoute(c, s.Route)
	c.Require(s.Drain.Balancer >= 0, "drain.balancer_ms", "must not be negative, got %d", s.Drain.Balancer)
	c.Require(s.Drain.Finish > 0, "drain.finish_ms", "must be above 0, got %d", s.Drain.Finish)
}

func positive[T int | int64](c *settings.Check, key string, value T) {
	c.Require(value > 0, key, "must be above 0, got %d", value)
}

func validateLimits(c *settings.Check, l Limits) {
	positive(c, "limits.body_bytes", l.Body)
	positive(c, "limits.batch_line_bytes", l.BatchLine)
	positive(c, "limits.batch_items", l.BatchItems)
	positive(c, "limits.answer_bytes", l.Answer)
	c.Require(l.Text >= 0, "limits.text_bytes", "must not be negative, got %d", l.Text)
	positive(c, "limits.sender_ms", l.Sender)
	positive(c, "limits.reader_ms", l.Reader)
	positive(c, "limits.deadline_ms", l.Deadline)
	c.Require(l.LongDeadline >= l.Deadline, "limits.deadline_most_ms", "must be at least limits.deadline_ms, got %d", l.LongDeadline)
	positive(c, "limits.in_flight", l.InFlight)
	positive(c, "limits.uploads", l.Uploads)
}

func validateRetry(c *settings.Check, r Retry) {
	positive(c, "retry.attempts", r.Attempts)
	c.Require(r.Ratio >= 0 && r.Ratio <= 1, "retry.ratio", "must be from 0 to 1, got %v", r.Ratio)
	c.Require(r.Burst >= 0, "retry.burst", "must not be negative, got %d", r.Burst)
	c.Require(r.Refused >= 0 && r.Refused <= r.Burst, "retry.refused_burst", "must be from 0 to retry.burst, got %d", r.Refused)
	positive(c, "retry.stall_ms", r.Stall)
	positive(c, "retry.claim_ms", r.Claim)
}

func validateRoute(c *settings.Check, r Route) {
	policies := []string{PolicyOurs, PolicyRandom, PolicyLeast, PolicyTwo, PolicyAffinity}
	c.Require(slices.Contains(policies, r.Policy), "route.policy", "must be one of %v, got %q", policies, r.Policy)
	positive(c, "route.subset", r.Subset)
	positive(c, "route.reports", r.Reports)
	positive(c, "route.report_ms", r.Report)
	c.Require(r.Prefix >= 0, "route.prefix_bytes", "must not be negative, got %d", r.Prefix)
	c.Require(r.Bound >= 1, "route.bound", "must be at least 1, got %v", r.Bound)
	positive(c, "route.failures", r.Failures)
	positive(c, "route.eject_ms", r.Eject)
	c.Require(r.EjectMost >= r.Eject, "route.eject_most_ms", "must be at least route.eject_ms, got %d", r.EjectMost)
	c.Require(r.Outlier == 0 || r.Outlier > 1, "route.outlier", "must be 0 or above 1, got %v", r.Outlier)
	c.Require(r.SlowStart >= 0, "route.slow_start_ms", "must not be negative, got %d", r.SlowStart)
	positive(c, "route.poll_timeout_ms", r.PollTimeout)
}
