// Package fleetview tells gateways what changed in the fleet since the view that they hold.
//
// The load that it answers: hundreds of gateways before hundreds of runners of which one starts
// or leaves every moment, and a whole list to each gateway at each change would be most of what
// the leader of the core sends. A view's revision names what a gateway holds; the leader tells it
// the runners and daemons that differ since. A gateway that holds a view of another leader, or
// an old one, gets the whole.
//
// It holds no goroutine, socket or clock.
package fleetview

import (
	"google.golang.org/protobuf/proto"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// mostGone bounds the names of what is no more; a gateway that missed so much gets the whole.
const mostGone = 1_000

// ChangeLog remembers at which revision each part of the fleet changed, during one leader's time.
// The zero value knows no view yet. It is not safe for concurrent use.
type ChangeLog struct {
	whole *toucanhingev1.FleetView
	// floor is the oldest revision that can be brought up to date by differences.
	floor   uint64
	runners record
	peers   record
}

// record has revisions by name: of the last change, and of the end of what is no more.
type record struct{ changed, gone map[string]uint64 }

func newRecord() record { return record{changed: map[string]uint64{}, gone: map[string]uint64{}} }

// Revision is the revision of the view that was taken last, 0 for none.
func (l *ChangeLog) Revision() uint64 { return l.whole.GetRevision() }

// Apply notes the next view, which must not be changed any more. Its revision is above those of
// the views before.
func (l *ChangeLog) Apply(whole *toucanhingev1.FleetView) {
	before := l.whole
	l.whole = whole
	if before == nil {
		l.restart()
		return
	}
	revision := whole.GetRevision()
	told := l.runners.compare(revision, runnersOf(before), runnersOf(whole)) && l.peers.compare(revision, peersOf(before), peersOf(whole))
	if !told || len(l.runners.gone)+len(l.peers.gone) > mostGone {
		l.restart()
	}
}

// restart gives up on views from before the present one.
func (l *ChangeLog) restart() {
	l.floor = l.whole.GetRevision()
	l.runners, l.peers = newRecord(), newRecord()
}

// Since is what a gateway must be told that holds a revision, and reads differences if it says
// so; nil if it holds the newest.
func (l *ChangeLog) Since(have uint64, reads bool) *toucanhingev1.FleetView {
	switch {
	case l.whole == nil || have == l.whole.GetRevision():
		return nil
	case !reads || have == 0 || have < l.floor || have > l.whole.GetRevision():
		return l.whole
	}
	v := &toucanhingev1.FleetView{
		Revision: l.whole.GetRevision(), Since: have, CoreAddresses: l.whole.GetCoreAddresses(),
		GoneRunners: l.runners.goneSince(have), GonePeers: l.peers.goneSince(have),
	}
	for _, r := range l.whole.GetRunners() {
		if l.runners.changed[r.GetId()] > have {
			v.Runners = append(v.Runners, r)
		}
	}
	for _, p := range l.whole.GetDigestPeers() {
		if l.peers.changed[p.GetAddress()] > have {
			v.DigestPeers = append(v.DigestPeers, p)
		}
	}
	return v
}

// compare notes what differs; ok is false if names are given twice, so that differences can't
// tell them apart.
func (r record) compare(revision uint64, before, now parts) (ok bool) {
	if before.doubled || now.doubled {
		return false
	}
	for name, m := range now.byName {
		if old, known := before.byName[name]; !known || !proto.Equal(old, m) {
			r.changed[name] = revision
			delete(r.gone, name)
		}
	}
	for name := range before.byName {
		if _, stays := now.byName[name]; !stays {
			r.gone[name] = revision
			delete(r.changed, name)
		}
	}
	return true
}

func (r record) goneSince(have uint64) []string {
	var names []string
	for name, revision := range r.gone {
		if revision > have {
			names = append(names, name)
		}
	}
	return names
}

// parts are the runners or daemons of a view.
type parts struct {
	byName  map[string]proto.Message
	doubled bool
}

func runnersOf(v *toucanhingev1.FleetView) parts {
	return partsOf(v.GetRunners(), (*toucanhingev1.Runner).GetId)
}

func peersOf(v *toucanhingev1.FleetView) parts {
	return partsOf(v.GetDigestPeers(), (*toucanhingev1.DigestPeer).GetAddress)
}

func partsOf[T proto.Message](list []T, name func(T) string) parts {
	p := parts{byName: make(map[string]proto.Message, len(list))}
	for _, m := range list {
		p.byName[name(m)] = m
	}
	p.doubled = len(p.byName) != len(list)
	return p
}
