package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"toucanhinge.example/common/pkg/signal"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

// Limits of one call to the control VMs.
const (
	// attemptTimeout limits one attempt, so that a frozen replica doesn't use up the caller's
	// whole deadline.
	attemptTimeout = 2 * time.Second
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 250 * time.Millisecond
	// maxRedirects limits how many leader addresses one call follows without a backoff. Replicas
	// that name each other as the leader would otherwise cause a busy loop.
	maxRedirects = 3
	// unresponsivePeriod is how long a control VM that didn't answer is skipped, and how long it
	// isn't accepted as the leader that other control VMs name. Control VMs that are cut off from
	// it as well name it until they have elected another leader, within 0.6 s. A longer period
	// would keep gateways from a leader that is back after a power failure.
	unresponsivePeriod = 700 * time.Millisecond
)

// Values of the reason label of the retry metric.
const (
	reasonNotLeader   = "not-leader"
	reasonUnreachable = "unreachable"
	reasonLate        = "late"
)

// Replica holds the service clients of one control VM.
type Replica struct {
	Address   string
	Fleet     toucanhingev1connect.FleetServiceClient
	Jobs      toucanhingev1connect.JobServiceClient
	Work      toucanhingev1connect.WorkServiceClient
	Operators toucanhingev1connect.OperatorServiceClient
	Core      toucanhingev1connect.CoreServiceClient

	http *http.Client
	// queries is the number of running queries of this VM for the leader.
	queries atomic.Int32
	// answeredAt is when the VM last answered; the client's lock protects it.
	answeredAt time.Time
}

// Config configures a Client.
type Config struct {
	// Addresses of the control VMs, IP:port.
	Addresses []string
	HTTP      *http.Client
	// NewHTTP, if set, returns an HTTP client for one control VM and replaces HTTP. It is called
	// again after a call without an answer: on a connection that became unresponsive without a
	// reset, every call would otherwise hang until a ping fails.
	NewHTTP func() *http.Client
	// FindLeader, if set, queries one control VM for the address of the leader, which is empty if
	// the VM doesn't know it. Without FindLeader, calls go to one VM after the other until one
	// accepts them or names the leader.
	FindLeader func(ctx context.Context, r *Replica) (string, error)
	// AttemptTimeout limits one attempt; 0 means two seconds.
	AttemptTimeout time.Duration
	// Retried counts retries by operation and reason; may be nil.
	Retried *prometheus.CounterVec
}

// Client calls the leaders of the consensus groups. It finds and caches their addresses.
type Client struct {
	config            Config
	mu                sync.Mutex
	replicas          map[string]*Replica
	leaders           map[uint32]string
	unresponsiveSince map[string]time.Time
	nextIndex         int
	// leaderFound fires when a query found a leader.
	leaderFound *signal.Signal
}

// New returns a client, which connects on first use.
func New(config Config) *Client {
	if config.AttemptTimeout == 0 {
		config.AttemptTimeout = attemptTimeout
	}
	return &Client{config: config, replicas: map[string]*Replica{}, leaders: map[uint32]string{}, unresponsiveSince: map[string]time.Time{}, leaderFound: signal.New()}
}

// Replica returns the service clients of one control VM.
func (c *Client) Replica(address string) *Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, found := c.replicas[address]; found {
		return r
	}
	url := "http://" + address
	// Otherwise control would compress each answer, however small.
	plain := connect.WithAcceptCompression("gzip", nil, nil)
	client := c.config.HTTP
	if c.config.NewHTTP != nil {
		client = c.config.NewHTTP()
	}
	r := &Replica{
		Address:   address,
		Fleet:     toucanhingev1connect.NewFleetServiceClient(client, url, plain),
		Jobs:      toucanhingev1connect.NewJobServiceClient(client, url, plain),
		Work:      toucanhingev1connect.NewWorkServiceClient(client, url, plain),
		Operators: toucanhingev1connect.NewOperatorServiceClient(client, url, plain),
		Core:      toucanhingev1connect.NewCoreServiceClient(client, url, plain),
		http:      client,
	}
	c.replicas[address] = r
	return r
}

// Any returns the next replica in round-robin order.
func (c *Client) Any() *Replica {
	return c.Replica(c.nextAddress())
}

// SetAddresses replaces the addresses of the control VMs. Where the control VMs change, daemons
// fetch the current addresses from any of them.
func (c *Client) SetAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(addresses) > 0 {
		c.config.Addresses = addresses
	}
}

// dropConnections closes the connections to a control VM that didn't answer.
func (c *Client) dropConnections(r *Replica) {
	if c.config.NewHTTP == nil {
		return
	}
	c.mu.Lock()
	if c.replicas[r.Address] == r {
		delete(c.replicas, r.Address)
	}
	c.mu.Unlock()
	r.http.CloseIdleConnections()
}

func (c *Client) nextAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range c.config.Addresses {
		c.nextIndex++
		address := c.config.Addresses[c.nextIndex%len(c.config.Addresses)]
		if !c.isUnresponsive(address) {
			return address
		}
	}
	c.nextIndex++
	return c.config.Addresses[c.nextIndex%len(c.config.Addresses)]
}

// isUnresponsive reports whether a control VM recently didn't answer. The caller holds the lock.
func (c *Client) isUnresponsive(address string) bool {
	return time.Since(c.unresponsiveSince[address]) < unresponsivePeriod
}

// Leader returns the replica believed to lead the group.
func (c *Client) Leader(group uint32) *Replica {
	c.mu.Lock()
	address := c.leaders[group]
	c.mu.Unlock()
	if address == "" {
		return c.Any()
	}
	return c.Replica(address)
}

// KnownLeader returns the address of the replica believed to lead the group, empty if none is
// known.
func (c *Client) KnownLeader(group uint32) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaders[group]
}

func (c *Client) setLeader(group uint32, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isUnresponsive(address) {
		address = ""
	}
	c.leaders[group] = address
}

// markResponsive records that a control VM answered.
func (c *Client) markResponsive(r *Replica) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.answeredAt = time.Now()
	delete(c.unresponsiveSince, r.Address)
}

// markUnresponsive records that a control VM didn't answer, and drops its connections.
func (c *Client) markUnresponsive(r *Replica) {
	c.mu.Lock()
	c.unresponsiveSince[r.Address] = time.Now()
	c.mu.Unlock()
	c.dropConnections(r)
}

// deprioritize records that a control VM hasn't answered in time, and reports whether it hasn't
// answered any call since the given time.
func (c *Client) deprioritize(r *Replica, since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.answeredAt.After(since) {
		return false
	}
	c.unresponsiveSince[r.Address] = time.Now()
	return true
}

// handleLateAnswer deprioritizes a control VM that didn't answer a call in time. The VM may be gone,
// its connection may be dead, or the VM is slow. A VM that still answers a query keeps its connection:
// if hundreds of callers replaced their connections because a leader was slow for a second, they
// would use up all file descriptors and memory of the leader.
func (c *Client) handleLateAnswer(group uint32, r *Replica) {
	if c.config.FindLeader == nil || c.config.NewHTTP == nil {
		c.markUnresponsive(r)
		return
	}
	c.deprioritize(r, time.Now())
	go c.queryReplica(group, r)
}

// Call runs one call on the leader of the group, and searches for the leader until the context
// ends. It repeats an attempt with an unknown outcome, so the call must be idempotent. For that
// reason all calls of the schema to the leader carry a request id, token or lease number.
func Call[T any](ctx context.Context, c *Client, group uint32, operation string, call func(context.Context, *Replica) (T, error)) (T, error) {
	delay := initialBackoff
	redirects := 0
	for {
		if c.config.FindLeader != nil {
			if err := c.awaitLeader(ctx, group); err != nil {
				var none T
				return none, fmt.Errorf("%s: %w", operation, err)
			}
		}
		replica := c.Leader(group)
		attemptCtx, cancel := context.WithTimeout(ctx, c.config.AttemptTimeout)
		answer, err := call(attemptCtx, replica)
		cancel()
		if err == nil {
			c.markResponsive(replica)
			c.setLeader(group, replica.Address)
			return answer, nil
		}
		reason, retry := c.classifyError(group, err)
		switch reason {
		case reasonLate:
			c.handleLateAnswer(group, replica)
		case reasonUnreachable:
			c.markUnresponsive(replica)
		case reasonNotLeader:
			c.markResponsive(replica)
		}
		if !retry || ctx.Err() != nil {
			return answer, fmt.Errorf("%s at %s: %w", operation, replica.Address, err)
		}
		if c.config.Retried != nil {
			c.config.Retried.WithLabelValues(operation, reason).Inc()
		}
		// No backoff if the replica names another leader: the call had no effect, and the
		// named leader is ready for it.
		if leader, _ := LeaderOf(err); leader != "" && leader != replica.Address && redirects < maxRedirects && c.Leader(group).Address == leader {
			redirects++
			continue
		}
		if waitErr := backoff(ctx, delay); waitErr != nil {
			return answer, fmt.Errorf("%s at %s: %w", operation, replica.Address, err)
		}
		delay = min(2*delay, maxBackoff)
	}
}

// classifyError returns the retry reason of a failed attempt and whether to try again. It clears
// or replaces the cached leader.
func (c *Client) classifyError(group uint32, err error) (reason string, retry bool) {
	if leader, refused := LeaderOf(err); refused {
		c.setLeader(group, leader)
		return reasonNotLeader, true
	}
	var failure *connect.Error
	if !errors.As(err, &failure) {
		return "", false
	}
	switch failure.Code() {
	case connect.CodeDeadlineExceeded:
		c.setLeader(group, "")
		return reasonLate, true
	case connect.CodeUnavailable, connect.CodeCanceled:
		c.setLeader(group, "")
		return reasonUnreachable, true
	case connect.CodeUnknown:
		// An answer that ends after its header has this code as well: the VM was killed while
		// it answered. Without another attempt, an operator's change or a team's job would
		// fail although the next leader can answer.
		if connect.IsWireError(err) {
			return "", false
		}
		c.setLeader(group, "")
		return reasonUnreachable, true
	default:
		return "", false
	}
}

// backoff sleeps for a random time around the delay. The jitter keeps callers that failed at the
// same time from retrying at the same time.
func backoff(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay/2 + rand.N(delay))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
