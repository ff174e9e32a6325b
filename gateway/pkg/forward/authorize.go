package forward

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/apikey"
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/routing"
)

// A gateway that can't confirm its keys is cut off from the core, usually without other gateways being cut
// off. Callers retry soon, and the balancer sends them to another gateway.
const (
	staleKeyRetryDelay  = 200 * time.Millisecond
	staleKeyRetryJitter = 400 * time.Millisecond
)

// Authorization is the result of admitting a request: its route, and the team by whose key it was admitted.
type Authorization struct {
	Route routing.Route
	// Team is the team that holds the caller's key; its name is empty if no team holds it.
	Team routing.Team
	// Keyed is set if the routing table has teams. The gateway then doesn't forward the callers' keys
	// and team headers.
	Keyed bool
	// Key is the hash of the caller's key, nil if it sent none.
	Key []byte
	// countedAt is the time by the boot clock at which the request was counted for its team's quota,
	// 0 if it wasn't.
	countedAt clock.Millis
}

// Authorize finds the route of a request and the team of its key, or returns the refusal.
func (s *Server) Authorize(id, host, target, key string) (Authorization, *Refusal) {
	// Checked before the table is loaded: a gateway that is frozen between the two may receive a
	// newer table, but never an older one.
	fresh := s.config.KeyLease.Valid(s.config.Boot.Now())
	table := s.table.Load()
	if table == nil {
		return Authorization{}, &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonNoTable, RetryAfter: tableRetryDelay + jitter(tableRetryJitter)}
	}
	route, found := table.Match(host, routing.PathOf(target))
	if !found {
		return Authorization{}, &Refusal{Status: http.StatusNotFound, Reason: ReasonNoRoute}
	}
	entry := Authorization{Route: route, Keyed: table.Keyed()}
	if !entry.Keyed {
		return entry, nil
	}
	entry.Key = apikey.Bytes(key)
	team, known := table.TeamOf(entry.Key)
	entry.Team = team
	switch {
	case route.GetOpen(), known && fresh:
		return entry, nil
	case known && route.Batch():
		// The core checks the key again, in the order of its log.
		return entry, nil
	case !fresh:
		return entry, s.staleKeyRefusal(id, table)
	default:
		return entry, s.deniedKeyRefusal(id, table, key)
	}
}

// AuthorizeJobCaller returns the hash of the key of a call about a job, or the refusal. The core checks
// the key in the order of its log; a key that certainly belongs to no team isn't sent to it.
func (s *Server) AuthorizeJobCaller(id, key string) ([]byte, *Refusal) {
	fresh := s.config.KeyLease.Valid(s.config.Boot.Now())
	table := s.table.Load()
	hash := apikey.Bytes(key)
	if table == nil || !fresh {
		return hash, nil
	}
	if _, admitted := table.Admits(hash); !admitted {
		return nil, s.deniedKeyRefusal(id, table, key)
	}
	return hash, nil
}

// KeysFresh reports whether the balancer should send new connections to this gateway: either its lease on
// the keys is valid and won't expire soon, or the routing table needs no keys.
func (s *Server) KeysFresh() bool {
	table := s.table.Load()
	return table == nil || !table.Keyed() || !s.config.KeyLease.ExpiresSoon(s.config.Boot.Now())
}

// staleKeyRefusal refuses a caller whose key can't be checked, since the table was confirmed too long ago.
func (s *Server) staleKeyRefusal(id string, table *routing.Table) *Refusal {
	level.Warn(s.config.Logger).Log(logs.KeyEvent, "key-unconfirmed", logs.KeyRequest, id, "version", table.Version,
		"confirmed-ms-ago", s.config.KeyLease.Age(s.config.Boot.Now()))
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonKeyUnconfirmed, RetryAfter: staleKeyRetryDelay + jitter(staleKeyRetryJitter)}
}

// deniedKeyRefusal refuses a caller without a valid key. Neither the key nor its hash is logged.
func (s *Server) deniedKeyRefusal(id string, table *routing.Table, key string) *Refusal {
	reason := ReasonUnknownKey
	if key == "" {
		reason = ReasonNoKey
	}
	level.Warn(s.config.Logger).Log(logs.KeyEvent, "key-denied", logs.KeyRequest, id, "reason", reason, "version", table.Version,
		"confirmed-ms-ago", s.config.KeyLease.Age(s.config.Boot.Now()))
	return &Refusal{Status: http.StatusUnauthorized, Reason: reason}
}

// jitter returns a random duration below limit. It keeps callers that are refused at the same time from
// retrying at the same time.
func jitter(limit time.Duration) time.Duration { return time.Duration(rand.Int64N(int64(limit))) }
