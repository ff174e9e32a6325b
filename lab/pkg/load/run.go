package load

import (
	"context"
	"sync"
	"time"
)

// Config is one run of load.
type Config struct {
	// Target is asked for each request, so that a run can spread over gateways.
	Target   func(n int) Target
	Schedule []time.Duration
	Make     func(n int) Request
	// Deadline is when the whole answer is wanted, from the scheduled time. The
	// gateway is told of it; the caller itself waits a little longer, so that it
	// sees what the system makes of it. 0 means none.
	Deadline time.Duration
	// Resends is how often a caller sends again after a refusal, waiting as
	// Retry-After says; 0 means that it gives up.
	Resends int
	// OnOutcome, when set, sees every outcome; it is called from many goroutines.
	OnOutcome func(n int, o Outcome)
}

// Run makes all calls of the schedule and waits for the last.
func Run(ctx context.Context, config Config) *Report {
	report := newReport(config.Deadline)
	var calls sync.WaitGroup
	start := time.Now()
	for n, at := range config.Schedule {
		scheduled := start.Add(at)
		if !sleepUntil(ctx, scheduled) {
			break
		}
		calls.Go(func() {
			outcome := config.one(ctx, n, scheduled)
			report.add(outcome)
			if config.OnOutcome != nil {
				config.OnOutcome(n, outcome)
			}
		})
	}
	calls.Wait()
	report.Duration = time.Since(start)
	return report
}

// grace is how much longer than its deadline a caller waits.
const grace = 2 * time.Second

func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// one makes one call, with the caller's own resends.
func (c Config) one(ctx context.Context, n int, scheduled time.Time) Outcome {
	if c.Deadline > 0 {
		bounded, stop := context.WithDeadline(ctx, scheduled.Add(c.Deadline+grace))
		defer stop()
		ctx = bounded
	}
	request, target := c.Make(n), c.Target(n)
	request.DeadlineMs = c.Deadline.Milliseconds()
	outcome := target.Call(ctx, request, scheduled)
	for sends := 2; sends <= c.Resends+1 && outcome.Status >= 400; sends++ {
		if !sleepUntil(ctx, time.Now().Add(outcome.RetryAfter)) {
			break
		}
		outcome = target.Call(ctx, request, scheduled)
		outcome.Sends = sends
	}
	return outcome
}
