package config

import (
	"net/url"

	"toucanhinge.example/common/pkg/settings"
)

func validate(c *settings.Check, s *Settings) {
	for _, text := range []struct{ key, value string }{
		{"name", s.Name},
		{"vm", s.VM},
		{"data_centre", s.DataCentre},
		{"service", s.Service},
	} {
		c.Require(text.value != "", text.key, "must be set")
	}
	c.Address("listen", s.Listen)
	c.Address("admin_listen", s.AdminListen)
	c.Require(s.Kind == KindModel || s.Kind == KindPlain, "kind", "want model or plain, got %q", s.Kind)
	c.Require(len(s.Control) > 0, "control", "must list at least one control VM")
	for _, address := range s.Control {
		c.Address("control", address)
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		c.Fail("log_level", "want debug, info, warn or error, got %q", s.LogLevel)
	}
	validateEngine(c, s.Engine)
	validateMinimums(c, s)
	switch s.Batch.Policy {
	case "yield", "naive", "fixed":
	default:
		c.Fail("batch.policy", "want yield, naive or fixed, got %q", s.Batch.Policy)
	}
	c.Require(s.Batch.Policy != "fixed" || s.Batch.Slots < s.Engine.Slots, "batch.slots",
		"must be below engine.slots under the fixed policy, got %d", s.Batch.Slots)
	c.Require(s.Batch.Weight >= 0 && s.Batch.Weight <= 100, "batch.weight", "must be 0 to 100, got %d", s.Batch.Weight)
}

func validateEngine(c *settings.Check, e Engine) {
	u, err := url.Parse(e.URL)
	if err != nil || u.Scheme != "http" || u.Host == "" || u.Path != "" && u.Path != "/" {
		c.Fail("engine.url", "want http://IP:port, got %q", e.URL)
		return
	}
	c.Address("engine.url", u.Host)
	c.Require(e.MinSlots >= 0 && e.MinSlots <= e.Slots, "engine.floor", "must be 0 to engine.slots, got %d", e.MinSlots)
}

type minimum struct {
	key      string
	value    int64
	minValue int64
}

func validateMinimums(c *settings.Check, s *Settings) {
	for _, n := range []minimum{
		{"records", int64(s.Records), 1},
		{"engine.slots", int64(s.Engine.Slots), 1},
		{"engine.poll_ms", s.Engine.PollMS, 5},
		{"engine.failed_polls", int64(s.Engine.FailedPolls), 1},
		{"engine.recheck_ms", s.Engine.RecheckMS, 100},
		{"online.queue", int64(s.Online.QueueLimit), 1},
		{"online.ring", int64(s.Online.RingSize), 16},
		{"online.keep_ms", s.Online.RetentionMS, 0},
		{"online.keep_bytes", int64(s.Online.MaxAnswerBytes), 64 << 10},
		{"online.keep_total_bytes", int64(s.Online.MaxRetainedBytes), 0},
		{"online.once_requests", int64(s.Online.MaxDedupRequests), 1},
		{"online.once_keep_ms", s.Online.DedupRetentionMS, 1_000},
		{"batch.slots", int64(s.Batch.Slots), 0},
		{"batch.local", int64(s.Batch.LocalItems), 0},
		{"batch.ask", int64(s.Batch.MaxPerLease), 1},
		{"batch.prefill_tokens", int64(s.Batch.PrefillTokens), 1},
		{"batch.burst_window_ms", s.Batch.BurstWindowMS, 1},
		{"batch.burst_half_life_ms", s.Batch.BurstHalfLifeMS, 1},
		{"batch.flush_ms", s.Batch.FlushMS, 0},
		{"batch.flush_items", int64(s.Batch.FlushItems), 1},
		{"batch.result_bytes", int64(s.Batch.ResultBytes), 1 << 10},
		{"drain.linger_ms", s.Drain.LingerMS, 0},
		{"drain.finish_ms", s.Drain.FinishMS, 1},
	} {
		c.Require(n.value >= n.minValue, n.key, "must be at least %d, got %d", n.minValue, n.value)
	}
}
