package forward

import (
	"bytes"
	"net/http"
	"testing"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/apikey"
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/routing"
	"toucanhinge.example/gateway/pkg/lease"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// keyFixture is a server whose boot clock stands where the test puts it.
type keyFixture struct {
	server *Server
	now    clock.Millis
	keys   *lease.Lease
	log    bytes.Buffer
}

func newKeyFixture() *keyFixture {
	f := &keyFixture{now: 100_000, keys: lease.New(5_000)}
	f.server = New(Config{
		Clock: clock.System(), Boot: clock.FromFunc(func() clock.Millis { return f.now }), KeyLease: f.keys,
		Logger: log.NewJSONLogger(&f.log), Registerer: prometheus.NewRegistry(),
	})
	return f
}

// set puts a table in force, confirmed at this moment.
func (f *keyFixture) set(t *testing.T, version uint64, keyed bool, teams ...*toucanhingev1.Team) {
	t.Helper()
	route := func(prefix string, kind toucanhingev1.RouteKind, open bool) *toucanhingev1.Route {
		return &toucanhingev1.Route{
			Name: prefix, Host: "team", Prefix: prefix, Kind: kind, TimeLimitMs: 1_000, Open: open,
			Shares: []*toucanhingev1.RouteShare{{Service: "llm", Weight: 1}},
		}
	}
	table, err := routing.New(&toucanhingev1.RoutingTable{
		Version: version, Keyed: keyed, Teams: teams, Services: []*toucanhingev1.RoutedService{{Name: "llm"}},
		Routes: []*toucanhingev1.Route{
			route("/keyed/", toucanhingev1.RouteKind_ROUTE_KIND_STREAM, false), route("/open/", toucanhingev1.RouteKind_ROUTE_KIND_STREAM, true),
			route("/jobs/", toucanhingev1.RouteKind_ROUTE_KIND_BATCH, false),
		},
	})
	require.NoError(t, err)
	f.server.SetTable(table)
	f.keys.Confirm(f.now)
}

func team(name string, keys ...string) *toucanhingev1.Team {
	wire := &toucanhingev1.Team{Name: name}
	for _, key := range keys {
		wire.Keys = append(wire.Keys, apikey.Bytes(key))
	}
	return wire
}

func TestWhoIsLetIn(t *testing.T) {
	for _, c := range []struct {
		name, path, key string
		// age is how long ago the table was confirmed.
		age    clock.Millis
		status int
		team   string
	}{
		{"a known key", "/keyed/x", "one-of-a", 0, 0, "a"},
		{"another key of the team", "/keyed/x", "two-of-a", 0, 0, "a"},
		{"another team's key", "/keyed/x", "one-of-b", 0, 0, "b"},
		{"no key", "/keyed/x", "", 0, http.StatusUnauthorized, ""},
		{"an unknown key", "/keyed/x", "one-of-c", 0, http.StatusUnauthorized, ""},
		{"a key with more behind it", "/keyed/x", "one-of-a ", 0, http.StatusUnauthorized, ""},
		{"a known key, confirmed long ago", "/keyed/x", "one-of-a", 4_499, 0, "a"},
		{"a known key, confirmed too long ago", "/keyed/x", "one-of-a", 4_500, http.StatusServiceUnavailable, ""},
		{"an unknown key, confirmed too long ago: it may be known by now", "/keyed/x", "one-of-c", 4_500, http.StatusServiceUnavailable, ""},
		{"an open route without a key", "/open/x", "", 0, 0, ""},
		{"an open route with an unknown key", "/open/x", "one-of-c", 0, 0, ""},
		{"an open route with a known key", "/open/x", "one-of-a", 0, 0, "a"},
		{"an open route, confirmed too long ago", "/open/x", "", 60_000, 0, ""},
		{"a job, which the core judges", "/jobs/x", "one-of-a", 60_000, 0, "a"},
		{"a job with an unknown key", "/jobs/x", "one-of-c", 0, http.StatusUnauthorized, ""},
		{"no route", "/none/x", "one-of-a", 0, http.StatusNotFound, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newKeyFixture()
			f.set(t, 1, true, team("a", "one-of-a", "two-of-a"), team("b", "one-of-b"))
			f.now += c.age
			entry, refusal := f.server.Authorize("q", "team", c.path, c.key)
			if c.status != 0 {
				require.NotNil(t, refusal)
				require.Equal(t, c.status, refusal.Status)
			} else {
				require.Nil(t, refusal)
				require.Equal(t, c.team, entry.Team.GetName())
				require.True(t, entry.Keyed)
			}
			if c.status == http.StatusServiceUnavailable {
				require.Positive(t, refusal.RetryAfter)
			}
			if c.key != "" {
				require.NotContains(t, f.log.String(), c.key, "a key in the log")
			}
		})
	}
}

func TestATableWithoutTeamsAsksForNoKey(t *testing.T) {
	f := newKeyFixture()
	f.set(t, 1, false)
	f.now += 60_000
	entry, refusal := f.server.Authorize("q", "team", "/keyed/x", "any")
	require.Nil(t, refusal)
	require.False(t, entry.Keyed)
	require.Empty(t, entry.Key)
	require.True(t, f.server.KeysFresh())
}

func TestWithoutAnyTeamNobodyIsLetIn(t *testing.T) {
	f := newKeyFixture()
	f.set(t, 1, true)
	_, refusal := f.server.Authorize("q", "team", "/keyed/x", "any")
	require.Equal(t, http.StatusUnauthorized, refusal.Status)
}

// An operator takes a team's last key away and gives another team one more, in one change.
// The gateway is frozen meanwhile, with requests in its sockets' buffers. When it wakes, its
// timers haven't run yet; the requests that it reads are turned away all the same, until it
// has heard from the core.
func TestAGatewayThatWasFrozenTurnsKeysAway(t *testing.T) {
	f := newKeyFixture()
	f.set(t, 1, true, team("a", "one-of-a"), team("b", "one-of-b"))
	require.True(t, f.server.KeysFresh())
	f.now += 10_000
	for _, key := range []string{"one-of-a", "one-of-b"} {
		_, refusal := f.server.Authorize("q", "team", "/keyed/x", key)
		require.Equal(t, http.StatusServiceUnavailable, refusal.Status)
		require.Equal(t, ReasonKeyUnconfirmed, refusal.Reason)
	}
	require.False(t, f.server.KeysFresh(), "the balancer is told")
	f.set(t, 2, true, team("a"), team("b", "one-of-b", "two-of-b"))
	_, refusal := f.server.Authorize("q", "team", "/keyed/x", "one-of-a")
	require.Equal(t, http.StatusUnauthorized, refusal.Status)
	entry, refusal := f.server.Authorize("q", "team", "/keyed/x", "two-of-b")
	require.Nil(t, refusal)
	require.Equal(t, "b", entry.Team.GetName())
}

func TestCallsAboutJobs(t *testing.T) {
	for _, c := range []struct {
		name, key string
		age       clock.Millis
		status    int
	}{
		{"a known key", "one-of-a", 0, 0},
		{"a known key, confirmed too long ago: the core judges", "one-of-a", 60_000, 0},
		{"an unknown key, confirmed too long ago: the core judges", "one-of-c", 60_000, 0},
		{"an unknown key", "one-of-c", 0, http.StatusUnauthorized},
		{"no key", "", 0, http.StatusUnauthorized},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newKeyFixture()
			f.set(t, 1, true, team("a", "one-of-a"))
			f.now += c.age
			key, refusal := f.server.AuthorizeJobCaller("job", c.key)
			if c.status != 0 {
				require.Equal(t, c.status, refusal.Status)
				return
			}
			require.Nil(t, refusal)
			require.Equal(t, apikey.Bytes(c.key), key)
		})
	}
}
