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

// lateLeader leads and answers each call late; deaf, it answers none, like a VM to which a
// connection went silent.
type lateLeader struct {
	toucanhingev1connect.UnimplementedCoreServiceHandler
	address string
	late    atomic.Int64
	deaf    atomic.Bool
}

func (l *lateLeader) hold(ctx context.Context, span time.Duration) {
	if l.deaf.Load() {
		<-ctx.Done()
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

func (l *lateLeader) NameLeader(ctx context.Context, _ *connect.Request[toucanhingev1.NameLeaderRequest]) (*connect.Response[toucanhingev1.NameLeaderResponse], error) {
	l.hold(ctx, time.Duration(l.late.Load())/2)
	return connect.NewResponse(&toucanhingev1.NameLeaderResponse{Address: l.address}), nil
}

func (l *lateLeader) ReadListed(ctx context.Context, _ *connect.Request[toucanhingev1.ReadListedRequest]) (*connect.Response[toucanhingev1.ReadListedResponse], error) {
	l.hold(ctx, time.Duration(l.late.Load()))
	return connect.NewResponse(&toucanhingev1.ReadListedResponse{Found: true}), nil
}

// counted counts connections.
type counted struct {
	net.Listener
	made atomic.Int64
}

func (c *counted) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err == nil {
		c.made.Add(1)
	}
	return conn, err
}

func lateServer(t *testing.T) (*lateLeader, *counted) {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &counted{Listener: raw}
	leader := &lateLeader{address: raw.Addr().String()}
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

func callers(address string, count int) []*Client {
	var list []*Client
	for range count {
		list = append(list, New(Config{Addresses: []string{address}, NewHTTP: web.NewClient, FindLeader: QueryLeader, AttemptTimeout: 200 * time.Millisecond}))
	}
	return list
}

// all lets all callers read until a moment.
func all(list []*Client, span time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), span)
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

// The leader answers late for some seconds, later than callers wait. Each of its callers left its
// connection then and made another one, with all its memory at the leader, which was later
// still; at 468 gateways there were 10,900 of them.
func TestALateLeaderKeepsItsConnections(t *testing.T) {
	const count = 20
	leader, listener := lateServer(t)
	list := callers(leader.address, count)
	all(list, 300*time.Millisecond)
	require.EqualValues(t, count, listener.made.Load())
	leader.late.Store(int64(500 * time.Millisecond))
	all(list, 3*time.Second)
	require.EqualValues(t, count, listener.made.Load(), "a late answer is no reason for another connection")
	leader.late.Store(0)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, c := range list {
		require.NoError(t, read(ctx, c))
	}
}

// A connection went silent for good, and only a new one works.
func TestASilentConnectionIsReplaced(t *testing.T) {
	leader, listener := lateServer(t)
	c := callers(leader.address, 1)[0]
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	require.NoError(t, read(ctx, c))
	leader.deaf.Store(true)
	time.AfterFunc(1_200*time.Millisecond, func() { leader.deaf.Store(false) })
	require.NoError(t, read(ctx, c))
	require.GreaterOrEqual(t, listener.made.Load(), int64(2))
}
