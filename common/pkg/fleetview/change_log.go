// Package fleetview computes the differences between the fleet view that a gateway has and the
// current one.
//
// It is designed for hundreds of gateways and hundreds of runners, where some runner starts or stops
// all the time. Full views sent to each gateway at each change would be most of the traffic of the
// core's leader. Each view has a revision. The leader sends a gateway the runners and daemons that
// changed since the gateway's revision. A gateway with a view of another leader, or with a view that
// is too old, gets the full view.
//
// The package holds no goroutine, socket or clock.
package fleetview

import (
	"slices"

	"google.golang.org/protobuf/proto"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// maxRemoved limits the stored names of removed runners and daemons. A gateway that missed more
// removals gets the full view.
const maxRemoved = 1_000

// maxApplied limits the remembered revisions. A gateway with an older one gets the full view.
const maxApplied = 256

// ChangeLog records the revision at which each runner and daemon changed, during one leader's term.
// The zero value has no view. It is not safe for concurrent use.
type ChangeLog struct {
	current *toucanhingev1.FleetView
	// applied holds the revisions that can be updated with differences. A gateway may have received
	// another revision from elsewhere: two changes may be applied here as one, and the differences
	// to the revision in between are unknown.
	applied []uint64
	runners changeRecord
	peers   changeRecord
}

// changeRecord holds revisions by name: of the last change of each entry and of the removal of each
// removed entry.
type changeRecord struct{ changed, removed map[string]uint64 }

func newChangeRecord() changeRecord {
	return changeRecord{changed: map[string]uint64{}, removed: map[string]uint64{}}
}

// Revision returns the revision of the last applied view, 0 for none.
func (l *ChangeLog) Revision() uint64 { return l.current.GetRevision() }

// Apply records the next view, which must not be modified afterwards. Its revision must be higher
// than those of the previous views.
func (l *ChangeLog) Apply(view *toucanhingev1.FleetView) {
	old := l.current
	l.current = view
	if old == nil {
		l.reset()
		return
	}
	revision := view.GetRevision()
	l.applied = append(l.applied[max(len(l.applied)+1-maxApplied, 0):], revision)
	recorded := l.runners.recordChanges(revision, runnersOf(old), runnersOf(view)) &&
		l.peers.recordChanges(revision, peersOf(old), peersOf(view))
	if !recorded || len(l.runners.removed)+len(l.peers.removed) > maxRemoved {
		l.reset()
	}
}

// reset discards the changes before the current view.
func (l *ChangeLog) reset() {
	l.applied = []uint64{l.current.GetRevision()}
	l.runners, l.peers = newChangeRecord(), newChangeRecord()
}

// Since returns the view to send to a gateway at revision known: differences if the
// gateway can read them, else the full view, and nil if the gateway is up to date.
func (l *ChangeLog) Since(known uint64, readsDifferences bool) *toucanhingev1.FleetView {
	switch {
	case l.current == nil || known == l.current.GetRevision():
		return nil
	case !readsDifferences || !slices.Contains(l.applied, known):
		return l.current
	}
	v := &toucanhingev1.FleetView{
		Revision: l.current.GetRevision(), Since: known, CoreAddresses: l.current.GetCoreAddresses(),
		GoneRunners: l.runners.removedSince(known), GonePeers: l.peers.removedSince(known),
	}
	for _, r := range l.current.GetRunners() {
		if l.runners.changed[r.GetId()] > known {
			v.Runners = append(v.Runners, r)
		}
	}
	for _, p := range l.current.GetDigestPeers() {
		if l.peers.changed[p.GetAddress()] > known {
			v.DigestPeers = append(v.DigestPeers, p)
		}
	}
	return v
}

// recordChanges records the differences between two views. It returns false if a name occurs more
// than once, since differences identify entries by name.
func (r changeRecord) recordChanges(revision uint64, old, current viewEntries) (ok bool) {
	if old.hasDuplicates || current.hasDuplicates {
		return false
	}
	for name, entry := range current.byName {
		if existing, known := old.byName[name]; !known || !proto.Equal(existing, entry) {
			r.changed[name] = revision
			delete(r.removed, name)
		}
	}
	for name := range old.byName {
		if _, remains := current.byName[name]; !remains {
			r.removed[name] = revision
			delete(r.changed, name)
		}
	}
	return true
}

func (r changeRecord) removedSince(known uint64) []string {
	var names []string
	for name, revision := range r.removed {
		if revision > known {
			names = append(names, name)
		}
	}
	return names
}

// viewEntries holds the runners or the daemons of a view.
type viewEntries struct {
	byName        map[string]proto.Message
	hasDuplicates bool
}

func runnersOf(v *toucanhingev1.FleetView) viewEntries {
	return entriesOf(v.GetRunners(), (*toucanhingev1.Runner).GetId)
}

func peersOf(v *toucanhingev1.FleetView) viewEntries {
	return entriesOf(v.GetDigestPeers(), (*toucanhingev1.DigestPeer).GetAddress)
}

func entriesOf[T proto.Message](list []T, name func(T) string) viewEntries {
	p := viewEntries{byName: make(map[string]proto.Message, len(list))}
	for _, m := range list {
		p.byName[name(m)] = m
	}
	p.hasDuplicates = len(p.byName) != len(list)
	return p
}
