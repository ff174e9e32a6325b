package forward

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// noticeLimit is the time after the fifth crash within which all gateways must know the part, and servedLimit the
	// time from which on other requests must be served as usual.
	noticeLimit = 3 * time.Second
	servedLimit = 2 * noticeLimit
	// maxLateRuns is the number of requests with the part that may reach runners after noticeLimit.
	maxLateRuns = 3
	// minServed is the least share of other requests that begin at the first attempt, relative to the usual share.
	minServed = 0.5
	// minCounted is the number of requests from which on a share says something.
	minCounted = 20
	// crashingInterval is the time between two requests with the part, and callerDelay the time after which a caller
	// retries a request that failed.
	crashingInterval = 125 * time.Millisecond
	callerDelay      = 70 * time.Millisecond
)

// attempt is the first attempt of a request that crashes no runner.
type attempt struct {
	sentAt time.Time
	began  bool
	body   string
}

// load sends requests that share the caller's part until it is stopped.
type load struct {
	fleet    *crashFleet
	stopped  chan struct{}
	callers  sync.WaitGroup
	mu       sync.Mutex
	attempts []attempt
}

func startLoad(f *crashFleet, callers int) *load {
	l := &load{fleet: f, stopped: make(chan struct{})}
	for caller := range callers {
		l.callers.Go(func() { l.run(caller) })
	}
	return l
}

func (l *load) run(caller int) {
	for n := 0; ; n++ {
		select {
		case <-l.stopped:
			return
		default:
		}
		sentAt := time.Now()
		got := l.fleet.send(caller+n, "/stream/sound", fmt.Sprintf("s%d-%d", caller, n), fmt.Sprintf("sound %d %d", caller, n),
			"caller", fmt.Sprintf("topic %d", n%40))
		began := got.status == http.StatusOK && strings.Contains(got.body, "data:")
		l.mu.Lock()
		l.attempts = append(l.attempts, attempt{sentAt, began, got.body})
		l.mu.Unlock()
		if !began {
			time.Sleep(callerDelay)
		}
	}
}

func (l *load) stop() {
	close(l.stopped)
	l.callers.Wait()
}

// refused counts the attempts that were refused for a reason.
func (l *load) refused(reason string) (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.attempts {
		if strings.Contains(a.body, reason) {
			count++
		}
	}
	return count
}

// served returns the share of the requests sent within a period that began at the first attempt, and their number.
func (l *load) served(from, to time.Time) (share float64, sent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	began := 0
	for _, a := range l.attempts {
		if a.sentAt.Before(from) || a.sentAt.After(to) {
			continue
		}
		sent++
		if a.began {
			began++
		}
	}
	return float64(began) / float64(max(sent, 1)), sent
}

// sendCrashing sends requests that crash their runners, no two alike, for some time. They share the part "bad", and the
// caller's part with all others. Each is retried once.
func (f *crashFleet) sendCrashing(span time.Duration) {
	var requests sync.WaitGroup
	for n := range int(span / crashingInterval) {
		requests.Go(func() {
			for retry := range 2 {
				got := f.send(n+retry, "/stream/crash", fmt.Sprintf("c%d-%d", n, retry), fmt.Sprintf("crash %d", n), "caller", "bad")
				if got.err == nil && got.status == http.StatusOK {
					return
				}
				time.Sleep(callerDelay)
			}
		})
		time.Sleep(crashingInterval)
	}
	requests.Wait()
}

// Guards against requests that crash runners one after the other because they are alike only in one part of their
// prompts, so that no request is suspected twice.
func TestPromptPartThatCrashesRunnersIsQuarantined(t *testing.T) {
	requirePartQuarantined(t, startCrashFleet(t, 3))
}

// Guards against a part that crashes runners after their answers have begun, at the same time or at another one each
// time, so that the answers speak for it.
func TestPromptPartIsQuarantinedWheneverItCrashesRunners(t *testing.T) {
	for _, c := range crashTimes {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := startCrashFleet(t, 3)
			f.delays = c.delays
			requirePartQuarantined(t, f)
		})
	}
}

// requirePartQuarantined sends requests with a part that crashes runners beside others. Few of them may reach runners once
// the part must be known, and the others must be served as usual.
func requirePartQuarantined(t *testing.T, f *crashFleet) {
	t.Helper()
	l := startLoad(f, 10)
	startedAt := time.Now()
	time.Sleep(2 * time.Second)
	crashingFrom := time.Now()
	f.sendCrashing(11 * time.Second)
	crashingUntil := time.Now()
	l.stop()

	require.NotEmpty(t, f.crashedAt)
	known := f.crashedAt[min(len(f.crashedAt), 5)-1]
	late := f.sentLaterThan(known.Add(noticeLimit))
	usual, before := l.served(startedAt, crashingFrom)
	share, during := l.served(known.Add(servedLimit), crashingUntil)
	t.Logf("%d crashes, %d calls with the part later than %v after the fifth; %.2f of %d other requests began before, %.2f of %d from %v on",
		len(f.crashedAt), late, noticeLimit, usual, before, share, during, servedLimit)
	require.LessOrEqual(t, late, maxLateRuns)
	require.GreaterOrEqual(t, before, minCounted)
	require.GreaterOrEqual(t, during, minCounted)
	require.GreaterOrEqual(t, share, minServed*usual)
}
