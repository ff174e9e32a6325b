package digest

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/streamorigin"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// originBatchDelay is how long the record of a stream waits for further ones. A caller that comes back at once
	// needs longer than that.
	originBatchDelay = 2 * time.Millisecond
	// originQueryInterval is the time after which a query is sent again, because a datagram may have been lost or the
	// record may still be on its way, and originQueryRounds the number of times that it is sent. Together they are
	// much shorter than the two seconds for which callers wait for the next event.
	originQueryInterval = 40 * time.Millisecond
	originQueryRounds   = 5
)

// originState holds the records of streams, those that are still to be sent, and the queries in progress.
type originState struct {
	mu       sync.Mutex
	store    *streamorigin.Store
	outbox   map[netip.AddrPort][]*toucanhingev1.StreamOrigin
	queries  map[streamorigin.Key][]*originQuery
	gateways []streamorigin.Gateway
	dirty    chan struct{}
}

// originQuery is a query of this gateway. Its fields other than changed are protected by the lock of the state.
type originQuery struct {
	origin  streamorigin.Origin
	found   bool
	unknown map[netip.AddrPort]bool
	// changed receives a value after each answer.
	changed chan struct{}
}

func newOriginState() *originState {
	return &originState{
		store: streamorigin.NewStore(), outbox: map[netip.AddrPort][]*toucanhingev1.StreamOrigin{},
		queries: map[streamorigin.Key][]*originQuery{}, dirty: make(chan struct{}, 1),
	}
}

// OriginFinding is the result of a search for the origin of a stream.
type OriginFinding struct {
	Origin streamorigin.Origin
	Found  bool
	// Asked is the number of gateways that were asked, 0 if this gateway knew the origin; Answered counts those that
	// don't know it.
	Asked, Answered int
}

// setOriginGateways sets the other gateways that may hold records.
func (x *Exchange) setOriginGateways(peers []Peer) {
	var gateways []streamorigin.Gateway
	for _, p := range peers {
		if !p.Core {
			gateways = append(gateways, streamorigin.Gateway{Address: p.Address, DataCentre: p.DataCentre})
		}
	}
	x.origins.mu.Lock()
	defer x.origins.mu.Unlock()
	x.origins.gateways = gateways
}

func (x *Exchange) originSelf() streamorigin.Gateway {
	return streamorigin.Gateway{Address: x.config.Address, DataCentre: x.config.DataCentre}
}

// RecordOrigin records where a stream began, and sends the record to a few other gateways. It never blocks.
func (x *Exchange) RecordOrigin(key streamorigin.Key, origin streamorigin.Origin, lifetime clock.Millis) {
	s := x.origins
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Put(x.config.Clock.Now(), key, origin, lifetime)
	record := &toucanhingev1.StreamOrigin{Key: key[:], Service: origin.Service, Version: origin.Version, LeftMs: uint32(max(lifetime, 0))}
	for _, holder := range streamorigin.Holders(key, x.originSelf(), s.gateways) {
		if address, err := netip.ParseAddrPort(holder); err == nil {
			s.outbox[address] = append(s.outbox[address], record)
		}
	}
	select {
	case s.dirty <- struct{}{}:
	default:
	}
}

// runOrigins sends the records of streams until the context ends.
func (x *Exchange) runOrigins(ctx context.Context) {
	s := x.origins
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.dirty:
		}
		time.Sleep(originBatchDelay)
		s.mu.Lock()
		outbox := s.outbox
		s.outbox = map[netip.AddrPort][]*toucanhingev1.StreamOrigin{}
		s.mu.Unlock()
		for address, records := range outbox {
			x.sendOrigins(&toucanhingev1.StreamOrigins{Known: records}, address)
		}
	}
}

// FindOrigin returns where a stream began, from this gateway's records or those of others. It waits no longer than
// originQueryRounds times originQueryInterval.
func (x *Exchange) FindOrigin(ctx context.Context, key streamorigin.Key) OriginFinding {
	s := x.origins
	s.mu.Lock()
	if origin, _, ok := s.store.Get(x.config.Clock.Now(), key); ok {
		s.mu.Unlock()
		return OriginFinding{Origin: origin, Found: true}
	}
	sources := parseAddresses(streamorigin.Sources(key, x.originSelf(), s.gateways))
	if len(sources) == 0 {
		s.mu.Unlock()
		return OriginFinding{}
	}
	q := &originQuery{unknown: map[netip.AddrPort]bool{}, changed: make(chan struct{}, 1)}
	s.queries[key] = append(s.queries[key], q)
	s.mu.Unlock()
	defer x.endOriginQuery(key, q)
	for round := range originQueryRounds {
		for _, source := range sources {
			x.sendOrigins(&toucanhingev1.StreamOrigins{Asked: [][]byte{key[:]}}, source)
		}
		if x.awaitOrigin(ctx, q) || ctx.Err() != nil {
			break
		}
		if round > 0 && x.allUnknown(q, len(sources)) {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return OriginFinding{Origin: q.origin, Found: q.found, Asked: len(sources), Answered: len(q.unknown)}
}

// awaitOrigin waits for one round and reports whether the origin was found. It waits even if all asked gateways know
// nothing: the record may arrive there a little later, and the next round finds it.
func (x *Exchange) awaitOrigin(ctx context.Context, q *originQuery) (found bool) {
	timer := time.NewTimer(originQueryInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return false
		case <-q.changed:
			x.origins.mu.Lock()
			found = q.found
			x.origins.mu.Unlock()
			if found {
				return true
			}
		}
	}
}

func (x *Exchange) allUnknown(q *originQuery, sources int) bool {
	x.origins.mu.Lock()
	defer x.origins.mu.Unlock()
	return len(q.unknown) >= sources
}

func (x *Exchange) endOriginQuery(key streamorigin.Key, ended *originQuery) {
	s := x.origins
	s.mu.Lock()
	defer s.mu.Unlock()
	var others []*originQuery
	for _, q := range s.queries[key] {
		if q != ended {
			others = append(others, q)
		}
	}
	if s.queries[key] = others; len(others) == 0 {
		delete(s.queries, key)
	}
}

func parseAddresses(texts []string) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(texts))
	for _, text := range texts {
		if address, err := netip.ParseAddrPort(text); err == nil {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// receiveOrigins applies records and answers of another gateway, and answers its queries.
func (x *Exchange) receiveOrigins(from netip.AddrPort, message *toucanhingev1.StreamOrigins) {
	s, now := x.origins, x.config.Clock.Now()
	answer := &toucanhingev1.StreamOrigins{}
	s.mu.Lock()
	for _, record := range message.GetKnown() {
		if key, ok := streamorigin.ParseKey(record.GetKey()); ok {
			origin := streamorigin.Origin{Service: record.GetService(), Version: record.GetVersion()}
			s.store.Put(now, key, origin, clock.Millis(record.GetLeftMs()))
			s.answerQueries(now, key)
		}
	}
	for _, data := range message.GetUnknown() {
		if key, ok := streamorigin.ParseKey(data); ok {
			s.recordUnknown(key, from)
		}
	}
	for _, data := range message.GetAsked() {
		key, ok := streamorigin.ParseKey(data)
		if !ok {
			continue
		}
		if origin, left, found := s.store.Get(now, key); found {
			answer.Known = append(answer.Known, &toucanhingev1.StreamOrigin{
				Key: data, Service: origin.Service, Version: origin.Version, LeftMs: uint32(left),
			})
		} else {
			answer.Unknown = append(answer.Unknown, data)
		}
	}
	s.mu.Unlock()
	if len(answer.GetKnown())+len(answer.GetUnknown()) > 0 {
		x.sendOrigins(answer, from)
	}
}

// answerQueries ends the queries for a key whose record has arrived. The caller holds the lock.
func (s *originState) answerQueries(now clock.Millis, key streamorigin.Key) {
	origin, _, ok := s.store.Get(now, key)
	for _, q := range s.queries[key] {
		q.origin, q.found = origin, ok
		q.signal()
	}
}

// recordUnknown records that a gateway knows nothing of a key. The caller holds the lock.
func (s *originState) recordUnknown(key streamorigin.Key, from netip.AddrPort) {
	for _, q := range s.queries[key] {
		q.unknown[from] = true
		q.signal()
	}
}

func (q *originQuery) signal() {
	select {
	case q.changed <- struct{}{}:
	default:
	}
}

func (x *Exchange) sendOrigins(message *toucanhingev1.StreamOrigins, to netip.AddrPort) {
	data, err := proto.Marshal(&toucanhingev1.LoadDigest{Source: x.config.Source, Streams: message})
	if err != nil {
		level.Error(x.config.Logger).Log(logs.KeyEvent, "digest-unencodable", logs.KeyError, err)
		return
	}
	x.write(data, to)
}

// OriginCount returns the number of streams whose origins are stored here.
func (x *Exchange) OriginCount() int {
	x.origins.mu.Lock()
	defer x.origins.mu.Unlock()
	return x.origins.store.Len()
}
