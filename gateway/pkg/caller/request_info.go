package caller

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"

	"github.com/gin-gonic/gin"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/fleetconfig"
	"toucanhinge.example/gateway/pkg/limit"
)

// Headers of callers' requests and of the responses to them.
const (
	headerAuthorization = "Authorization"
	headerCallerID      = "X-Request-Id"
	headerDeadline      = "X-Deadline-Ms"
	headerIdempotent    = "X-Idempotent"
	// headerRequestID returns the request id assigned by the gateway to the caller.
	headerRequestID = "X-Toucanhinge-Request"
)

const (
	maxIDLength   = 128
	bearerPrefix  = "Bearer "
	idPrefixBytes = 5
)

// requestInfo holds the attributes that all caller requests have in common.
type requestInfo struct {
	fleet    *fleetconfig.Fleet
	team     fleetconfig.Team
	id       string
	callerID string
	arrived  clock.Millis
	// timeout requested by the caller; 0 if it requested none.
	timeout clock.Millis
	// idempotent as declared by the caller; nil if it declared nothing.
	idempotent *bool
}

func newIDPrefix(gateway string) string {
	random := make([]byte, idPrefixBytes)
	// Read never returns an error: on failure, the runtime ends the process.
	_, _ = rand.Read(random)
	return gateway + "-" + hex.EncodeToString(random) + "-"
}

// newClaimToken returns a random token that identifies the holder of a claim.
func newClaimToken() string {
	return rand.Text()
}

// checkHeaders authenticates the request and parses its headers, before any of the body is read.
func (s *Server) checkHeaders(c *gin.Context) (*requestInfo, *refusal) {
	info := &requestInfo{
		arrived: s.config.Clock.Now(),
		id:      s.idPrefix + strconv.FormatUint(s.idCounter.Add(1), 36),
	}
	c.Header(headerRequestID, info.id)
	for _, name := range []string{headerAuthorization, headerCallerID, headerDeadline, headerIdempotent} {
		// The gateway and a proxy in front of it could pick different ones of two values.
		if len(c.Request.Header.Values(name)) > 1 {
			return nil, newRefusal(http.StatusBadRequest, reasonDuplicateHeader, "the header "+name+" is given more than once")
		}
	}
	if !s.config.Ready() {
		return nil, newRefusal(http.StatusServiceUnavailable, reasonNotReady,
			"this gateway does not know its configuration yet").withRetryAfter(1_000)
	}
	info.fleet = s.config.Fleet()
	if r := info.authenticate(c.GetHeader(headerAuthorization)); r != nil {
		return nil, r
	}
	if r := info.parseHeaders(c, clock.Millis(s.config.Limits.MaxDeadline)); r != nil {
		return nil, r
	}
	s.config.DecisionLog.Add(info.id, "arrived", info.team.Name+" "+c.Request.Method+" "+c.Request.URL.Path)
	if info.callerID != "" {
		s.config.DecisionLog.Add(info.callerID, "known-as", info.id)
	}
	return info, nil
}

func (ri *requestInfo) authenticate(header string) *refusal {
	key, found := strings.CutPrefix(header, bearerPrefix)
	if !found || key == "" {
		return newRefusal(http.StatusUnauthorized, reasonNoKey, "the header Authorization must be \"Bearer KEY\"")
	}
	team, found := ri.fleet.TeamByKey(key)
	if !found {
		return newRefusal(http.StatusUnauthorized, reasonWrongKey, "the key belongs to no team")
	}
	ri.team = team
	return nil
}

func (ri *requestInfo) parseHeaders(c *gin.Context, maxTimeout clock.Millis) *refusal {
	ri.callerID = c.GetHeader(headerCallerID)
	if ri.callerID != "" {
		if !validID(ri.callerID) {
			return newRefusal(http.StatusBadRequest, reasonBadHeader, "X-Request-Id must be 1 to 128 visible ASCII characters")
		}
		c.Header(headerCallerID, ri.callerID)
	}
	if text := c.GetHeader(headerDeadline); text != "" {
		timeout, err := strconv.ParseInt(text, 10, 64)
		if err != nil || timeout <= 0 {
			return newRefusal(http.StatusBadRequest, reasonBadDeadline,
				"X-Deadline-Ms must be a whole number of milliseconds above 0")
		}
		ri.timeout = min(clock.Millis(timeout), maxTimeout)
	}
	if text := c.GetHeader(headerIdempotent); text != "" {
		value := text == "true"
		if !value && text != "false" {
			return newRefusal(http.StatusBadRequest, reasonBadHeader, "X-Idempotent must be true or false")
		}
		ri.idempotent = &value
	}
	return nil
}

func validID(id string) bool {
	if len(id) > maxIDLength {
		return false
	}
	for _, b := range []byte(id) {
		if b <= ' ' || b > '~' {
			return false
		}
	}
	return true
}

// findContract returns the contract that permits the team to use the service.
func (ri *requestInfo) findContract(service string, batch bool) (fleetconfig.Contract, *refusal) {
	contract, found := ri.fleet.Contract(ri.team.Name, service)
	if !found || (batch && !contract.GetBatch()) || (!batch && !contract.GetOnline()) {
		return contract, newRefusal(http.StatusForbidden, reasonNoContract,
			"the team has no contract for this use of "+service)
	}
	return contract, nil
}

// deadline returns the time until which the caller waits for the response. The timeout is the one requested
// by the caller, else that of the service, else the default of the gateway.
func (ri *requestInfo) deadline(service fleetconfig.Service, defaultTimeout int64) clock.Millis {
	timeout := ri.timeout
	if timeout == 0 {
		timeout = clock.Millis(service.GetDeadlineMs())
	}
	if timeout == 0 {
		timeout = clock.Millis(defaultTimeout)
	}
	return ri.arrived + timeout
}

// admit applies the limits of the team. Each success must be followed by a call to release.
func (s *Server) admit(info *requestInfo, service string) *refusal {
	short := s.config.Directory.Saturated(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict := s.config.Limiter.Admit(s.config.Clock.Now(), limit.Request{
		Team: info.team.Name, Service: service, Saturated: short,
		Limits: limit.Limits{
			Rate: info.team.GetRate(), Burst: float64(info.team.GetBurst()),
			MaxInFlight: int(info.team.GetInFlight()), Weight: int(info.team.GetWeight()),
		},
	})
	if verdict.Admitted {
		return nil
	}
	s.config.DecisionLog.Add(info.id, "refused", verdict.Reason)
	status := http.StatusTooManyRequests
	if verdict.Reason == limit.ReasonGatewayFull {
		status = http.StatusServiceUnavailable
	}
	return newRefusal(status, verdict.Reason, reasonMessages[verdict.Reason]).withRetryAfter(verdict.RetryAfter)
}

func (s *Server) release(info *requestInfo, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config.Limiter.Done(s.config.Clock.Now(), info.team.Name, service)
}
