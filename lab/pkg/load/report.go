package load

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Range of the histograms in microseconds, up to ten minutes, with three significant digits.
const (
	minMicros         = 1
	maxMicros         = 600_000_000
	significantDigits = 3
)

// Histogram records durations.
type Histogram struct {
	inner *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{inner: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
}

// Record adds one duration.
func (h *Histogram) Record(d time.Duration) {
	_ = h.inner.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

// Ms returns a quantile (0 to 100) in milliseconds.
func (h *Histogram) Ms(quantile float64) float64 {
	return float64(h.inner.ValueAtQuantile(quantile)) / 1000
}

// Count returns the number of recorded durations.
func (h *Histogram) Count() int64 { return h.inner.TotalCount() }

// Merge adds the durations of another histogram.
func (h *Histogram) Merge(other *Histogram) { h.inner.Merge(other.inner) }

// Report aggregates the outcomes of a run.
type Report struct {
	mu       sync.Mutex
	deadline time.Duration
	// FirstToken, TokenGaps and Total cover complete responses. Refusals covers refused calls.
	FirstToken *Histogram
	TokenGaps  *Histogram
	Total      *Histogram
	Refusals   *Histogram
	Calls      int
	Complete   int
	// InTime counts the complete responses received before their deadline.
	InTime int
	Tokens int
	// InTimeTokens counts the tokens of the responses counted by InTime.
	InTimeTokens int
	Sends        int
	Reasons      map[string]int
	Errors       map[string]int
	Duration     time.Duration
}

func newReport(deadline time.Duration) *Report {
	return &Report{
		deadline: deadline, FirstToken: NewHistogram(), TokenGaps: NewHistogram(), Total: NewHistogram(), Refusals: NewHistogram(),
		Reasons: make(map[string]int), Errors: make(map[string]int),
	}
}

func (r *Report) add(o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Calls++
	r.Sends += o.Sends
	switch {
	case o.Complete:
		r.addComplete(o)
	case o.Status >= 400:
		r.Reasons[o.Reason]++
		r.Refusals.Record(o.Total)
	default:
		r.Errors[o.failure()]++
	}
}

// failure returns a short description of the failure, used to count equal failures.
func (o Outcome) failure() string {
	switch {
	case errors.Is(o.Err, context.DeadlineExceeded):
		return "caller timed out"
	case errors.Is(o.Err, ErrInStream):
		return "error in stream: " + o.Reason
	case errors.Is(o.Err, ErrTruncated):
		return "truncated"
	case o.Err == nil:
		return "ended without finish reason"
	default:
		return o.Err.Error()
	}
}

func (r *Report) addComplete(o Outcome) {
	r.Complete++
	r.Tokens += o.Tokens
	r.FirstToken.Record(o.FirstToken)
	r.Total.Record(o.Total)
	for _, g := range o.TokenGaps {
		r.TokenGaps.Record(g)
	}
	if r.deadline == 0 || o.Total <= r.deadline {
		r.InTime++
		r.InTimeTokens += o.Tokens
	}
}

// Failed returns the number of calls that neither completed nor were refused.
func (r *Report) Failed() int {
	n := 0
	for _, count := range r.Errors {
		n += count
	}
	return n
}

// Merge adds the report of another run of the same kind.
func (r *Report) Merge(o *Report) {
	r.FirstToken.Merge(o.FirstToken)
	r.TokenGaps.Merge(o.TokenGaps)
	r.Total.Merge(o.Total)
	r.Refusals.Merge(o.Refusals)
	r.Calls += o.Calls
	r.Complete += o.Complete
	r.InTime += o.InTime
	r.Tokens += o.Tokens
	r.InTimeTokens += o.InTimeTokens
	r.Sends += o.Sends
	r.Duration += o.Duration
	for k, n := range o.Reasons {
		r.Reasons[k] += n
	}
	for k, n := range o.Errors {
		r.Errors[k] += n
	}
}

func (r *Report) String() string {
	text := fmt.Sprintf("%d calls, %d complete, first token p50 %.1f p99 %.1f ms, between tokens p95 %.1f ms, %d tokens",
		r.Calls, r.Complete, r.FirstToken.Ms(50), r.FirstToken.Ms(99), r.TokenGaps.Ms(95), r.Tokens)
	return text + formatCounts("refused", r.Reasons) + formatCounts("failed", r.Errors)
}

func formatCounts(title string, counts map[string]int) string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	text := ""
	for _, name := range names {
		text += fmt.Sprintf("; %s %s: %d", title, name, counts[name])
	}
	return text
}
