package control

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/web"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

// namer is a VM of the core that names a leader.
type namer struct {
	toucanhingev1connect.UnimplementedCoreServiceHandler
	err error
}

// NameLeader implements the service.
func (n namer) NameLeader(
	context.Context, *connect.Request[toucanhingev1.NameLeaderRequest],
) (*connect.Response[toucanhingev1.NameLeaderResponse], error) {
	return connect.NewResponse(&toucanhingev1.NameLeaderResponse{Address: "named"}), n.err
}

// A leader is killed while it answers: the header of its answer is there, the rest never
// comes. The call may have had its effect, and is idempotent: it is made again, and the
// next leader answers.
func TestAnAnswerThatBreaksOffIsAskedForAgain(t *testing.T) {
	for _, c := range []struct {
		name  string
		err   error
		calls int32
		fails bool
	}{
		{"it breaks off once", nil, 2, false},
		{"a VM says that it failed for a reason of its own", connect.NewError(connect.CodeUnknown, http.ErrBodyNotAllowed), 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var calls atomic.Int32
			var server *web.Server
			path, answers := toucanhingev1connect.NewCoreServiceHandler(namer{err: c.err})
			mux := http.NewServeMux()
			mux.Handle(path, answers)
			listen := func(handler http.Handler, address string) string {
				var err error
				server, err = web.Listen(address, handler)
				require.NoError(t, err)
				started := server
				go func() { _ = started.Serve() }()
				return server.Address()
			}
			over, done := context.WithCancel(context.Background())
			done()
			address := ""
			breaks := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
				w.Header().Set("Content-Length", "100")
				w.WriteHeader(http.StatusOK)
				_ = http.NewResponseController(w).Flush()
				_ = server.Shutdown(over)
				listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					calls.Add(1)
					mux.ServeHTTP(w, r)
				}), address)
			})
			address = listen(breaks, "127.0.0.1:0")
			t.Cleanup(func() { _ = server.Shutdown(over) })
			client := New(Config{Addresses: []string{address}, NewHTTP: web.NewClient})
			leader, err := Call(t.Context(), client, 0, "test", QueryLeader)
			require.Equal(t, c.fails, err != nil, "%v", err)
			require.Equal(t, c.calls, calls.Load())
			if !c.fails {
				require.Equal(t, "named", leader)
			}
		})
	}
}
