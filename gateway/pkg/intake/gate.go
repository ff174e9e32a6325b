package intake

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
)

// maxOpenFactor times the limit of the requests in progress is the limit of open connections while it applies.
const maxOpenFactor = 1.5

// Reasons for which a connection is refused.
const (
	reasonOverload    = "overload"
	reasonConnections = "connections"
)

// Config holds the settings and dependencies of a Gate.
type Config struct {
	// MaxConnections limits the open connections; 0 for no limit.
	MaxConnections int
	// Memory limits the memory of the requests; nil for no limit.
	Memory     *Memory
	Logger     log.Logger
	Registerer prometheus.Registerer
}

// Gate limits the connections of a listener. A connection that it refuses is closed before anything is read from it.
type Gate struct {
	config  Config
	started time.Time
	refused *prometheus.CounterVec
	evicted prometheus.Counter
	mu      sync.Mutex
	limiter *Limiter
	open    map[net.Conn]bool
	// idle holds the connections without a request, the longest idle first, and elements their elements.
	idle     *list.List
	elements map[net.Conn]*list.Element
}

// New returns a gate without connections.
func New(config Config) *Gate {
	if config.Memory == nil {
		config.Memory = NewMemory(MemoryConfig{Logger: config.Logger, Registerer: prometheus.NewRegistry()})
	}
	factory := promauto.With(config.Registerer)
	g := &Gate{
		config: config, started: time.Now(), limiter: NewLimiter(), open: map[net.Conn]bool{}, idle: list.New(), elements: map[net.Conn]*list.Element{},
		refused: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "toucanhinge_caller_connections_refused_total", Help: "Connections of callers closed before their request was read, by reason.",
		}, []string{"reason"}),
		evicted: factory.NewCounter(prometheus.CounterOpts{
			Name: "toucanhinge_caller_connections_evicted_total", Help: "Idle connections of callers closed in favour of new ones.",
		}),
	}
	factory.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "toucanhinge_caller_connections_limited", Help: "1 while the requests in progress are limited because the process is overloaded.",
	}, func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.limiter.Limited() {
			return 1
		}
		return 0
	})
	return g
}

// now returns the time since the start of the process's gate. It doesn't follow changes of the time of day.
func (g *Gate) now() clock.Millis { return clock.Millis(time.Since(g.started).Milliseconds()) }

// Run samples the lag of the process until the context ends.
func (g *Gate) Run(ctx context.Context) {
	timer := time.NewTimer(SampleInterval.Duration())
	defer timer.Stop()
	for {
		due := g.now() + SampleInterval
		timer.Reset(SampleInterval.Duration())
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			// The runtime runs this goroutine before others that are ready. Behind them it sees how long they wait.
			runtime.Gosched()
			g.observe(g.now() - due)
		}
	}
}

func (g *Gate) observe(lag clock.Millis) {
	g.mu.Lock()
	inProgress := g.inProgress()
	changed := g.limiter.Observe(g.now(), lag, inProgress)
	limited := g.limiter.Limited()
	excess := g.evictExcess()
	g.mu.Unlock()
	for _, conn := range excess {
		_ = conn.Close()
	}
	if changed {
		level.Warn(g.config.Logger).Log(logs.KeyEvent, "caller-connections-limited", "limited", limited, "in-progress", inProgress, "lag-ms", lag)
	}
}

// evictExcess removes and returns the longest idle connections beyond what the limit allows. Their callers' next requests
// would be read whether they can be served or not. The caller holds the lock.
func (g *Gate) evictExcess() []net.Conn {
	var excess []net.Conn
	for g.limiter.Limited() && float64(len(g.open)) > maxOpenFactor*g.limiter.limit {
		conn := g.evict()
		if conn == nil {
			break
		}
		excess = append(excess, conn)
	}
	return excess
}

// inProgress returns the number of connections that aren't idle. The caller holds the lock.
func (g *Gate) inProgress() int { return len(g.open) - g.idle.Len() }

// Track records the state of a connection. It is the ConnState of the HTTP server that uses the listener.
func (g *Gate) Track(conn net.Conn, state http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if element := g.elements[conn]; element != nil {
		g.idle.Remove(element)
		delete(g.elements, conn)
	}
	switch state {
	case http.StateIdle:
		g.elements[conn] = g.idle.PushBack(conn)
	case http.StateClosed, http.StateHijacked:
		delete(g.open, conn)
	default:
		return
	}
	if c, ok := conn.(*Conn); ok {
		c.end()
	}
}

// Listen returns a listener that refuses connections which the process can't serve.
func (g *Gate) Listen(listener net.Listener) net.Listener { return &gatedListener{listener, g} }

type gatedListener struct {
	net.Listener
	gate *Gate
}

// Accept implements net.Listener.
func (l *gatedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := newConn(accepted, l.gate.config.Memory)
		reason, evicted := l.gate.admit(conn)
		if evicted != nil {
			_ = evicted.Close()
		}
		if reason == "" {
			return conn, nil
		}
		l.gate.refused.WithLabelValues(reason).Inc()
		_ = conn.Close()
	}
}

// admit decides on a new connection. It returns the reason to refuse it, empty if it is taken, and an idle connection to
// close in its favour, nil for none.
func (g *Gate) admit(conn net.Conn) (reason string, evicted net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.limiter.Take(g.now(), g.inProgress()) {
		return reasonOverload, nil
	}
	if g.config.MaxConnections > 0 && len(g.open) >= g.config.MaxConnections {
		if evicted = g.evict(); evicted == nil {
			return reasonConnections, nil
		}
	}
	g.open[conn] = true
	return "", evicted
}

// evict removes and returns the connection that has been idle for longest, nil if none is idle. The caller holds the lock.
func (g *Gate) evict() net.Conn {
	oldest := g.idle.Front()
	if oldest == nil {
		return nil
	}
	conn, ok := g.idle.Remove(oldest).(net.Conn)
	if !ok {
		return nil
	}
	delete(g.elements, conn)
	delete(g.open, conn)
	g.evicted.Inc()
	return conn
}
