// Package callproxy makes calls to runners through gateways. A gateway ends the calls that it proxies if this VM
// fails, whereas the runner of a direct call would continue for seconds.
package callproxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/runner"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// acceptTimeout is how long a gateway may take to accept a call. It usually takes a millisecond, or 50 on
	// a slow VM; a gateway that takes longer has lost power or is frozen. The timeout also runs while
	// this process waits for a CPU: with 150 ms, an overloaded leader blocked dozens of healthy gateways and
	// called runners directly, which added to its load.
	acceptTimeout = 500 * time.Millisecond
	// maxGatewayAttempts limits the gateways that are tried for one call.
	maxGatewayAttempts = 2
	// cleanupInterval is the time between two cleanups, which close the sessions with removed gateways.
	cleanupInterval clock.Millis = 1_000
	// callNumberBits is the number of low bits of a call number. They allow a million calls per millisecond since
	// the start of the process before the numbers of two starts could overlap.
	callNumberBits = 20
)

// directCallCutoff is the number of gateways at or above which this VM makes no direct calls.
const directCallCutoff = 4

// directCallDelay is how long there must be no gateway before this VM calls runners directly. Without the delay,
// a new leader started hundreds of items over as many new connections, most of which timed out.
const directCallDelay clock.Millis = 3_000

// ErrNoGateway is returned if no gateway accepted a call. Nothing of the call was sent to a runner.
var ErrNoGateway = errors.New("no gateway accepted the call")

var errGatewayGone = errors.New("the gateway is gone")

var errNotAccepted = errors.New("the gateway didn't accept the call")

// Config holds the dependencies and settings of a Client.
type Config struct {
	// Source is the name of this daemon in its load digests.
	Source string
	// Gateways returns the available gateways.
	Gateways func() []Gateway
	// Direct calls runners from this VM if no gateway accepts a call.
	Direct runner.Client
	// HTTP returns a new client for one gateway.
	HTTP   func() *http.Client
	Clock  clock.Clock
	Logger log.Logger
	// Registerer registers the counters.
	Registerer prometheus.Registerer
}

// Client makes calls to runners through gateways.
type Client struct {
	config Config
	// calls counts calls by the process that made them.
	calls *prometheus.CounterVec

	mu         sync.Mutex
	flushTuner flushTuner
	// flushInterval is the interval that sessions send to gateways, in milliseconds.
	flushInterval atomic.Int64
	selector      *gatewaySelector
	sessions      map[string]*session
	// lastCallNumber is the number of the last call.
	lastCallNumber uint64
	// cleanedFor is the list of gateways for which sessions were last cleaned up, at cleanedAt.
	cleanedFor []Gateway
	cleanedAt  clock.Millis
	// noGatewaySince is the time since which there is no gateway, or 0 if there is one. It was last checked
	// at checkedAt.
	noGatewaySince, checkedAt clock.Millis
}

// New returns a client without sessions.
func New(config Config) *Client {
	c := &Client{
		// Numbers from an earlier start of this daemon are smaller.
		lastCallNumber: uint64(config.Clock.Now()) << callNumberBits,
		config:         config, selector: newGatewaySelector(), sessions: map[string]*session{},
		calls: promauto.With(config.Registerer).NewCounterVec(prometheus.CounterOpts{
			Name: "toucanhinge_items_carried_total", Help: "Item calls by the process that made them, and calls that a gateway didn't accept.",
		}, []string{"by"}),
	}
	return c
}

// ReportLag adjusts the flush interval to the lag of this process. With more lag, gateways buffer events for longer.
func (c *Client) ReportLag(lag clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flushTuner.recordLag(lag)
	c.updateFlushInterval()
}

// updateFlushInterval recomputes the flush interval and sends it to the gateways if it has changed enough. The
// caller holds the lock.
func (c *Client) updateFlushInterval() {
	before, after := float64(c.flushInterval.Load()), float64(c.flushTuner.interval(len(c.sessions)))
	if before > 0 && after < before*minFlushChange && after*minFlushChange > before {
		return
	}
	c.flushInterval.Store(int64(after))
	for _, s := range c.sessions {
		s.notifySender()
	}
}

// RunnerClient returns a runner client that makes its calls through c.
func (c *Client) RunnerClient() runner.Client {
	return runner.Client{Open: c.open, Probe: c.config.Direct.Probe, Parts: c.config.Direct.Parts}
}

func (c *Client) open(ctx context.Context, call runner.Call) (*runner.Answer, error) {
	var last error
	for range maxGatewayAttempts {
		address, found := c.acquireGateway(call.Runner.GetDataCentre())
		if !found {
			break
		}
		answer, err := c.proxy(ctx, address, call)
		if !errors.Is(err, errNotAccepted) || ctx.Err() != nil {
			c.calls.WithLabelValues("gateway").Inc()
			return answer, err
		}
		last = err
		c.calls.WithLabelValues("not-taken").Inc()
		level.Info(c.config.Logger).Log(logs.KeyEvent, "call-not-taken", "gateway", address, logs.KeyRequest, call.Request, logs.KeyError, err)
	}
	if gateways := len(c.config.Gateways()); gateways >= directCallCutoff || !c.mayCallDirectly(gateways) {
		// If none of that many gateways accepts a call, this VM is probably overloaded, and direct calls would
		// add to its load. The item waits.
		c.calls.WithLabelValues("nobody").Inc()
		return nil, errors.WithMessagef(ErrNoGateway, "%d gateways, last error: %s", gateways, errorText(last))
	}
	c.calls.WithLabelValues("self").Inc()
	return c.config.Direct.Open(ctx, call)
}

// mayCallDirectly reports whether direct calls are allowed: there are gateways, but too few of them, or there
// has been no gateway for directCallDelay. A new leader discovers the gateways within a second.
func (c *Client) mayCallDirectly(gateways int) bool {
	now := c.config.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case gateways > 0:
		c.noGatewaySince = 0
		return true
	case c.noGatewaySince == 0 || now-c.checkedAt > directCallDelay:
		c.noGatewaySince = now
	}
	c.checkedAt = now
	return now-c.noGatewaySince >= directCallDelay
}

// acquireGateway selects a gateway for a call and counts the call, until releaseGateway is called.
func (c *Client) acquireGateway(dataCentre string) (address string, found bool) {
	gateways := c.config.Gateways()
	now := c.config.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now-c.cleanedAt >= cleanupInterval || !sameSlice(gateways, c.cleanedFor) {
		c.cleanedAt, c.cleanedFor = now, gateways
		c.closeStaleSessions(gateways)
	}
	return c.selector.acquire(now, gateways, dataCentre, rand.IntN(max(len(gateways), 1)))
}

// sameSlice reports whether two lists share their memory. The list is reallocated whenever it changes.
func sameSlice(a, b []Gateway) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// closeStaleSessions closes idle sessions with removed gateways, since each replaced VM has a new address.
// The caller holds the lock.
func (c *Client) closeStaleSessions(present []Gateway) {
	isPresent := make(map[string]bool, len(present))
	for _, g := range present {
		isPresent[g.Address] = true
	}
	for address, s := range c.sessions {
		if !isPresent[address] && !s.hasCalls() {
			delete(c.sessions, address)
			go s.fail(errGatewayGone)
		}
	}
}

func (c *Client) releaseGateway(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.selector.release(address)
}

// blockGateway excludes a gateway for blockDuration.
func (c *Client) blockGateway(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.selector.block(c.config.Clock.Now(), address)
}

// session returns the session with a gateway. It opens one if there is none.
func (c *Client) session(address string) *session {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, found := c.sessions[address]
	if !found {
		s = newSession(c.config.Source, address, c.config.HTTP(), &c.flushInterval, func(s *session) { c.removeSession(address, s) })
		c.sessions[address] = s
		c.updateFlushInterval()
	}
	return s
}

// removeSession removes a broken session.
func (c *Client) removeSession(address string, s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions[address] == s {
		delete(c.sessions, address)
	}
}

// proxy makes a call through one gateway.
func (c *Client) proxy(ctx context.Context, address string, call runner.Call) (*runner.Answer, error) {
	request := c.request(call)
	s := c.session(address)
	p := &proxiedCall{
		session: s, number: request.GetCall(), runner: call.Runner.GetId(), ctx: ctx, releaseGateway: func() { c.releaseGateway(address) },
		updated: make(chan struct{}, 1),
	}
	s.startCall(p, request)
	if err := p.awaitAccepted(); err != nil {
		_ = p.Close()
		if ctx.Err() == nil {
			c.blockGateway(address)
		}
		return nil, err
	}
	head, err := p.awaitHead()
	if err != nil {
		_ = p.Close()
		return nil, err
	}
	answer := &runner.Answer{
		Status: int(head.GetStatus()), Header: http.Header{}, Length: -1, NotRun: head.GetNotRun(), OtherInstance: head.GetOther(), Body: p,
		Release: p.release,
	}
	if head.Running != nil {
		answer.Load = &runner.Load{Running: int(head.GetRunning()), Waiting: int(head.GetWaiting())}
	}
	return answer, nil
}

func (c *Client) request(call runner.Call) *toucanhingev1.CarryRequest {
	c.mu.Lock()
	c.lastCallNumber++
	number := c.lastCallNumber
	c.mu.Unlock()
	m := &toucanhingev1.CarryRequest{
		Call:   number,
		Runner: call.Runner, Request: call.Request, Method: call.Method, Target: call.Target,
		Host: call.Host, Body: call.Body, Team: call.Team,
	}
	for name, values := range call.Header {
		for _, value := range values {
			m.Headers = append(m.Headers, &toucanhingev1.HeaderField{Name: name, Value: value})
		}
	}
	if call.Resume {
		m.After = &call.After
	}
	return m
}

func errorText(err error) string {
	if err == nil {
		return "none"
	}
	return err.Error()
}
