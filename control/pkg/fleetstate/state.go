// Package fleetstate is the state machine of consensus group 0: the configuration, the
// members, the orders to engines, and the claims of non-idempotent requests. It is
// deterministic: every replica applies the same commands, and the only time it uses is
// the one that the commands carry.
package fleetstate

import (
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/fleetconfig"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Limits of the state. They must be the same on every replica.
const (
	// historyLimit is the number of changes that a delta can cover. A watcher that lacks
	// more gets the whole configuration.
	historyLimit = 4096
	// requestLimit is the number of responses to operators that are cached for resends.
	requestLimit = 10_000
	// claimLimit is the number of claims that are stored. Further claims are refused,
	// because evicting an unexpired claim could let a request run twice.
	claimLimit = 1_000_000
)

// State is the replicated state of group 0.
type State struct {
	now     clock.Millis
	version uint64
	entries map[fleetconfig.Key]*toucanhingev1.Entry
	// recent holds the keys changed at base+1, base+2, …, version.
	recent    []fleetconfig.Key
	base      uint64
	responses responseCache
	claims    claimIndex
	lastLoad  clock.Millis
	counts    Counts
}

// Counts are event counts since the process started, for metrics. They are not part of
// the replicated state.
type Counts struct {
	Applied, Resent, Refused      uint64
	ClaimsGranted, ClaimsRefused  uint64
	ClaimsExpired, SettlesRefused uint64
	MembersDead                   uint64
}

// New returns an empty state.
func New() *State {
	return &State{
		entries:   map[fleetconfig.Key]*toucanhingev1.Entry{},
		responses: responseCache{byID: map[string]cachedResponse{}},
		claims:    claimIndex{byID: map[claimKey]*claim{}},
	}
}

// Step executes one step of a command and returns its typed result.
func (s *State) Step(at clock.Millis, step *toucanhingev1.FleetStep) any {
	s.now = max(s.now, at)
	switch t := step.GetStep().(type) {
	case *toucanhingev1.FleetStep_Apply:
		return s.apply(t.Apply)
	case *toucanhingev1.FleetStep_Member:
		return s.member(t.Member)
	case *toucanhingev1.FleetStep_MemberEnd:
		return s.memberEnd(t.MemberEnd)
	case *toucanhingev1.FleetStep_Claim:
		return s.claim(t.Claim)
	case *toucanhingev1.FleetStep_Settle:
		return s.settle(t.Settle)
	case *toucanhingev1.FleetStep_Sweep:
		return s.sweep(t.Sweep)
	case *toucanhingev1.FleetStep_PlatformDrain:
		return s.platformDrain(t.PlatformDrain)
	default:
		return nil
	}
}

// put stores an entry under the next configuration version.
func (s *State) put(e *toucanhingev1.Entry) *toucanhingev1.Entry {
	s.version++
	e.Version = s.version
	e.AcceptedMs = int64(s.now)
	key := fleetconfig.Key{Kind: e.GetKind(), Name: e.GetName()}
	s.entries[key] = e
	s.recent = append(s.recent, key)
	if len(s.recent) > historyLimit {
		s.truncateHistory(historyLimit / 2)
	}
	return e
}

// truncateHistory drops all but the newest changes from the history, with the tombstones
// of removed entries, which only deltas need.
func (s *State) truncateHistory(keep int) {
	drop := len(s.recent) - keep
	for i, key := range s.recent[:drop] {
		if e := s.entries[key]; e != nil && e.GetRemoved() && e.GetVersion() == s.base+uint64(i)+1 {
			delete(s.entries, key)
		}
	}
	s.recent = slices.Clone(s.recent[drop:])
	s.base += uint64(drop)
}

// Version returns the configuration version, which grows with each change.
func (s *State) Version() uint64 {
	return s.version
}

// Entry returns an entry that exists and is not removed.
func (s *State) Entry(kind toucanhingev1.Kind, name string) (*toucanhingev1.Entry, bool) {
	e, found := s.entries[fleetconfig.Key{Kind: kind, Name: name}]
	if !found || e.GetRemoved() {
		return nil, false
	}
	return e, true
}

// Entries returns the entries of a kind and name, sorted by both. An unspecified kind or
// an empty name matches all. The entries are shared and must not be modified.
func (s *State) Entries(kind toucanhingev1.Kind, name string, withRemoved bool) []*toucanhingev1.Entry {
	var list []*toucanhingev1.Entry
	for key, e := range s.entries {
		if (kind != toucanhingev1.Kind_KIND_UNSPECIFIED && kind != key.Kind) || (name != "" && name != key.Name) {
			continue
		}
		if withRemoved || !e.GetRemoved() {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, compareEntries)
	return list
}

// Delta returns the update for a watcher that has applied version after: the entries
// changed since then, or all entries if the history doesn't reach back that far.
func (s *State) Delta(after uint64) *toucanhingev1.WatchResponse {
	response := &toucanhingev1.WatchResponse{Version: s.version}
	if after >= s.version {
		return response
	}
	if after == 0 || after < s.base {
		response.Whole = true
		response.Entries = s.Entries(toucanhingev1.Kind_KIND_UNSPECIFIED, "", false)
		return response
	}
	for i := after - s.base; i < uint64(len(s.recent)); i++ {
		if e := s.entries[s.recent[i]]; e != nil && e.GetVersion() == s.base+i+1 {
			response.Entries = append(response.Entries, e)
		}
	}
	return response
}

// Fleet returns the current configuration with its look-up methods.
func (s *State) Fleet() *fleetconfig.Fleet {
	return fleetconfig.Empty().With(s.version, true, s.Entries(toucanhingev1.Kind_KIND_UNSPECIFIED, "", false))
}

// Counts returns the event counts since the process started.
func (s *State) Counts() Counts {
	return s.counts
}

// Now returns the latest time that a command carried.
func (s *State) Now() clock.Millis {
	return s.now
}
