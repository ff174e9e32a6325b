package replica

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// network can freeze all connections of one address: no data passes, no connection is
// closed, and new connections seem to work.
type network struct {
	mu     sync.Mutex
	frozen string
	thawed chan struct{}
}

func newNetwork() *network {
	thawed := make(chan struct{})
	close(thawed)
	return &network{thawed: thawed}
}

func (n *network) freeze(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen, n.thawed = address, make(chan struct{})
}

func (n *network) thaw() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen = ""
	close(n.thawed)
}

// unblocked returns a channel that is closed once data may pass between the two addresses.
func (n *network) unblocked(from, to string) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen == from || n.frozen == to {
		return n.thawed
	}
	open := make(chan struct{})
	close(open)
	return open
}

// client returns a constructor of HTTP clients that dial through the network from the
// address.
func (n *network) client(from string) func() *http.Client {
	return func() *http.Client {
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		return &http.Client{Transport: &http.Transport{
			Protocols: protocols,
			DialContext: func(ctx context.Context, kind, to string) (net.Conn, error) {
				c, err := new(net.Dialer).DialContext(ctx, kind, to)
				if err != nil {
					return nil, err
				}
				return &gatedConn{Conn: c, network: n, from: from, to: to, closed: make(chan struct{})}, nil
			},
		}}
	}
}

type gatedConn struct {
	net.Conn
	network  *network
	from, to string
	once     sync.Once
	closed   chan struct{}
}

func (c *gatedConn) wait() {
	select {
	case <-c.network.unblocked(c.from, c.to):
	case <-c.closed:
	}
}

func (c *gatedConn) Write(p []byte) (int, error) {
	c.wait()
	return c.Conn.Write(p)
}

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wait()
	return n, err
}

func (c *gatedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// A partition drops all packets of the leader, so its connections stay open without data.
// Its callers get an error soon instead of waiting as long as the partition lasts; the
// other replicas elect a leader and continue. When the partition ends, the old leader
// follows, and its unacknowledged commands are dropped.
func TestPartitionedLeaderStepsDown(t *testing.T) {
	n := newNetwork()
	cl := newCluster(t, 3, func(c *Config) { c.Client = n.client(c.Address) })
	old := cl.leader()
	cl.proposeAll([]string{"before"})
	n.freeze(old.address)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_, err := old.group.Propose(ctx, []byte("during"))
	require.ErrorIs(t, err, ErrUnknown)
	require.NoError(t, ctx.Err())
	var notLeader *NotLeaderError
	require.ErrorAs(t, old.group.Read(ctx), &notLeader)
	cl.proposeUntilAccepted("after")
	leader := cl.leader()
	require.NotEqual(t, old, leader)
	n.thaw()
	cl.proposeAll([]string{"last"})
	for _, m := range cl.nodes {
		cl.waitForCommands(m, []string{"before", "after", "last"})
	}
	require.Eventually(t, func() bool {
		name, _, _ := old.group.Leader()
		return name == leader.name
	}, waitTimeout, pollInterval)
	group := old.group
	require.Never(t, func() bool { return group.Status().GetRole() == "leader" }, 300*time.Millisecond, pollInterval)
}
