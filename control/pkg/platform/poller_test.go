package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/control/pkg/fleetstate"
	"toucanhinge.example/control/pkg/group"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// bench is a poller before a list of the test's and a machine without consensus.
type bench struct {
	machine *fleetstate.Machine
	poller  *Poller
	leads   bool
	asked   int
	serve   http.HandlerFunc
}

func newBench(t *testing.T) *bench {
	b := &bench{machine: fleetstate.NewMachine(fleetstate.MachineConfig{}), leads: true}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.asked++
		b.serve(w, r)
	}))
	t.Cleanup(server.Close)
	fleet := group.NewFleet(group.Group{
		Propose: func(_ context.Context, command []byte) (any, error) { return b.machine.Apply(0, command), nil },
		Leader:  func() (string, string, bool) { return "", "", b.leads },
	}, b.machine, clock.System(), nil)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go fleet.Steps.Run(ctx)
	b.poller = New(Config{URL: server.URL, Interval: time.Second, HTTP: server.Client(), Fleet: fleet, Logger: log.NewNopLogger()})
	return b
}

func (b *bench) poll(text string) error {
	b.serve = func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }
	return b.poller.Poll(context.Background())
}

func (b *bench) drained(vm string) bool {
	drained := false
	b.machine.View(func(s *fleetstate.State) { _, drained = s.Entry(toucanhingev1.Kind_KIND_DRAIN, vm) })
	return drained
}

// TestListIsAHint: what the list calls leaving is drained; that a VM is missing
// proves nothing, since the list lags; what is called live again is used again.
func TestListIsAHint(t *testing.T) {
	b := newBench(t)
	require.NoError(t, b.poll(`[{"name":"vm1","state":"live"},{"name":"vm2","state":"leaving"}]`))
	require.False(t, b.drained("vm1"))
	require.True(t, b.drained("vm2"))
	require.NoError(t, b.poll(`[]`))
	require.False(t, b.drained("vm1"))
	require.True(t, b.drained("vm2"))
	require.NoError(t, b.poll(`[{"name":"vm2","state":"live"}]`))
	require.False(t, b.drained("vm2"))
	b.leads = false
	require.NoError(t, b.poll(`[{"name":"vm1","state":"leaving"}]`))
	require.False(t, b.drained("vm1"))
	require.Equal(t, 3, b.asked, "only the leader asks")
}

// TestUnreadableListsChangeNothing answers with what is no list.
func TestUnreadableListsChangeNothing(t *testing.T) {
	scenarios := []struct{ name, text string }{
		{"nothing", ``},
		{"cut in the middle", `[{"name":"vm1","state":"leaving"},{"na`},
		{"wrong type", `{"name":"vm1","state":"leaving"}`},
		{"name of a wrong type", `[{"name":1,"state":"leaving"}]`},
		{"no name", `[{"state":"leaving"}]`},
		{"unknown state", `[{"name":"vm1","state":"leaving"},{"name":"vm2","state":"gone"}]`},
		{"too many", "[" + strings.Repeat(`{"name":"vm1","state":"leaving"},`, mostVMs) + `{"name":"vm1","state":"leaving"}]`},
	}
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			require.ErrorIs(t, b.poll(c.text), errList)
			require.False(t, b.drained("vm1"))
		})
	}
	t.Run("refused", func(t *testing.T) {
		b := newBench(t)
		b.serve = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
		require.ErrorIs(t, b.poller.Poll(context.Background()), errList)
	})
	t.Run("too late", func(t *testing.T) {
		b := newBench(t)
		ctx, cancel := context.WithCancel(context.Background())
		b.serve = func(_ http.ResponseWriter, r *http.Request) { cancel(); <-r.Context().Done() }
		require.ErrorIs(t, b.poller.Poll(ctx), context.Canceled)
	})
}
