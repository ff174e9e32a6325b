// Package routing implements the routing table. It maps the host and path of a request to a service,
// and states how the request may be handled and which teams may send it. A Table is built once from
// the operator's configuration and immutable afterwards.
package routing

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/apikey"
	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// ErrInvalid is wrapped by every error about an invalid table.
var ErrInvalid = errors.New("the routing table is invalid")

// Table is one version of the routing table.
type Table struct {
	Version uint64
	Limits  *toucanhingev1.CallerLimits

	wire   *toucanhingev1.RoutingTable
	byHost map[string][]Route
	byKey  map[apikey.Hash]Team
	// openJobs is set if some route accepts jobs without a key.
	openJobs bool
	weights  teamWeights
}

// Route is one entry of the table.
type Route struct {
	*toucanhingev1.Route
}

// Repeatable reports whether a request may run more than once. A stream may if another runner can
// resume it after its last event.
func (r Route) Repeatable() bool {
	return r.Kind == toucanhingev1.RouteKind_ROUTE_KIND_IDEMPOTENT || r.Streams() && r.Resumable
}

// Streams reports whether answers are streams of numbered events.
func (r Route) Streams() bool { return r.Kind == toucanhingev1.RouteKind_ROUTE_KIND_STREAM }

// Batch reports whether the route accepts jobs.
func (r Route) Batch() bool { return r.Kind == toucanhingev1.RouteKind_ROUTE_KIND_BATCH }

// TimeLimit returns the longest time that a request may wait.
func (r Route) TimeLimit() clock.Millis { return clock.Millis(r.TimeLimitMs) }

// Objective returns the target time to an answer or, for a stream, to its first event. An answer
// within it earns full credit.
func (r Route) Objective() clock.Millis { return clock.Millis(r.ObjectiveMs) }

// Service selects one of the route's services by weight; draw is a random number in [0, 1).
func (r Route) Service(draw float64) string {
	total := uint32(0)
	for _, s := range r.Shares {
		total += s.GetWeight()
	}
	point := uint32(draw * float64(total))
	for _, s := range r.Shares {
		if point < s.GetWeight() {
			return s.GetService()
		}
		point -= s.GetWeight()
	}
	return ""
}

// Services returns the names of the route's services with a weight above 0.
func (r Route) Services() []string {
	var names []string
	for _, s := range r.Shares {
		if s.GetWeight() > 0 && !slices.Contains(names, s.GetService()) {
			names = append(names, s.GetService())
		}
	}
	return names
}

// New validates a table and builds its indexes.
func New(wire *toucanhingev1.RoutingTable) (*Table, error) {
	if err := validate(wire); err != nil {
		return nil, err
	}
	t := &Table{Version: wire.GetVersion(), Limits: wire.GetLimits(), wire: wire, byHost: map[string][]Route{}, byKey: map[apikey.Hash]Team{}}
	for _, r := range wire.GetRoutes() {
		host := strings.ToLower(r.GetHost())
		t.byHost[host] = append(t.byHost[host], Route{r})
	}
	for _, routes := range t.byHost {
		slices.SortFunc(routes, func(a, b Route) int { return len(b.GetPrefix()) - len(a.GetPrefix()) })
	}
	t.addTeams()
	return t, nil
}

// Wire returns the table in the form that the core stores, with the operator's document.
func (t *Table) Wire() *toucanhingev1.RoutingTable { return t.wire }

// HealthPath returns the path at which the runners of a service tell whether they are healthy, empty if there is none.
func (t *Table) HealthPath(service string) string {
	for _, s := range t.wire.GetServices() {
		if s.GetName() == service {
			return s.GetHealthPath()
		}
	}
	return ""
}

// WithoutDocument returns the table in the form that is sent to gateways. They don't need the
// operator's document, which is longer than the rest and contains the teams' keys.
func (t *Table) WithoutDocument() *toucanhingev1.RoutingTable {
	w := t.wire
	return &toucanhingev1.RoutingTable{
		Version: w.GetVersion(), Routes: w.GetRoutes(), Services: w.GetServices(), Limits: w.GetLimits(),
		Teams: w.GetTeams(), Keyed: w.GetKeyed(),
	}
}

// Match returns the route of a host with the longest prefix of the path.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.GetPrefix()) {
			return r, true
		}
	}
	return Route{}, false
}

// PathOf returns a request's target without its query.
func PathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

func validate(wire *toucanhingev1.RoutingTable) error {
	known := map[string]bool{}
	for _, s := range wire.GetServices() {
		if s.GetName() == "" || known[s.GetName()] {
			return fmt.Errorf("%w: service %q has no name or stands twice", ErrInvalid, s.GetName())
		}
		known[s.GetName()] = true
	}
	type match struct{ host, prefix string }
	taken := map[match]bool{}
	for _, r := range wire.GetRoutes() {
		if err := validateRoute(r, known); err != nil {
			return err
		}
		m := match{strings.ToLower(r.GetHost()), r.GetPrefix()}
		if taken[m] {
			return fmt.Errorf("%w: two routes have host %q and prefix %q", ErrInvalid, m.host, m.prefix)
		}
		taken[m] = true
	}
	return validateTeams(wire)
}

func validateRoute(r *toucanhingev1.Route, known map[string]bool) error {
	switch {
	case r.GetHost() == "":
		return fmt.Errorf("%w: route %q has no host", ErrInvalid, r.GetName())
	case !strings.HasPrefix(r.GetPrefix(), "/") || !strings.HasSuffix(r.GetPrefix(), "/"):
		return fmt.Errorf("%w: the prefix of route %q doesn't begin and end with a slash", ErrInvalid, r.GetName())
	case r.GetKind() == toucanhingev1.RouteKind_ROUTE_KIND_UNSPECIFIED:
		return fmt.Errorf("%w: the kind of route %q is unknown", ErrInvalid, r.GetName())
	case r.GetTimeLimitMs() == 0:
		return fmt.Errorf("%w: the time limit of route %q is 0", ErrInvalid, r.GetName())
	}
	total := uint32(0)
	for _, s := range r.GetShares() {
		if !known[s.GetService()] {
			return fmt.Errorf("%w: route %q names the unknown service %q", ErrInvalid, r.GetName(), s.GetService())
		}
		total += s.GetWeight()
	}
	if total == 0 {
		return fmt.Errorf("%w: the weights of route %q add up to 0", ErrInvalid, r.GetName())
	}
	return nil
}
