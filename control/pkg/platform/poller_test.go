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
	"toucanhinge.example/common/pkg/http1test"
	"toucanhinge.example/control/pkg/fleetstate"
	"toucanhinge.example/control/pkg/group"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// fixture is a poller with a list server that the test controls and a machine without
// consensus.
type fixture struct {
	machine  *fleetstate.Machine
	poller   *Poller
	leads    bool
	requests int
	serve    http.HandlerFunc
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{machine: fleetstate.NewMachine(fleetstate.MachineConfig{}), leads: true}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.requests++
		f.serve(w, r)
	}))
	t.Cleanup(server.Close)
	fleet := group.NewFleet(group.Group{
		Propose: func(_ context.Context, command []byte) (any, error) { return f.machine.Apply(0, command), nil },
		Leader:  func() (string, string, bool) { return "", "", f.leads },
	}, f.machine, clock.System(), nil)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go fleet.Steps.Run(ctx)
	f.poller = New(Config{URL: server.URL, Interval: time.Second, Fleet: fleet, Logger: log.NewNopLogger()})
	return f
}

func (f *fixture) poll(text string) error {
	f.serve = func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }
	return f.poller.Poll(context.Background())
}

func (f *fixture) drained(vm string) bool {
	drained := false
	f.machine.View(func(s *fleetstate.State) { _, drained = s.Entry(toucanhingev1.Kind_KIND_DRAIN, vm) })
	return drained
}

// TestPollDrainsOnlyLeavingVMs checks that leaving VMs are drained and VMs that are live
// again are not. A VM that is missing changes nothing, because the list lags behind.
func TestPollDrainsOnlyLeavingVMs(t *testing.T) {
	f := newFixture(t)
	require.NoError(t, f.poll(`[{"name":"vm1","state":"live"},{"name":"vm2","state":"leaving"}]`))
	require.False(t, f.drained("vm1"))
	require.True(t, f.drained("vm2"))
	require.NoError(t, f.poll(`[]`))
	require.False(t, f.drained("vm1"))
	require.True(t, f.drained("vm2"))
	require.NoError(t, f.poll(`[{"name":"vm2","state":"live"}]`))
	require.False(t, f.drained("vm2"))
	f.leads = false
	require.NoError(t, f.poll(`[{"name":"vm1","state":"leaving"}]`))
	require.False(t, f.drained("vm1"))
	require.Equal(t, 3, f.requests, "only the leader requests the list")
}

// TestPollIgnoresUnreadableLists checks that invalid lists, error statuses and cancelled
// requests are errors and change no drain.
func TestPollIgnoresUnreadableLists(t *testing.T) {
	scenarios := []struct{ name, text string }{
		{"empty body", ``},
		{"truncated", `[{"name":"vm1","state":"leaving"},{"na`},
		{"wrong type", `{"name":"vm1","state":"leaving"}`},
		{"name of wrong type", `[{"name":1,"state":"leaving"}]`},
		{"missing name", `[{"state":"leaving"}]`},
		{"unknown state", `[{"name":"vm1","state":"leaving"},{"name":"vm2","state":"gone"}]`},
		{"too many VMs", "[" + strings.Repeat(`{"name":"vm1","state":"leaving"},`, maxVMs) + `{"name":"vm1","state":"leaving"}]`},
	}
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			require.ErrorIs(t, f.poll(c.text), errInvalidList)
			require.False(t, f.drained("vm1"))
		})
	}
	t.Run("error status", func(t *testing.T) {
		f := newFixture(t)
		f.serve = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
		require.ErrorIs(t, f.poller.Poll(context.Background()), errInvalidList)
	})
	for _, c := range http1test.BrokenAnswers(`[{"name":"vm1","state":"leaving"}]`) {
		if c.Server.Early {
			continue
		}
		t.Run(c.Name, func(t *testing.T) {
			f := newFixture(t)
			f.poller.config.URL = "http://" + c.Server.Start(t)
			require.Error(t, f.poller.Poll(t.Context()))
			require.False(t, f.drained("vm1"))
		})
	}
	t.Run("cancelled request", func(t *testing.T) {
		f := newFixture(t)
		ctx, cancel := context.WithCancel(context.Background())
		f.serve = func(_ http.ResponseWriter, r *http.Request) { cancel(); <-r.Context().Done() }
		require.ErrorIs(t, f.poller.Poll(ctx), context.Canceled)
	})
}
