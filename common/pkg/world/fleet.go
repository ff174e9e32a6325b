// Package world mirrors what the configuration describes: data centres, links,
// services, teams, contracts and the endpoints behind the sidecars. A Fleet is
// one version of all that; it is built once and only read afterwards.
package world

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Key names one entry of the configuration.
type Key struct {
	Kind toucanhingev1.Kind
	Name string
}

// Fleet is one version of the configuration with the look-ups that daemons need.
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

// Team is a customer, with the limits that each gateway keeps for it.
type Team struct {
	Name string
	*toucanhingev1.TeamRecord
}

// Contract lets a team use a service.
type Contract struct {
	Name string
	*toucanhingev1.Contract
}

// Allows says whether the contract lets work run in a data centre.
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

// Endpoint is one back end with the sidecar before it.
type Endpoint struct {
	Name        string
	Address     string
	VM          string
	DataCentre  string
	Service     string
	Incarnation uint64
	Slots       int
	Draining     bool
}

// Empty is the fleet before any configuration is known.
func Empty() *Fleet {
	return build(0, map[Key]*toucanhingev1.Entry{})
}

// With returns the next version: this one with the changed entries laid over,
// or the given entries alone when they are the whole.
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
		Draining:     m.GetState() == toucanhingev1.MemberState_MEMBER_STATE_LEAVING || f.drained(name, m.GetVm()),
	})
}

func (f *Fleet) drained(name, vm string) bool {
	_, byName := f.Entry(toucanhingev1.Kind_KIND_DRAIN, name)
	_, byVM := f.Entry(toucanhingev1.Kind_KIND_DRAIN, vm)
	return byName || byVM
}

// Entry looks one entry up.
func (f *Fleet) Entry(kind toucanhingev1.Kind, name string) (*toucanhingev1.Entry, bool) {
	e, found := f.entries[Key{Kind: kind, Name: name}]
	return e, found
}

// Drained says whether an operator asked this process or its VM to leave.
func (f *Fleet) Drained(name, vm string) bool {
	return f.drained(name, vm)
}

// TeamByKey finds the team that a caller's key belongs to.
func (f *Fleet) TeamByKey(key string) (Team, bool) {
	d, found := f.teams[HashKey(key)]
	return d, found
}

// HashKey is how a team's key is stored: hex SHA-256.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Contract finds what lets a team use a service.
func (f *Fleet) Contract(team, service string) (Contract, bool) {
	c, found := f.contracts[pair{team, service}]
	return c, found
}

// Service finds a service by its name.
func (f *Fleet) Service(name string) (Service, bool) {
	e, found := f.Entry(toucanhingev1.Kind_KIND_SERVICE, name)
	if !found {
		return Service{}, false
	}
	return Service{Name: name, Service: e.GetService()}, true
}

// Services returns all services, by name.
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

// ServiceByModel finds the service that serves a model name; the service's own
// name is accepted too.
func (f *Fleet) ServiceByModel(model string) (Service, bool) {
	for _, s := range f.Services() {
		if s.GetModel() == model && model != "" {
			return s, true
		}
	}
	return f.Service(model)
}

// Endpoints returns the endpoints of a service, by name. The slice is shared: don't change it.
func (f *Fleet) Endpoints(service string) []Endpoint {
	return f.endpoints[service]
}

// Gateways is how many gateways are members now.
func (f *Fleet) Gateways() int {
	return f.gateways
}

// LatencyUS is the usual one-way time between two data centres in
// microseconds; 0 within one, and unknownLatencyUS when no link is configured.
func (f *Fleet) LatencyUS(from, to string) uint32 {
	if from == to {
		return 0
	}
	if latency, found := f.links[pair{from, to}]; found {
		return latency
	}
	return unknownLatencyUS
}

// unknownLatencyUS stands for a link that nobody described: far, but usable.
const unknownLatencyUS = 5_000
