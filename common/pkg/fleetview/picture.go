package fleetview

import (
	"slices"
	"strings"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Cache is the view that a gateway holds. It is not safe for concurrent use.
type Cache struct{ view *toucanhingev1.FleetView }

// Revision is the one that is held, 0 for none.
func (p *Cache) Revision() uint64 { return p.view.GetRevision() }

// Apply takes over what the leader told, and returns the whole. Differences to another view than
// the one held can't be used: ok is false then, nothing is held any more, and the next answer
// is the whole.
func (p *Cache) Apply(told *toucanhingev1.FleetView) (whole *toucanhingev1.FleetView, ok bool) {
	if told.GetSince() == 0 {
		p.view = told
		return told, true
	}
	if p.view == nil || told.GetSince() != p.view.GetRevision() {
		p.view = nil
		return nil, false
	}
	p.view = &toucanhingev1.FleetView{
		Revision: told.GetRevision(), CoreAddresses: told.GetCoreAddresses(),
		Runners:     laidOver(p.view.GetRunners(), told.GetRunners(), told.GetGoneRunners(), (*toucanhingev1.Runner).GetId),
		DigestPeers: laidOver(p.view.GetDigestPeers(), told.GetDigestPeers(), told.GetGonePeers(), (*toucanhingev1.DigestPeer).GetAddress),
	}
	return p.view, true
}

// laidOver lists what was, with what changed in its place and without what is gone, by name.
func laidOver[T any](before, changed []T, gone []string, name func(T) string) []T {
	replaced := make(map[string]bool, len(changed)+len(gone))
	for _, c := range changed {
		replaced[name(c)] = true
	}
	for _, g := range gone {
		replaced[g] = true
	}
	list := slices.Clone(changed)
	for _, b := range before {
		if !replaced[name(b)] {
			list = append(list, b)
		}
	}
	slices.SortFunc(list, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	return list
}
