package routing

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/seed"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

func TestMain(m *testing.M) { seed.Main(m, 11) }

func validTable() *toucanhingev1.RoutingTable {
	return &toucanhingev1.RoutingTable{
		Version:  3,
		Services: []*toucanhingev1.RoutedService{{Name: "llm"}, {Name: "other"}},
		Routes: []*toucanhingev1.Route{
			{
				Name: "all", Host: "service.example", Prefix: "/", Kind: toucanhingev1.RouteKind_ROUTE_KIND_IDEMPOTENT, TimeLimitMs: 100,
				Shares: []*toucanhingev1.RouteShare{{Service: "llm", Weight: 1}},
			},
			{
				Name: "part", Host: "service.example", Prefix: "/a/", Kind: toucanhingev1.RouteKind_ROUTE_KIND_STREAM, TimeLimitMs: 100, Resumable: true,
				Shares: []*toucanhingev1.RouteShare{{Service: "llm", Weight: 9}, {Service: "other", Weight: 1}},
			},
		},
	}
}

func TestNewRefusesInvalidTables(t *testing.T) {
	for _, c := range []struct {
		name   string
		modify func(*toucanhingev1.RoutingTable)
	}{
		{"unknown service", func(w *toucanhingev1.RoutingTable) { w.Routes[0].Shares[0].Service = "gone" }},
		{"two routes with the same host and prefix", func(w *toucanhingev1.RoutingTable) { w.Routes[1].Prefix = "/" }},
		{"two routes with the same host and prefix, hosts differ in case", func(w *toucanhingev1.RoutingTable) {
			w.Routes[1].Prefix, w.Routes[1].Host = "/", "SERVICE.example"
		}},
		{"weights add up to 0", func(w *toucanhingev1.RoutingTable) { w.Routes[0].Shares[0].Weight = 0 }},
		{"no service", func(w *toucanhingev1.RoutingTable) { w.Routes[0].Shares = nil }},
		{"time limit 0", func(w *toucanhingev1.RoutingTable) { w.Routes[0].TimeLimitMs = 0 }},
		{"prefix without leading slash", func(w *toucanhingev1.RoutingTable) { w.Routes[1].Prefix = "a/" }},
		{"prefix without trailing slash", func(w *toucanhingev1.RoutingTable) { w.Routes[1].Prefix = "/a" }},
		{"no host", func(w *toucanhingev1.RoutingTable) { w.Routes[1].Host = "" }},
		{"no kind", func(w *toucanhingev1.RoutingTable) { w.Routes[1].Kind = 0 }},
		{"service twice", func(w *toucanhingev1.RoutingTable) { w.Services[1].Name = "llm" }},
		{"service without a name", func(w *toucanhingev1.RoutingTable) { w.Services[1].Name = "" }},
	} {
		t.Run(c.name, func(t *testing.T) {
			wire := validTable()
			c.modify(wire)
			_, err := New(wire)
			require.ErrorIs(t, err, ErrInvalid)
		})
	}
	_, err := New(validTable())
	require.NoError(t, err)
}

func TestMatch(t *testing.T) {
	table, err := New(validTable())
	require.NoError(t, err)
	for _, c := range []struct{ host, path, want string }{
		{"service.example", "/", "all"},
		{"service.example", "/a", "all"},
		{"service.example", "/a/", "part"},
		{"service.example", "/a/b", "part"},
		{"SERVICE.EXAMPLE", "/a/b", "part"},
		{"service.example", "/ab/", "all"},
		{"other.example", "/a/", ""},
		{"", "/a/", ""},
		{"service.example", "", ""},
	} {
		route, found := table.Match(c.host, c.path)
		require.Equal(t, c.want != "", found, "%s%s", c.host, c.path)
		if found {
			require.Equal(t, c.want, route.Name, "%s%s", c.host, c.path)
		}
	}
	require.Equal(t, "/a/b", PathOf("/a/b?c=/d/"))
}

func TestServiceSelectsByWeight(t *testing.T) {
	table, err := New(validTable())
	require.NoError(t, err)
	route, _ := table.Match("service.example", "/a/")
	require.Equal(t, "llm", route.Service(0))
	require.Equal(t, "llm", route.Service(0.899))
	require.Equal(t, "other", route.Service(0.9))
	require.Equal(t, "other", route.Service(0.999999))
	require.Equal(t, []string{"llm", "other"}, route.Services())
}

func TestRepeatable(t *testing.T) {
	for _, c := range []struct {
		kind      toucanhingev1.RouteKind
		resumable bool
		want      bool
	}{
		{toucanhingev1.RouteKind_ROUTE_KIND_IDEMPOTENT, false, true},
		{toucanhingev1.RouteKind_ROUTE_KIND_NON_IDEMPOTENT, false, false},
		{toucanhingev1.RouteKind_ROUTE_KIND_NON_IDEMPOTENT, true, false},
		{toucanhingev1.RouteKind_ROUTE_KIND_STREAM, false, false},
		{toucanhingev1.RouteKind_ROUTE_KIND_STREAM, true, true},
	} {
		route := Route{&toucanhingev1.Route{Kind: c.kind, Resumable: c.resumable}}
		require.Equal(t, c.want, route.Repeatable(), "%v %v", c.kind, c.resumable)
	}
}

// TestRapidLongestPrefixWins compares Match with a linear search through all prefixes.
func TestRapidLongestPrefixWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.SampledFrom([]string{"a", "b", "ab", "a/b", "b/a"})
		wire := validTable()
		wire.Routes = wire.Routes[:0]
		used := map[string]bool{}
		for _, p := range rapid.SliceOf(part).Draw(t, "prefixes") {
			prefix := "/" + p + "/"
			if used[prefix] {
				continue
			}
			used[prefix] = true
			r, ok := proto.Clone(validTable().Routes[0]).(*toucanhingev1.Route)
			require.True(t, ok)
			r.Name, r.Prefix = prefix, prefix
			wire.Routes = append(wire.Routes, r)
		}
		table, err := New(wire)
		require.NoError(t, err)
		path := "/" + strings.Join(rapid.SliceOf(part).Draw(t, "path"), "/") + "/"
		want := ""
		for prefix := range used {
			if strings.HasPrefix(path, prefix) && len(prefix) > len(want) {
				want = prefix
			}
		}
		route, found := table.Match("service.example", path)
		require.Equal(t, want != "", found)
		if found {
			require.Equal(t, want, route.Name)
		}
	})
}
