package engine

import "time"

// Load is the load reported by the engine. It lags behind the actual load.
type Load struct {
	Running       int   `json:"running"`
	Waiting       int   `json:"waiting"`
	Slots         int   `json:"slots"`
	PrefillTokens int   `json:"prefill_tokens"`
	AsOfMs        int64 `json:"as_of_ms"`
	recordedAt    time.Time
}

// maxLoadHistory limits the number of retained reports. One report is recorded per
// step, so the history covers several seconds.
const maxLoadHistory = 4096

type loadHistory struct {
	lag     time.Duration
	reports []Load
}

func (h *loadHistory) record(l Load, now time.Time) {
	l.recordedAt = now
	h.reports = append(h.reports, l)
	if len(h.reports) > maxLoadHistory {
		h.reports = append([]Load(nil), h.reports[len(h.reports)/2:]...)
	}
}

// lagged returns the newest report that is at least lag old, or else the oldest report.
func (h *loadHistory) lagged(now time.Time) Load {
	for i := len(h.reports) - 1; i >= 0; i-- {
		if now.Sub(h.reports[i].recordedAt) >= h.lag {
			return h.reports[i]
		}
	}
	if len(h.reports) > 0 {
		return h.reports[0]
	}
	return Load{AsOfMs: now.UnixMilli()}
}

func (e *Engine) currentLoad(now time.Time) Load {
	l := Load{Running: len(e.running), Waiting: len(e.waiting), Slots: e.config.Slots, AsOfMs: now.UnixMilli()}
	for _, s := range e.running {
		l.PrefillTokens += max(0, s.prefill)
	}
	for _, s := range e.waiting {
		l.PrefillTokens += max(0, s.prefill)
	}
	return l
}

func (e *Engine) reportedLoad() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	l := e.loads.lagged(now)
	l.Slots = e.config.Slots
	if e.faults.LieLoad {
		l.Running, l.Waiting, l.PrefillTokens = 0, 0, 0
	}
	return l
}
