package control

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/web"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

// slowLeader is a leader that answers each call late. If unresponsive, it answers none, like a VM
// behind a dead connection.
type slowLeader struct {
	toucanhingev1connect.UnimplementedCoreServiceHandler
	address      string
	delay        atomic.Int64
	unresponsive atomic.Bool
	// ended is closed at the end of the test.
	ended chan struct{}
}

func (l *slowLeader) wait(ctx context.Context, delay time.Duration) {
	// Returning at the call's deadline would send an answer, which may arrive before the client
	// notices its timeout.
	if l.unresponsive.Load() {
		<-l.ended
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

func (l *slowLeader) NameLeader(ctx context.Context, _ *connect.Request[toucanhingev1.NameLeaderRequest]) (*connect.Response[toucanhingev1.NameLeaderResponse], error) {
	l.wait(ctx, time.Duration(l.delay.Load())/2)
	return connect.NewResponse(&toucanhingev1.NameLeaderResponse{Address: l.address}), nil
}

func (l *slowLeader) ReadListed(ctx context.Context, _ *connect.Request[toucanhingev1.ReadListedRequest]) (*connect.Response[toucanhingev1.ReadListedResponse], error) {
	l.wait(ctx, time.Duration(l.delay.Load()))
	return connect.NewResponse(&toucanhingev1.ReadListedResponse{Found: true}), nil
}

// countingListener counts accepted connections.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
}

func (c *countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err == nil {
		c.accepted.Add(1)
	}
	return conn, err
}

func startSlowLeader(t *testing.T) (*slowLeader, *countingListener) {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &countingListener{Listener: raw}
	leader := &slowLeader{address: raw.Addr().String(), ended: make(chan struct{})}
	t.Cleanup(func() { close(leader.ended) })
	mux := http.NewServeMux()
	mux.Handle(toucanhingev1connect.NewCoreServiceHandler(leader))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, Protocols: protocols, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return leader, listener
}

func read(ctx context.Context, c *Client) error {
	_, err := Call(ctx, c, 0, "read", func(ctx context.Context, r *Replica) (*toucanhingev1.ReadListedResponse, error) {
		answer, err := r.Core.ReadListed(ctx, connect.NewRequest(&toucanhingev1.ReadListedRequest{}))
		if err != nil {
			return nil, err
		}
		return answer.Msg, nil
	})
	return err
}

func newClients(address string, count int) []*Client {
	var list []*Client
	for range count {
		list = append(list, New(Config{Addresses: []string{address}, NewHTTP: web.NewClient, FindLeader: QueryLeader, AttemptTimeout: 200 * time.Millisecond}))
	}
	return list
}

// readAll lets all clients read repeatedly for a duration.
func readAll(list []*Client, duration time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var reading sync.WaitGroup
	for _, c := range list {
		reading.Go(func() {
			for ctx.Err() == nil {
				_ = read(ctx, c)
			}
		})
	}
	reading.Wait()
}

// The leader answers later than its callers' timeout for some seconds. If each caller then opened
// another connection, their memory would slow the leader down further; 468 gateways once had
// 10,900 connections.
func TestSlowLeaderKeepsItsConnections(t *testing.T) {
	const count = 20
	leader, listener := startSlowLeader(t)
	list := newClients(leader.address, count)
	readAll(list, 300*time.Millisecond)
	require.EqualValues(t, count, listener.accepted.Load())
	leader.delay.Store(int64(500 * time.Millisecond))
	readAll(list, 3*time.Second)
	require.EqualValues(t, count, listener.accepted.Load(), "a late answer must not cause another connection")
	leader.delay.Store(0)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, c := range list {
		require.NoError(t, read(ctx, c))
	}
}

// A connection is dead for good, and only a new one works.
func TestDeadConnectionIsReplaced(t *testing.T) {
	leader, listener := startSlowLeader(t)
	c := newClients(leader.address, 1)[0]
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	require.NoError(t, read(ctx, c))
	leader.unresponsive.Store(true)
	time.AfterFunc(1_200*time.Millisecond, func() { leader.unresponsive.Store(false) })
	require.NoError(t, read(ctx, c))
	require.GreaterOrEqual(t, listener.accepted.Load(), int64(2))
}

// Guards against gateways that never find a leader whose answers take longer than one search.
func TestSlowLeaderIsFound(t *testing.T) {
	leader, listener := startSlowLeader(t)
	leader.delay.Store(int64(600 * time.Millisecond))
	c := New(Config{Addresses: []string{leader.address}, NewHTTP: web.NewClient, FindLeader: QueryLeader, AttemptTimeout: time.Second})
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	require.NoError(t, read(ctx, c))
	require.EqualValues(t, 1, listener.accepted.Load())
}
