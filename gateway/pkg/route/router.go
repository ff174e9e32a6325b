// Package route decides which endpoint gets a request. It knows endpoints from
// what they say of themselves, which is stale, and from what became of the
// requests sent there, which is not. It is a plain state machine.
package route

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"toucanhinge.example/common/pkg/clock"
)

// Policy names a way of choosing.
type Policy string

// Policies; all but the first are baselines to measure against.
const (
	PolicyDefault     Policy = "ours"
	PolicyRandom   Policy = "random"
	PolicyLeastLoaded    Policy = "least"
	PolicyTwoChoices      Policy = "two"
	PolicyAffinity Policy = "affinity"
)

// Config describes a router.
type Config struct {
	Gateway string
	Policy  Policy
	// SubsetSize is the most endpoints of a service that are used.
	SubsetSize int
	// LoadBound is the load above the mean up to which a prompt's preferred endpoint is kept.
	LoadBound float64
	// MaxFailures in a row that eject.
	MaxFailures int
	// MinEjection is the first ejection, EjectMost the longest, spans.
	MinEjection     clock.Millis
	MaxEjection clock.Millis
	// OutlierFactor ejects above this factor of the peers' median time to the first piece; 0 is off.
	OutlierFactor float64
	// SlowStart is the span over which a returning endpoint gets its full share.
	SlowStart clock.Millis
	// PollInterval is the age of a load at which it is asked for again, a span.
	PollInterval clock.Millis
	// MaxPollRate is the most loads asked for in a second, over all services.
	MaxPollRate int
	Random  *rand.Rand
}

// Router holds the endpoints that one gateway uses. It is not safe for concurrent use.
type Router struct {
	config Config
	states map[string]*state
	pools  map[string][]*state
	// asked is when a service was last asked for, for its reports.
	asked map[string]clock.Millis
}

// New makes a router without endpoints.
func New(config Config) *Router {
	return &Router{config: config, states: map[string]*state{}, pools: map[string][]*state{}, asked: map[string]clock.Millis{}}
}

// SetEndpoints replaces the endpoints of one service. What is known of one that
// stays is kept, unless it is a new process.
func (r *Router) SetEndpoints(service string, endpoints []Endpoint) {
	before := r.pools[service]
	var pool []*state
	for _, e := range Subset(r.config.Gateway, endpoints, r.config.SubsetSize) {
		s, found := r.states[e.Name]
		if !found || s.Incarnation != e.Incarnation || s.Address != e.Address {
			s = &state{hash: xxhash.Sum64String(e.Name)}
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

// Services returns the services that have a pool, by name.
func (r *Router) Services() []string {
	var names []string
	for name := range r.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Address is where an endpoint's sidecar listens; false when it is not used.
func (r *Router) Address(endpoint string) (string, bool) {
	s, found := r.states[endpoint]
	if !found {
		return "", false
	}
	return s.Address, true
}

// Addresses of all endpoints that are used.
func (r *Router) Addresses() map[string]bool {
	used := make(map[string]bool, len(r.states))
	for _, s := range r.states {
		used[s.Address] = true
	}
	return used
}

// Subset picks the endpoints that one gateway uses, of each data centre its
// part. Every gateway and every endpoint of a large fleet would otherwise hold
// a connection and exchange reports. Rendezvous hashing spreads the choices
// evenly, and one endpoint's coming or going moves only the gateways it has.
func Subset(gateway string, endpoints []Endpoint, size int) []Endpoint {
	if len(endpoints) <= size {
		return endpoints
	}
	salt := xxhash.Sum64String(gateway)
	centres := map[string][]Endpoint{}
	for _, e := range endpoints {
		centres[e.DataCentre] = append(centres[e.DataCentre], e)
	}
	var chosen []Endpoint
	for _, group := range centres {
		share := (size*len(group) + len(endpoints) - 1) / len(endpoints)
		slices.SortFunc(group, func(a, b Endpoint) int {
			return compare(mix(salt, xxhash.Sum64String(b.Name)), mix(salt, xxhash.Sum64String(a.Name)))
		})
		chosen = append(chosen, group[:min(share, len(group))]...)
	}
	slices.SortFunc(chosen, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return chosen
}

// mix joins two hashes into one that is spread evenly.
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
