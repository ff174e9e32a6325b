// Package fleetconfig holds the configuration that daemons work with: data centres, links, services, teams,
// contracts and the endpoints behind the sidecars. A Fleet is one version of it and immutable.
package fleetconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Key identifies an entry of the configuration.
type Key struct {
	Kind toucanhingev1.Kind
	Name string
}

// Fleet is one version of the configuration with indexes for the look-ups of daemons.
type Fleet struct {
	Version uint64

	entries   map[Key]*toucanhingev1.Entry
	teams     map[string]Team
	contracts map[pair]Contract
	links     map[pair]uint32
	endpoints map[string][]Endpoint
	gateways  int
}

type pair struct{ first, second string }

// Team is a customer with the limits that each gateway enforces for it.
type Team struct {
	Name string
	*toucanhingev1.TeamRecord
}

// Contract permits a team to use a service.
type Contract struct {
	Name string
	*toucanhingev1.Contract
}

// Allows reports whether the contract permits work in a data centre.
func (c Contract) Allows(dataCentre string) bool {
	if len(c.DataCentres) == 0 {
		return true
	}
	for _, d := range c.DataCentres {
		if d == dataCentre {
			return true
		}
	}
	return false
}

// Service is a model or a plain service.
type Service struct {
	Name string
	*toucanhingev1.Service
}

// Endpoint is a back end behind a sidecar.
type Endpoint struct {
	Name        string
	Address     string
	VM          string
	DataCentre  string
	Service     string
	Incarnation uint64
	Slots       int
	Draining    bool
}

// Empty returns the fleet before any configuration is known.
func Empty() *Fleet {
	return build(0, map[Key]*toucanhingev1.Entry{})
}

// With returns a new version of the fleet: the entries of f with the changes applied, or only the
// given entries if they are the whole configuration.
func (f *Fleet) With(version uint64, whole bool, changed []*toucanhingev1.Entry) *Fleet {
	entries := make(map[Key]*toucanhingev1.Entry, len(f.entries)+len(changed))
	if !whole {
		for k, e := range f.entries {
			entries[k] = e
		}
	}
	for _, e := range changed {
		k := Key{Kind: e.GetKind(), Name: e.GetName()}
		if e.GetRemoved() {
			delete(entries, k)
			continue
		}
		entries[k] = e
	}
	return build(version, entries)
}

func build(version uint64, entries map[Key]*toucanhingev1.Entry) *Fleet {
	f := &Fleet{
		Version:   version,
		entries:   entries,
		teams:     map[string]Team{},
		contracts: map[pair]Contract{},
		links:     map[pair]uint32{},
		endpoints: map[string][]Endpoint{},
	}
	for _, e := range entries {
		f.index(e)
	}
	for _, list := range f.endpoints {
		sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	}
	return f
}

func (f *Fleet) index(e *toucanhingev1.Entry) {
	switch e.GetKind() {
	case toucanhingev1.Kind_KIND_TEAM:
		for _, hash := range e.GetTeam().GetKeyHashes() {
			f.teams[hash] = Team{Name: e.GetName(), TeamRecord: e.GetTeam()}
		}
	case toucanhingev1.Kind_KIND_CONTRACT:
		c := e.GetContract()
		f.contracts[pair{c.GetTeam(), c.GetService()}] = Contract{Name: e.GetName(), Contract: c}
	case toucanhingev1.Kind_KIND_LINK:
		l := e.GetLink()
		f.links[pair{l.GetFrom(), l.GetTo()}] = l.GetLatencyUs()
		f.links[pair{l.GetTo(), l.GetFrom()}] = l.GetLatencyUs()
	case toucanhingev1.Kind_KIND_MEMBER:
		f.indexMember(e.GetName(), e.GetMember())
	}
}

func (f *Fleet) indexMember(name string, m *toucanhingev1.Member) {
	if m.GetState() == toucanhingev1.MemberState_MEMBER_STATE_DEAD {
		return
	}
	if m.GetRole() == toucanhingev1.Role_ROLE_GATEWAY {
		f.gateways++
		return
	}
	if m.GetRole() != toucanhingev1.Role_ROLE_SIDECAR {
		return
	}
	f.endpoints[m.GetService()] = append(f.endpoints[m.GetService()], Endpoint{
		Name:        name,
		Address:     m.GetAddress(),
		VM:          m.GetVm(),
		DataCentre:  m.GetDataCentre(),
		Service:     m.GetService(),
		Incarnation: m.GetIncarnation(),
		Slots:       int(m.GetSlots()),
		Draining:    m.GetState() == toucanhingev1.MemberState_MEMBER_STATE_LEAVING || f.drained(name, m.GetVm()),
	})
}

func (f *Fleet) drained(name, vm string) bool {
	_, byName := f.Entry(toucanhingev1.Kind_KIND_DRAIN, name)
	_, byVM := f.Entry(toucanhingev1.Kind_KIND_DRAIN, vm)
	return byName || byVM
}

// Entry returns the entry with the given kind and name.
func (f *Fleet) Entry(kind toucanhingev1.Kind, name string) (*toucanhingev1.Entry, bool) {
	e, found := f.entries[Key{Kind: kind, Name: name}]
	return e, found
}

// Drained reports whether an operator drains this process or its VM.
func (f *Fleet) Drained(name, vm string) bool {
	return f.drained(name, vm)
}

// TeamByKey returns the team that a caller's key belongs to.
func (f *Fleet) TeamByKey(key string) (Team, bool) {
	d, found := f.teams[HashKey(key)]
	return d, found
}

// HashKey returns the stored form of a team's key: its SHA-256 hash in hexadecimal.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Contract returns the contract that permits a team to use a service.
func (f *Fleet) Contract(team, service string) (Contract, bool) {
	c, found := f.contracts[pair{team, service}]
	return c, found
}

// Service returns the service with the given name.
func (f *Fleet) Service(name string) (Service, bool) {
	e, found := f.Entry(toucanhingev1.Kind_KIND_SERVICE, name)
	if !found {
		return Service{}, false
	}
	return Service{Name: name, Service: e.GetService()}, true
}

// Services returns all services, sorted by name.
func (f *Fleet) Services() []Service {
	var all []Service
	for k, e := range f.entries {
		if k.Kind == toucanhingev1.Kind_KIND_SERVICE {
			all = append(all, Service{Name: k.Name, Service: e.GetService()})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// ServiceByModel returns the service that serves a model. The name of the service is accepted in
// place of the model's name.
func (f *Fleet) ServiceByModel(model string) (Service, bool) {
	for _, s := range f.Services() {
		if s.GetModel() == model && model != "" {
			return s, true
		}
	}
	return f.Service(model)
}

// Endpoints returns the endpoints of a service, sorted by name. The slice is shared and must not be
// modified.
func (f *Fleet) Endpoints(service string) []Endpoint {
	return f.endpoints[service]
}

// Gateways returns the number of gateways among the members.
func (f *Fleet) Gateways() int {
	return f.gateways
}

// LatencyUS returns the usual one-way latency between two data centres in microseconds: 0 within a
// data centre, and unknownLatencyUS if no link is configured.
func (f *Fleet) LatencyUS(from, to string) uint32 {
	if from == to {
		return 0
	}
	if latency, found := f.links[pair{from, to}]; found {
		return latency
	}
	return unknownLatencyUS
}

// unknownLatencyUS is assumed where no link is configured: a distant but usable data centre.
const unknownLatencyUS = 5_000
