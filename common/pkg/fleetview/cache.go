package fleetview

import (
	"slices"
	"strings"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Cache holds the fleet view of a gateway. It is not safe for concurrent use.
type Cache struct{ view *toucanhingev1.FleetView }

// Revision returns the revision of the stored view, 0 for none.
func (c *Cache) Revision() uint64 { return c.view.GetRevision() }

// Apply applies a full view or differences from the leader and returns the full view. Differences
// that don't refer to the stored view can't be applied: Apply then discards the stored view, so that
// the next reply is a full view, and returns false.
func (c *Cache) Apply(update *toucanhingev1.FleetView) (full *toucanhingev1.FleetView, ok bool) {
	if update.GetSince() == 0 {
		c.view = update
		return update, true
	}
	if c.view == nil || update.GetSince() != c.view.GetRevision() {
		c.view = nil
		return nil, false
	}
	c.view = &toucanhingev1.FleetView{
		Revision: update.GetRevision(), CoreAddresses: update.GetCoreAddresses(),
		Runners:     merge(c.view.GetRunners(), update.GetRunners(), update.GetGoneRunners(), (*toucanhingev1.Runner).GetId),
		DigestPeers: merge(c.view.GetDigestPeers(), update.GetDigestPeers(), update.GetGonePeers(), (*toucanhingev1.DigestPeer).GetAddress),
	}
	return c.view, true
}

// merge returns the old entries with the changed ones replaced or added and the removed ones left
// out, sorted by name.
func merge[T any](old, changed []T, removed []string, name func(T) string) []T {
	replaced := make(map[string]bool, len(changed)+len(removed))
	for _, entry := range changed {
		replaced[name(entry)] = true
	}
	for _, r := range removed {
		replaced[r] = true
	}
	list := slices.Clone(changed)
	for _, entry := range old {
		if !replaced[name(entry)] {
			list = append(list, entry)
		}
	}
	slices.SortFunc(list, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	return list
}
