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

// Bounds of the histograms in microseconds: up to ten minutes, three digits.
const (
	lowest  = 1
	highest = 600_000_000
	digits  = 3
)

// Histogram counts durations.
type Histogram struct {
	inner *hdrhistogram.Histogram
}

// NewHistogram is an empty one.
func NewHistogram() *Histogram {
	return &Histogram{inner: hdrhistogram.New(lowest, highest, digits)}
}

// Record counts one duration.
func (h *Histogram) Record(d time.Duration) {
	_ = h.inner.RecordValue(min(max(d.Microseconds(), lowest), highest))
}

// Ms is a quantile (0 to 100) in milliseconds.
func (h *Histogram) Ms(quantile float64) float64 {
	return float64(h.inner.ValueAtQuantile(quantile)) / 1000
}

// Count is how many durations were counted.
func (h *Histogram) Count() int64 { return h.inner.TotalCount() }

// Merge adds what another histogram counted.
func (h *Histogram) Merge(other *Histogram) { h.inner.Merge(other.inner) }

// Report is what a run brought.
type Report struct {
	mu     sync.Mutex
	inTime time.Duration
	// FirstToken and Gaps are of whole answers; Refusals of refused calls.
	FirstToken    *Histogram
	TokenGaps     *Histogram
	Total    *Histogram
	Refusals *Histogram
	Calls    int
	Complete    int
	// InTime counts the whole answers that came before their deadline.
	InTime int
	Tokens int
	// InTimeTokens counts the tokens of these.
	InTimeTokens int
	Sends        int
	Reasons      map[string]int
	Errors       map[string]int
	Duration       time.Duration
}

func newReport(inTime time.Duration) *Report {
	return &Report{
		inTime: inTime, FirstToken: NewHistogram(), TokenGaps: NewHistogram(), Total: NewHistogram(), Refusals: NewHistogram(),
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
		r.addWhole(o)
	case o.Status >= 400:
		r.Reasons[o.Reason]++
		r.Refusals.Record(o.Total)
	default:
		r.Errors[o.failure()]++
	}
}

// failure names what went wrong, in few words, so that equal failures add up.
func (o Outcome) failure() string {
	switch {
	case errors.Is(o.Err, context.DeadlineExceeded):
		return "caller gave up"
	case errors.Is(o.Err, ErrInStream):
		return "broken off: " + o.Reason
	case errors.Is(o.Err, ErrTruncated):
		return "cut short"
	case o.Err == nil:
		return "ended without finish reason"
	default:
		return o.Err.Error()
	}
}

func (r *Report) addWhole(o Outcome) {
	r.Complete++
	r.Tokens += o.Tokens
	r.FirstToken.Record(o.FirstToken)
	r.Total.Record(o.Total)
	for _, g := range o.TokenGaps {
		r.TokenGaps.Record(g)
	}
	if r.inTime == 0 || o.Total <= r.inTime {
		r.InTime++
		r.InTimeTokens += o.Tokens
	}
}

// Failed counts calls that ended neither whole nor with a refusal.
func (r *Report) Failed() int {
	n := 0
	for _, count := range r.Errors {
		n += count
	}
	return n
}

// Merge adds another run of the same kind.
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
	text := fmt.Sprintf("%d calls, %d whole, first token p50 %.1f p99 %.1f ms, between tokens p95 %.1f ms, %d tokens",
		r.Calls, r.Complete, r.FirstToken.Ms(50), r.FirstToken.Ms(99), r.TokenGaps.Ms(95), r.Tokens)
	return text + listed("refused", r.Reasons) + listed("failed", r.Errors)
}

func listed(title string, counts map[string]int) string {
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
