// Package route decides which endpoint gets a request. It uses the loads that endpoints report,
// which may be stale, and the outcomes of the gateway's own requests, which are current. The
// router is a state machine without I/O.
package route

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"toucanhinge.example/common/pkg/clock"
)

// Policy names a way to select endpoints.
type Policy string

// Policies. All but PolicyDefault are baselines for comparisons.
const (
	PolicyDefault     Policy = "ours"
	PolicyRandom      Policy = "random"
	PolicyLeastLoaded Policy = "least"
	PolicyTwoChoices  Policy = "two"
	PolicyAffinity    Policy = "affinity"
)

// Config holds the policy and the limits of a Router.
type Config struct {
	Gateway string
	Policy  Policy
	// SubsetSize is the maximum number of endpoints of a service that the gateway uses.
	SubsetSize int
	// LoadBound is the multiple of the mean load up to which a prompt's preferred endpoint is used.
	LoadBound float64
	// MaxFailures is the number of consecutive failures that eject an endpoint.
	MaxFailures int
	// MinEjection is the duration of the first ejection; it doubles up to MaxEjection.
	MinEjection clock.Millis
	MaxEjection clock.Millis
	// OutlierFactor is the multiple of the peers' median time to the first chunk from which an
	// endpoint is ejected; 0 disables it.
	OutlierFactor float64
	// SlowStart is the time over which a returning endpoint ramps up to its full share.
	SlowStart clock.Millis
	// PollInterval is the age of a load report at which the endpoint is polled.
	PollInterval clock.Millis
	// MaxPollRate is the maximum number of polls a second over all services.
	MaxPollRate int
	Random      *rand.Rand
}

// Router holds the state of the endpoints that one gateway uses. It is not safe for concurrent use.
type Router struct {
	config Config
	states map[string]*endpointState
	pools  map[string][]*endpointState
	// requestedAt is the time of the last request for each service.
	requestedAt map[string]clock.Millis
}

// New returns a router without endpoints.
func New(config Config) *Router {
	return &Router{
		config: config, states: map[string]*endpointState{}, pools: map[string][]*endpointState{},
		requestedAt: map[string]clock.Millis{},
	}
}

// SetEndpoints replaces the endpoints of one service. An endpoint that stays retains its
// state, unless its incarnation or address changed.
func (r *Router) SetEndpoints(service string, endpoints []Endpoint) {
	before := r.pools[service]
	var pool []*endpointState
	for _, e := range Subset(r.config.Gateway, endpoints, r.config.SubsetSize) {
		s, found := r.states[e.Name]
		if !found || s.Incarnation != e.Incarnation || s.Address != e.Address {
			s = &endpointState{hash: xxhash.Sum64String(e.Name)}
			r.states[e.Name] = s
		}
		s.Endpoint = e
		pool = append(pool, s)
	}
	r.pools[service] = pool
	for _, s := range before {
		if r.states[s.Name] == s && !slices.Contains(pool, s) {
			delete(r.states, s.Name)
		}
	}
}

// Services returns the names of the services that have a pool, sorted.
func (r *Router) Services() []string {
	var names []string
	for name := range r.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Address returns the address of an endpoint's sidecar, and false when this gateway does not use the endpoint.
func (r *Router) Address(endpoint string) (string, bool) {
	s, found := r.states[endpoint]
	if !found {
		return "", false
	}
	return s.Address, true
}

// Addresses returns the sidecar addresses of all endpoints that this gateway uses.
func (r *Router) Addresses() map[string]bool {
	used := make(map[string]bool, len(r.states))
	for _, s := range r.states {
		used[s.Address] = true
	}
	return used
}

// Subset selects the endpoints that one gateway uses, from each data centre in proportion to its
// endpoints. Otherwise every gateway of a large fleet would have a connection to every endpoint
// and poll it. Rendezvous hashing spreads the selection evenly, and an endpoint that is added
// or removed affects only the gateways that use it.
func Subset(gateway string, endpoints []Endpoint, size int) []Endpoint {
	if len(endpoints) <= size {
		return endpoints
	}
	salt := xxhash.Sum64String(gateway)
	byDataCentre := map[string][]Endpoint{}
	for _, e := range endpoints {
		byDataCentre[e.DataCentre] = append(byDataCentre[e.DataCentre], e)
	}
	var selected []Endpoint
	for _, group := range byDataCentre {
		share := (size*len(group) + len(endpoints) - 1) / len(endpoints)
		slices.SortFunc(group, func(a, b Endpoint) int {
			return compare(mix(salt, xxhash.Sum64String(b.Name)), mix(salt, xxhash.Sum64String(a.Name)))
		})
		selected = append(selected, group[:min(share, len(group))]...)
	}
	slices.SortFunc(selected, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return selected
}

// mix combines two hashes into an evenly distributed one.
func mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func compare(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
