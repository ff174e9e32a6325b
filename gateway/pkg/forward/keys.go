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

// A gateway that can't confirm its keys is cut off from the core, as a rule alone: callers
// come back soon, and then to another one.
const (
	staleRetry  = 200 * time.Millisecond
	staleSpread = 400 * time.Millisecond
)

// Authorization is what a request is let in for.
type Authorization struct {
	Route routing.Route
	// Team holds the caller's key; without a name if no team does.
	Team routing.Team
	// Keyed says that there are teams: callers' keys, and what they say of their team, go no
	// further than this gateway.
	Keyed bool
	// Key is the hash of the caller's key, nil if it sent none.
	Key []byte
	// counted is when the request was counted for its team's quota, by the boot clock, 0 if it
	// wasn't.
	counted clock.Millis
}

// Authorize finds a request's route, and the team by whose key it is let in.
func (s *Server) Authorize(id, host, target, key string) (Authorization, *Refusal) {
	// Asked before the table is looked at: between the two, a frozen gateway may learn of a
	// newer table, and never of an older one.
	fresh := s.config.KeyLease.Valid(s.config.Boot.Now())
	table := s.table.Load()
	if table == nil {
		return Authorization{}, &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonNoTable, RetryAfter: tableRetry + spread(tableSpread)}
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
		// The core judges the key once more, in the order of its log.
		return entry, nil
	case !fresh:
		return entry, s.stale(id, table)
	default:
		return entry, s.denied(id, table, key)
	}
}

// AuthorizeJobCaller is the hash of a key in a call about a job, and why the call is refused. The core
// judges the key in the order of its log; what is certainly nobody's isn't passed on to it.
func (s *Server) AuthorizeJobCaller(id, key string) ([]byte, *Refusal) {
	fresh := s.config.KeyLease.Valid(s.config.Boot.Now())
	table := s.table.Load()
	hash := apikey.Bytes(key)
	if table == nil || !fresh {
		return hash, nil
	}
	if _, admitted := table.Admits(hash); !admitted {
		return nil, s.denied(id, table, key)
	}
	return hash, nil
}

// KeysFresh says whether new connections had better come here: this gateway knows which keys
// are valid, and will for a while, or needs none.
func (s *Server) KeysFresh() bool {
	table := s.table.Load()
	return table == nil || !table.Keyed() || !s.config.KeyLease.ExpiresSoon(s.config.Boot.Now())
}

func (s *Server) stale(id string, table *routing.Table) *Refusal {
	level.Warn(s.config.Logger).Log(logs.KeyEvent, "key-unconfirmed", logs.KeyRequest, id, "version", table.Version,
		"confirmed-ms-ago", s.config.KeyLease.Age(s.config.Boot.Now()))
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonKeyUnconfirmed, RetryAfter: staleRetry + spread(staleSpread)}
}

// denied refuses a caller without a valid key. Neither the key nor its hash is logged.
func (s *Server) denied(id string, table *routing.Table, key string) *Refusal {
	reason := ReasonUnknownKey
	if key == "" {
		reason = ReasonNoKey
	}
	level.Warn(s.config.Logger).Log(logs.KeyEvent, "key-denied", logs.KeyRequest, id, "reason", reason, "version", table.Version,
		"confirmed-ms-ago", s.config.KeyLease.Age(s.config.Boot.Now()))
	return &Refusal{Status: http.StatusUnauthorized, Reason: reason}
}

// spread keeps callers that are refused together from returning together.
func spread(span time.Duration) time.Duration { return time.Duration(rand.Int64N(int64(span))) }
