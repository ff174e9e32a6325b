package load

import (
	"context"
	"sync"
	"time"
)

// Config configures a load run.
type Config struct {
	// Target returns the target of request n, so that a run can spread over gateways.
	Target   func(n int) Target
	Schedule []time.Duration
	Make     func(n int) Request
	// Deadline is the time limit for the complete response, from the scheduled time.
	// It is sent to the gateway. The caller waits callerGrace longer, so that it
	// observes how the system handles the deadline. 0 means no deadline.
	Deadline time.Duration
	// Resends is how often a caller resends a refused request. It waits for the
	// time given by Retry-After before each resend. 0 means no resends.
	Resends int
	// OnOutcome, if set, is called with every outcome, from many goroutines.
	OnOutcome func(n int, o Outcome)
}

// Run makes all scheduled calls and waits until they have ended.
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
			outcome := config.callWithResends(ctx, n, scheduled)
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

// callerGrace is how long a caller waits after the deadline.
const callerGrace = 2 * time.Second

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

// callWithResends makes one call and resends it after refusals.
func (c Config) callWithResends(ctx context.Context, n int, scheduled time.Time) Outcome {
	if c.Deadline > 0 {
		bounded, stop := context.WithDeadline(ctx, scheduled.Add(c.Deadline+callerGrace))
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
