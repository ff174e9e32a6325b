package forward

import (
	"net/http"
	"time"

	"toucanhinge.example/common/pkg/streamorigin"
)

// versionRetryDelay is how soon a caller may take up its stream again if all runners of its software version are
// blocked at the moment, for example because they restart.
const versionRetryDelay = 500 * time.Millisecond

// setOrigin records at the first event where the stream began.
func (e *exchange) setOrigin(version string) {
	if e.origin.Service == "" {
		e.origin = streamorigin.Origin{Service: e.service, Version: version}
	}
}

// noVersionRefusal refuses to continue a stream because no runner of its software version can be used.
func (e *exchange) noVersionRefusal() *Refusal {
	refusal := &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonNoVersion}
	if e.server.hasVersion(e.origin) {
		refusal.RetryAfter = versionRetryDelay
	}
	return refusal
}

// hasVersion reports whether any runner of a software version is listed that isn't about to leave.
func (s *Server) hasVersion(origin streamorigin.Origin) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runners {
		if r.GetService() == origin.Service && r.GetVersion() == origin.Version && !r.GetLeaving() {
			return true
		}
	}
	return false
}
