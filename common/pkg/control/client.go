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

	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

// Limits of one call to the control VMs.
const (
	// attemptTimeout ends one try, so that a frozen replica costs this much and
	// not the caller's whole deadline.
	attemptTimeout = 2 * time.Second
	firstPause     = 20 * time.Millisecond
	longestPause   = 250 * time.Millisecond
	// hopLimit bounds how often one call follows leader addresses without a
	// pause; replicas that name each other in a circle would spin us.
	hopLimit = 3
	// suspectTime is how long a control VM that gave no answer is passed over,
	// and how long others' word that it leads is not believed: those who are cut
	// off from it too name it until they have elected another one, within 0.6 s. A
	// longer time kept gateways from a leader that had lost power and was back.
	suspectTime = 700 * time.Millisecond
	// probeTime is how long a control VM that gave no answer in time may take to prove that its
	// connection works: less than it is passed over.
	probeTime = 600 * time.Millisecond
)

// Reasons under which retries are counted.
const (
	reasonNotLeader   = "not-leader"
	reasonUnreachable = "unreachable"
	reasonLate        = "late"
)

// Replica holds the calls to one control VM.
type Replica struct {
	Address   string
	Fleet     toucanhingev1connect.FleetServiceClient
	Jobs      toucanhingev1connect.JobServiceClient
	Work      toucanhingev1connect.WorkServiceClient
	Operators toucanhingev1connect.OperatorServiceClient
	Core      toucanhingev1connect.CoreServiceClient

	http *http.Client
	// probed says that it is being looked whether its connection works.
	probed atomic.Bool
}

// Config describes the client.
type Config struct {
	// Addresses of the control VMs, IP:port.
	Addresses []string
	HTTP      *http.Client
	// NewHTTP, if set, makes a client for each control VM in place of HTTP. It is
	// made anew after a call without an answer: a connection that went silent
	// without a reset would else swallow every call until a ping notices.
	NewHTTP func() *http.Client
	// FindLeader, if set, asks one control VM which one leads, by address; empty if
	// it knows none. Without it, calls go to one VM after the other until one takes
	// them or names the leader.
	FindLeader func(ctx context.Context, r *Replica) (string, error)
	// AttemptTimeout ends one try; 0 means two seconds.
	AttemptTimeout time.Duration
	// Retried counts retries by place and reason; may be nil.
	Retried *prometheus.CounterVec
}

// Client finds the leaders of the groups and remembers them.
type Client struct {
	config   Config
	mu       sync.Mutex
	replicas map[string]*Replica
	leaders  map[uint32]string
	suspects map[string]time.Time
	turn     int
}

// New makes a client; it connects on first use.
func New(config Config) *Client {
	if config.AttemptTimeout == 0 {
		config.AttemptTimeout = attemptTimeout
	}
	return &Client{config: config, replicas: map[string]*Replica{}, leaders: map[uint32]string{}, suspects: map[string]time.Time{}}
}

// Replica returns the calls to one control VM.
func (c *Client) Replica(address string) *Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, found := c.replicas[address]; found {
		return r
	}
	url := "http://" + address
	// Without this, control would compress each answer, however small.
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

// Any returns some replica, another one each time.
func (c *Client) Any() *Replica {
	return c.Replica(c.next())
}

// SetAddresses replaces the control VMs that are asked. Daemons on VMs that come
// and go learn the present ones from any of them.
func (c *Client) SetAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(addresses) > 0 {
		c.config.Addresses = addresses
	}
}

// drop forgets the connections to a control VM that gave no answer.
func (c *Client) drop(r *Replica) {
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

func (c *Client) next() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range c.config.Addresses {
		c.turn++
		address := c.config.Addresses[c.turn%len(c.config.Addresses)]
		if !c.suspect(address) {
			return address
		}
	}
	c.turn++
	return c.config.Addresses[c.turn%len(c.config.Addresses)]
}

// suspect says whether a control VM gave no answer a moment ago; the caller
// holds the lock.
func (c *Client) suspect(address string) bool {
	return time.Since(c.suspects[address]) < suspectTime
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

// KnownLeader is the address of the replica believed to lead the group, empty if none
// is known.
func (c *Client) KnownLeader(group uint32) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaders[group]
}

func (c *Client) learn(group uint32, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.suspect(address) {
		address = ""
	}
	c.leaders[group] = address
}

// acquit notes that a control VM answered.
func (c *Client) acquit(r *Replica) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.suspects, r.Address)
}

// accuse notes that a control VM gave no answer.
func (c *Client) accuse(r *Replica) {
	c.mu.Lock()
	c.suspects[r.Address] = time.Now()
	c.mu.Unlock()
	c.drop(r)
}

// doubt notes that a control VM gave no answer in time. It may be gone, its connection may be
// silent for good, or it is slow. What still answers keeps its connection: when a leader was
// late for a second, each of hundreds of callers left its connection behind and made a new one, which
// took all the leader's files and memory.
func (c *Client) doubt(r *Replica) {
	if c.config.FindLeader == nil || c.config.NewHTTP == nil {
		c.accuse(r)
		return
	}
	c.mu.Lock()
	c.suspects[r.Address] = time.Now()
	c.mu.Unlock()
	if r.probed.CompareAndSwap(false, true) {
		go c.probe(r)
	}
}

// probe drops the connections to a control VM that doesn't answer the shortest of calls either.
func (c *Client) probe(r *Replica) {
	defer r.probed.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), probeTime)
	defer cancel()
	if _, err := c.config.FindLeader(ctx, r); err != nil {
		c.drop(r)
		return
	}
	c.acquit(r)
}

// Call runs one call on the group's leader, and looks for the leader until the
// context ends. It repeats a try whose outcome it does not know, so the call
// must be idempotent: all calls of the schema to the leader carry their own
// request id, token or lease number for that reason.
func Call[T any](ctx context.Context, c *Client, group uint32, place string, call func(context.Context, *Replica) (T, error)) (T, error) {
	pause := firstPause
	hops := 0
	for {
		if c.config.FindLeader != nil {
			if err := c.search(ctx, group); err != nil {
				var none T
				return none, fmt.Errorf("%s: %w", place, err)
			}
		}
		replica := c.Leader(group)
		tryCtx, cancel := context.WithTimeout(ctx, c.config.AttemptTimeout)
		answer, err := call(tryCtx, replica)
		cancel()
		if err == nil {
			c.acquit(replica)
			c.learn(group, replica.Address)
			return answer, nil
		}
		reason, again := c.blame(group, err)
		switch reason {
		case reasonLate:
			c.doubt(replica)
		case reasonUnreachable:
			c.accuse(replica)
		case reasonNotLeader:
			c.acquit(replica)
		}
		if !again || ctx.Err() != nil {
			return answer, fmt.Errorf("%s at %s: %w", place, replica.Address, err)
		}
		if c.config.Retried != nil {
			c.config.Retried.WithLabelValues(place, reason).Inc()
		}
		// A replica that names another leader costs no pause: the call was not
		// carried out, and the leader is ready for it.
		if leader, _ := LeaderOf(err); leader != "" && leader != replica.Address && hops < hopLimit && c.Leader(group).Address == leader {
			hops++
			continue
		}
		if waitErr := wait(ctx, pause); waitErr != nil {
			return answer, fmt.Errorf("%s at %s: %w", place, replica.Address, err)
		}
		pause = min(2*pause, longestPause)
	}
}

// blame decides whether a failed try is worth another, and forgets a leader that is none.
func (c *Client) blame(group uint32, err error) (reason string, again bool) {
	if leader, refused := LeaderOf(err); refused {
		c.learn(group, leader)
		return reasonNotLeader, true
	}
	var failure *connect.Error
	if !errors.As(err, &failure) {
		return "", false
	}
	switch failure.Code() {
	case connect.CodeDeadlineExceeded:
		c.learn(group, "")
		return reasonLate, true
	case connect.CodeUnavailable, connect.CodeCanceled:
		c.learn(group, "")
		return reasonUnreachable, true
	case connect.CodeUnknown:
		// An answer that breaks off after its header has this code too. The VM was killed
		// while it answered; without another try the operator's change, or a team's job,
		// failed although the next leader would have answered.
		if connect.IsWireError(err) {
			return "", false
		}
		c.learn(group, "")
		return reasonUnreachable, true
	default:
		return "", false
	}
}

// wait pauses for about a span. Callers that failed at the same moment don't come back at the
// same one.
func wait(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause/2 + rand.N(pause))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
