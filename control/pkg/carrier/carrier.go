// Package carrier calls runners through gateways, which end the calls if this VM
// vanishes; by itself a runner would go on for seconds.
package carrier

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
	// takeTime is how long a gateway may need to take a call: a millisecond as a
	// rule, 50 on a slow VM. It has lost power, or is frozen, if it takes longer. The time
	// runs on while this process itself waits for the processor: with 150 ms, a busy leader
	// accused sound gateways by the dozen, called runners itself, and was busier still.
	takeTime = 500 * time.Millisecond
	// mostGateways bounds the gateways that are asked to take one call.
	mostGateways = 2
	// forgetEvery is how often connections to gateways that are gone are looked for.
	forgetEvery clock.Millis = 1_000
	// numberBits leaves room for a million calls in a millisecond between two starts.
	numberBits = 20
)

// mostSelf is the number of gateways from which on this VM makes no calls itself.
const mostSelf = 4

// desertedAfter is how long there must be no gateway before this VM calls runners itself. A
// new leader that did so at once began hundreds of items with as many connections of its
// own, of which most timed out.
const desertedAfter clock.Millis = 3_000

// ErrNoGateway tells that no gateway took a call; nothing of it was sent.
var ErrNoGateway = errors.New("no gateway takes calls")

var errGone = errors.New("the gateway is gone")

var errNotTaken = errors.New("the gateway didn't take the call")

// Config describes a carrier.
type Config struct {
	// Source names this daemon, as its load digests do.
	Source string
	// Gateways lists those that are there.
	Gateways func() []Gateway
	// Direct calls runners from here, if no gateway takes a call.
	Direct runner.Client
	// HTTP makes a client for one gateway.
	HTTP   func() *http.Client
	Clock  clock.Clock
	Logger log.Logger
	// Registerer takes the counters.
	Registerer prometheus.Registerer
}

// Client calls runners through gateways.
type Client struct {
	config Config
	// calls counts who made the calls.
	calls *prometheus.CounterVec

	mu        sync.Mutex
	gathering gathering
	// gather is the span that sessions tell gateways.
	gather   atomic.Int64
	chooser  *chooser
	sessions map[string]*session
	// number is that of the last call.
	number uint64
	// known is the list of gateways by which sessions were forgotten last, at forgotAt.
	known    []Gateway
	forgotAt clock.Millis
	// emptySince is since when there is no gateway, 0 if there is one; askedAt is when it was
	// asked last.
	emptySince, askedAt clock.Millis
}

// New makes a carrier.
func New(config Config) *Client {
	c := &Client{
		// The numbers of an earlier start of this daemon are smaller.
		number: uint64(config.Clock.Now()) << numberBits,
		config: config, chooser: newChooser(), sessions: map[string]*session{},
		calls: promauto.With(config.Registerer).NewCounterVec(prometheus.CounterOpts{
			Name: "toucanhinge_items_carried_total", Help: "Items' calls by who made them, and those that a gateway didn't take.",
		}, []string{"by"}),
	}
	return c
}

// ReportLag takes up how late this process was with its own work, a span: the later, the longer
// gateways hold events back.
func (c *Client) ReportLag(lag clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gathering.note(lag)
	c.adjust()
}

// adjust follows the number of gateways at work; the caller holds the lock.
func (c *Client) adjust() {
	before, now := float64(c.gather.Load()), float64(c.gathering.span(len(c.sessions)))
	if before > 0 && now < before*noticeable && now*noticeable > before {
		return
	}
	c.gather.Store(int64(now))
	for _, s := range c.sessions {
		s.stir()
	}
}

// RunnerClient is the carrier as a client of runners.
func (c *Client) RunnerClient() runner.Client {
	return runner.Client{Open: c.open, Refuses: c.config.Direct.Refuses}
}

func (c *Client) open(ctx context.Context, call runner.Call) (*runner.Answer, error) {
	var last error
	for range mostGateways {
		address, found := c.choose(call.Runner.GetDataCentre())
		if !found {
			break
		}
		answer, err := c.carry(ctx, address, call)
		if !errors.Is(err, errNotTaken) || ctx.Err() != nil {
			c.calls.WithLabelValues("gateway").Inc()
			return answer, err
		}
		last = err
		c.calls.WithLabelValues("not-taken").Inc()
		level.Info(c.config.Logger).Log(logs.KeyEvent, "call-not-taken", "gateway", address, logs.KeyRequest, call.Request, logs.KeyError, err)
	}
	if gateways := len(c.config.Gateways()); gateways >= mostSelf || !c.deserted(gateways) {
		// With so many there, calls that none takes are a sign of this VM's own trouble, and
		// making them itself would add to it. The item waits.
		c.calls.WithLabelValues("nobody").Inc()
		return nil, errors.WithMessagef(ErrNoGateway, "%d gateways, the last: %s", gateways, errorText(last))
	}
	c.calls.WithLabelValues("self").Inc()
	return c.config.Direct.Open(ctx, call)
}

// deserted says whether there has been no gateway for long. One that has just begun to lead
// hears of them within a second.
func (c *Client) deserted(gateways int) bool {
	now := c.config.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case gateways > 0:
		c.emptySince = 0
		return true
	case c.emptySince == 0 || now-c.askedAt > desertedAfter:
		c.emptySince = now
	}
	c.askedAt = now
	return now-c.emptySince >= desertedAfter
}

// choose takes a place at a gateway; leave gives it back.
func (c *Client) choose(dataCentre string) (address string, found bool) {
	gateways := c.config.Gateways()
	now := c.config.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now-c.forgotAt >= forgetEvery || !sameList(gateways, c.known) {
		c.forgotAt, c.known = now, gateways
		c.forget(gateways)
	}
	return c.chooser.choose(now, gateways, dataCentre, rand.IntN(max(len(gateways), 1)))
}

// sameList says whether two lists are one in memory: the list is made anew when it changes.
func sameList(a, b []Gateway) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// forget drops the connections to gateways that are gone; addresses change with each
// replaced VM. The caller holds the lock.
func (c *Client) forget(present []Gateway) {
	known := make(map[string]bool, len(present))
	for _, g := range present {
		known[g.Address] = true
	}
	for address, l := range c.sessions {
		if !known[address] && !l.busy() {
			delete(c.sessions, address)
			go l.fail(errGone)
		}
	}
}

func (c *Client) leave(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chooser.leave(address)
}

// accuse passes a gateway over for a while.
func (c *Client) accuse(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chooser.accuse(c.config.Clock.Now(), address)
}

// session is the one with a gateway, a new one if there is none that works.
func (c *Client) session(address string) *session {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, found := c.sessions[address]
	if !found {
		l = newSession(c.config.Source, address, c.config.HTTP(), &c.gather, func(l *session) { c.broken(address, l) })
		c.sessions[address] = l
		c.adjust()
	}
	return l
}

// broken forgets a session that ended.
func (c *Client) broken(address string, l *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions[address] == l {
		delete(c.sessions, address)
	}
}

// carry lets one gateway call the runner.
func (c *Client) carry(ctx context.Context, address string, call runner.Call) (*runner.Answer, error) {
	request := c.request(call)
	l := c.session(address)
	b := &body{
		session: l, number: request.GetCall(), runner: call.Runner.GetId(), ctx: ctx, leave: func() { c.leave(address) },
		news: make(chan struct{}, 1),
	}
	l.start(b, request)
	if err := b.await(); err != nil {
		_ = b.Close()
		if ctx.Err() == nil {
			c.accuse(address)
		}
		return nil, err
	}
	head, err := b.head()
	if err != nil {
		_ = b.Close()
		return nil, err
	}
	answer := &runner.Answer{
		Status: int(head.GetStatus()), Header: http.Header{}, Length: -1, NotRun: head.GetNotRun(), OtherInstance: head.GetOther(), Body: b,
		Release: b.release,
	}
	if head.Running != nil {
		answer.Load = &runner.Load{Running: int(head.GetRunning()), Waiting: int(head.GetWaiting())}
	}
	return answer, nil
}

func (c *Client) request(call runner.Call) *toucanhingev1.CarryRequest {
	c.mu.Lock()
	c.number++
	number := c.number
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
		return "too late"
	}
	return err.Error()
}
