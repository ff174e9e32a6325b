package streamorigin

import "toucanhinge.example/common/pkg/clock"

const (
	// maxRecords limits the stored records to about 3 MB. A gateway of a large fleet begins some 30 streams a second,
	// which are remembered for some seconds at four gateways.
	maxRecords = 16_384
	// maxLifetime limits how long a record is stored, whatever its sender says.
	maxLifetime clock.Millis = 60_000
)

// Store holds the origins of streams until no caller can resume them any more. The zero value is not usable.
type Store struct {
	records map[Key]record
	// order lists the keys in the order in which they were added, for the removal of expired ones.
	order []Key
}

type record struct {
	origin    Origin
	expiresAt clock.Millis
	// conflict is set if two different origins were recorded. Then none can be trusted.
	conflict bool
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{records: map[Key]record{}} }

// Put stores an origin for some time. A record that exists already is kept for longer, but never replaced.
func (s *Store) Put(now clock.Millis, key Key, origin Origin, lifetime clock.Millis) {
	s.expire(now)
	expiresAt := now + min(lifetime, maxLifetime)
	if known, found := s.records[key]; found && known.expiresAt > now {
		known.conflict = known.conflict || known.origin != origin
		known.expiresAt = max(known.expiresAt, expiresAt)
		s.records[key] = known
		return
	} else if !found {
		s.order = append(s.order, key)
	}
	s.records[key] = record{origin: origin, expiresAt: expiresAt}
}

// Get returns the origin of a stream, and how much longer it will be stored.
func (s *Store) Get(now clock.Millis, key Key) (origin Origin, left clock.Millis, ok bool) {
	r, found := s.records[key]
	if !found || r.conflict || r.expiresAt <= now {
		return Origin{}, 0, false
	}
	return r.origin, r.expiresAt - now, true
}

// Len returns the number of stored records.
func (s *Store) Len() int { return len(s.records) }

// expire removes the expired records that were added first, and the oldest record if there are too many.
func (s *Store) expire(now clock.Millis) {
	for len(s.order) > 0 && (len(s.order) >= maxRecords || s.records[s.order[0]].expiresAt <= now) {
		delete(s.records, s.order[0])
		s.order = s.order[1:]
	}
}
