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
	c.Require(s.DecisionLogSize > 0, "records", "must be above 0, got %d", s.DecisionLogSize)
	validateLimits(c, s.Limits)
	validateRetry(c, s.Retry)
	validateRoute(c, s.Route)
	c.Require(s.Drain.BalancerWait >= 0, "drain.balancer_ms", "must not be negative, got %d", s.Drain.BalancerWait)
	c.Require(s.Drain.FinishTimeout > 0, "drain.finish_ms", "must be above 0, got %d", s.Drain.FinishTimeout)
}

func positive[T int | int64](c *settings.Check, key string, value T) {
	c.Require(value > 0, key, "must be above 0, got %d", value)
}

func validateLimits(c *settings.Check, l Limits) {
	positive(c, "limits.body_bytes", l.MaxBodyBytes)
	positive(c, "limits.memory_bytes", l.MemoryBytes)
	positive(c, "limits.batch_line_bytes", l.MaxBatchLineBytes)
	positive(c, "limits.batch_items", l.MaxBatchItems)
	positive(c, "limits.answer_bytes", l.ResponseBufferBytes)
	c.Require(l.ResumeTextBytes >= 0, "limits.text_bytes", "must not be negative, got %d", l.ResumeTextBytes)
	positive(c, "limits.sender_ms", l.SenderTimeout)
	positive(c, "limits.reader_ms", l.ReaderTimeout)
	positive(c, "limits.deadline_ms", l.DefaultDeadline)
	c.Require(l.MaxDeadline >= l.DefaultDeadline, "limits.deadline_most_ms",
		"must be at least limits.deadline_ms, got %d", l.MaxDeadline)
	positive(c, "limits.in_flight", l.MaxInFlight)
	positive(c, "limits.uploads", l.MaxTransfers)
}

func validateRetry(c *settings.Check, r Retry) {
	positive(c, "retry.attempts", r.MaxAttempts)
	c.Require(r.Ratio >= 0 && r.Ratio <= 1, "retry.ratio", "must be from 0 to 1, got %v", r.Ratio)
	c.Require(r.Burst >= 0, "retry.burst", "must not be negative, got %d", r.Burst)
	c.Require(r.RefusedBurst >= 0 && r.RefusedBurst <= r.Burst, "retry.refused_burst",
		"must be from 0 to retry.burst, got %d", r.RefusedBurst)
	positive(c, "retry.stall_ms", r.StallTimeout)
	positive(c, "retry.claim_ms", r.ClaimTimeout)
}

func validateRoute(c *settings.Check, r Route) {
	policies := []string{PolicyDefault, PolicyRandom, PolicyLeastLoaded, PolicyTwoChoices, PolicyAffinity}
	c.Require(slices.Contains(policies, r.Policy), "route.policy", "must be one of %v, got %q", policies, r.Policy)
	positive(c, "route.subset", r.SubsetSize)
	positive(c, "route.reports", r.MaxReportsPerSecond)
	positive(c, "route.report_ms", r.ReportInterval)
	c.Require(r.PrefixBytes >= 0, "route.prefix_bytes", "must not be negative, got %d", r.PrefixBytes)
	c.Require(r.LoadBound >= 1, "route.bound", "must be at least 1, got %v", r.LoadBound)
	positive(c, "route.failures", r.ConsecutiveFailures)
	positive(c, "route.eject_ms", r.BaseEjectionTime)
	c.Require(r.MaxEjectionTime >= r.BaseEjectionTime, "route.eject_most_ms",
		"must be at least route.eject_ms, got %d", r.MaxEjectionTime)
	c.Require(r.OutlierFactor == 0 || r.OutlierFactor > 1, "route.outlier", "must be 0 or above 1, got %v", r.OutlierFactor)
	c.Require(r.SlowStartWindow >= 0, "route.slow_start_ms", "must not be negative, got %d", r.SlowStartWindow)
	positive(c, "route.poll_timeout_ms", r.PollTimeout)
}
