package forward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/digest"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/routing"
	"toucanhinge.example/common/pkg/streamorigin"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// originSlack is how much longer than its request the origin of a stream is remembered.
	originSlack clock.Millis = 2_000
	// maxFleetAge is the age of the list of runners up to which it shows whether a service has a single software
	// version. Gateways receive it about every 400 ms.
	maxFleetAge clock.Millis = 1_500
	// streamLives is the number of the route's time limits for which a service must have had a single software version,
	// so that a stream without a record can't have begun at another one. A caller's attempts follow each other.
	streamLives = 2
	// minSingleVersion is the shortest such time. Callers resume streams within their own time, which may be longer than the
	// route's time limit, and operators lower that while streams run.
	minSingleVersion clock.Millis = 10_000
	// maxResumeWait is the longest expected wait for a slot with which a stream is resumed: callers give up after
	// two seconds without an event.
	maxResumeWait clock.Millis = 1_500
	// leavingGraceShare is the part of DrainNoticeLimit for which streams may continue at a runner that leaves. The rest is
	// for the time until this gateway knows that it leaves.
	leavingGraceShare = 0.33
	// versionRetryDelay is how soon a caller may resume its stream again if no runner of its software version can be used
	// at the moment, for example because they restart.
	versionRetryDelay = 500 * time.Millisecond
)

// Ways in which a gateway learned where a stream began, as in logs.
const (
	knownByRecord      = "record"
	knownByOnlyVersion = "only-version"
	knownByNobody      = "nobody"
)

// routeService is the only service of a route and the time since which it has been.
type routeService struct {
	service string
	since   clock.Millis
}

// routeID identifies a route across routing tables.
func routeID(route routing.Route) string { return route.GetHost() + route.GetPrefix() }

// recordRoutes records the service of each streaming route of a new table that has just one. The caller holds the lock.
func (s *Server) recordRoutes(table *routing.Table) {
	now := s.config.Clock.Now()
	previous := s.routeServices
	s.routeServices = map[string]routeService{}
	for _, wire := range table.Wire().GetRoutes() {
		route := routing.Route{Route: wire}
		services := route.Services()
		if !route.Streams() || len(services) != 1 {
			continue
		}
		entry := routeService{service: services[0], since: now}
		if before, known := previous[routeID(route)]; known && before.service == entry.service {
			entry.since = before.since
		}
		s.routeServices[routeID(route)] = entry
	}
}

// ConfirmFleet records that the list of runners contains all that the core's leader knew at a time of the boot clock.
func (s *Server) ConfirmFleet(asOf clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleetConfirmedAt = max(s.fleetConfirmedAt, asOf)
}

// onlyOrigin returns the origin of all streams of a route if they can only have begun at one software version of one
// service. A gateway that was frozen or is cut off may not know of a new version, so it must have a recent list.
func (s *Server) onlyOrigin(route routing.Route) (streamorigin.Origin, bool) {
	now, span := s.config.Clock.Now(), max(streamLives*route.TimeLimit(), minSingleVersion)
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, known := s.routeServices[routeID(route)]
	if !known || now-entry.since < span || s.config.Boot.Now()-s.fleetConfirmedAt > maxFleetAge {
		return streamorigin.Origin{}, false
	}
	version, ok := s.versions.Only(now, entry.service, span)
	return streamorigin.Origin{Service: entry.service, Version: version}, ok
}

// resumesStream reports whether the caller resumes a stream that an earlier attempt began.
func (e *exchange) resumesStream() bool { return e.request.Resume && e.route.Streams() }

// originKey returns the key of the attempt in which the caller received the first event; named is false if the caller
// gave none.
func (e *exchange) originKey() (key streamorigin.Key, named bool) {
	attempt := e.request.ID
	if e.resumesStream() {
		attempt = e.request.Resumes
	}
	return streamorigin.KeyOf(e.auth.Team.GetName(), routeID(e.route), attempt), attempt != ""
}

// resolveOrigin determines the service and the software version at which the caller's stream continues. Nothing else may
// continue it, so that a stream whose origin isn't known for certain is refused.
func (e *exchange) resolveOrigin(ctx context.Context) *Refusal {
	if !e.resumesStream() {
		return nil
	}
	startedAt, by := e.now(), knownByRecord
	var finding digest.OriginFinding
	if key, named := e.originKey(); named {
		finding = e.server.config.Exchange.FindOrigin(ctx, key)
	}
	if !finding.Found {
		by = knownByOnlyVersion
		finding.Origin, finding.Found = e.server.onlyOrigin(e.route)
	}
	if !finding.Found {
		by = knownByNobody
	}
	e.server.metrics.resumeRequests.WithLabelValues(by).Inc()
	level.Info(e.server.config.Logger).Log(logs.KeyEvent, logs.EventResumeRequested, logs.KeyRequest, e.request.ID,
		"resumes", e.request.Resumes, "after", e.request.After, "known-by", by, "service", finding.Origin.Service,
		"software", finding.Origin.Version, "asked", finding.Asked, "unknown-to", finding.Answered, "took-ms", e.now()-startedAt)
	switch {
	case !finding.Found:
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonUnknownStream}
	case !slices.Contains(e.route.Services(), finding.Origin.Service):
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonStreamMoved}
	}
	e.service, e.origin = finding.Origin.Service, finding.Origin
	return nil
}

// recordOrigin records where the stream began, after its first event was sent to the caller.
func (e *exchange) recordOrigin() {
	if e.originSent || !e.route.Resumable {
		return
	}
	e.originSent = true
	if key, named := e.originKey(); named {
		e.server.config.Exchange.RecordOrigin(key, e.origin, e.deadline-e.now()+originSlack)
	}
}

// noVersionRefusal refuses to continue a stream because no runner of its software version can be used.
func (e *exchange) noVersionRefusal() *Refusal {
	refusal := &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonNoVersion}
	if e.server.mayServe(e.origin) {
		refusal.RetryAfter = versionRetryDelay
	}
	return refusal
}

// mayServe reports whether runners of a software version may soon be usable: some are listed that aren't about to leave,
// or the version is so new that this gateway doesn't know it.
func (s *Server) mayServe(origin streamorigin.Origin) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.versions.Knows(origin) {
		return true
	}
	return slices.ContainsFunc(s.runners, func(r *toucanhingev1.Runner) bool {
		return r.GetService() == origin.Service && r.GetVersion() == origin.Version && !r.GetLeaving()
	})
}
