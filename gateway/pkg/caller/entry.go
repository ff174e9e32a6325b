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

// Headers of callers.
const (
	headerKey        = "Authorization"
	headerRequest    = "X-Request-Id"
	headerDeadline   = "X-Deadline-Ms"
	headerIdempotent = "X-Idempotent"
	// headerID tells the caller the id under which the system knows its request.
	headerID = "X-Toucanhinge-Request"
)

const (
	longestID  = 128
	bearer     = "Bearer "
	prefixSize = 5
)

// entry is what every call has in common.
type entry struct {
	fleet   *fleetconfig.Fleet
	team    fleetconfig.Team
	id      string
	caller  string
	arrived clock.Millis
	// wait asked for by the caller, a span; 0 when none was.
	wait clock.Millis
	// idempotent as the caller says; nil when it says nothing.
	idempotent *bool
}

func newPrefix(gateway string) string {
	random := make([]byte, prefixSize)
	// It never fails: the runtime ends the process first.
	_, _ = rand.Read(random)
	return gateway + "-" + hex.EncodeToString(random) + "-"
}

// newToken is unknown to anybody else.
func newToken() string {
	return rand.Text()
}

// enter checks the headers and the key, before anything of the body is read.
func (s *Server) enter(c *gin.Context) (*entry, *refusal) {
	e := &entry{
		arrived: s.config.Clock.Now(),
		id:      s.prefix + strconv.FormatUint(s.counter.Add(1), 36),
	}
	c.Header(headerID, e.id)
	for _, name := range []string{headerKey, headerRequest, headerDeadline, headerIdempotent} {
		// Two values would be read differently by us and by what stands before us.
		if len(c.Request.Header.Values(name)) > 1 {
			return nil, refuse(http.StatusBadRequest, reasonDuplicateHeader, "the header "+name+" is given more than once")
		}
	}
	if !s.config.Ready() {
		return nil, refuse(http.StatusServiceUnavailable, reasonNotReady, "this gateway does not know its configuration yet").after(1_000)
	}
	e.fleet = s.config.Fleet()
	if r := e.authenticate(c.GetHeader(headerKey)); r != nil {
		return nil, r
	}
	if r := e.headers(c, clock.Millis(s.config.Limits.MaxDeadline)); r != nil {
		return nil, r
	}
	s.config.DecisionLog.Add(e.id, "arrived", e.team.Name+" "+c.Request.Method+" "+c.Request.URL.Path)
	if e.caller != "" {
		s.config.DecisionLog.Add(e.caller, "known-as", e.id)
	}
	return e, nil
}

func (e *entry) authenticate(header string) *refusal {
	key, found := strings.CutPrefix(header, bearer)
	if !found || key == "" {
		return refuse(http.StatusUnauthorized, reasonNoKey, "the header Authorization must be \"Bearer KEY\"")
	}
	team, found := e.fleet.TeamByKey(key)
	if !found {
		return refuse(http.StatusUnauthorized, reasonWrongKey, "the key belongs to no team")
	}
	e.team = team
	return nil
}

func (e *entry) headers(c *gin.Context, longest clock.Millis) *refusal {
	e.caller = c.GetHeader(headerRequest)
	if e.caller != "" {
		if !plainID(e.caller) {
			return refuse(http.StatusBadRequest, reasonBadHeader, "X-Request-Id must be 1 to 128 visible ASCII characters")
		}
		c.Header(headerRequest, e.caller)
	}
	if text := c.GetHeader(headerDeadline); text != "" {
		wait, err := strconv.ParseInt(text, 10, 64)
		if err != nil || wait <= 0 {
			return refuse(http.StatusBadRequest, reasonBadDeadline, "X-Deadline-Ms must be a whole number of milliseconds above 0")
		}
		e.wait = min(clock.Millis(wait), longest)
	}
	if text := c.GetHeader(headerIdempotent); text != "" {
		value := text == "true"
		if !value && text != "false" {
			return refuse(http.StatusBadRequest, reasonBadHeader, "X-Idempotent must be true or false")
		}
		e.idempotent = &value
	}
	return nil
}

func plainID(id string) bool {
	if len(id) > longestID {
		return false
	}
	for _, b := range []byte(id) {
		if b <= ' ' || b > '~' {
			return false
		}
	}
	return true
}

// contract finds what lets the team use the service.
func (e *entry) contract(service string, batch bool) (fleetconfig.Contract, *refusal) {
	contract, found := e.fleet.Contract(e.team.Name, service)
	if !found || (batch && !contract.GetBatch()) || (!batch && !contract.GetOnline()) {
		return contract, refuse(http.StatusForbidden, reasonNoContract, "the team has no contract for this use of "+service)
	}
	return contract, nil
}

// deadline is the point in time up to which the caller waits.
func (e *entry) deadline(service fleetconfig.Service, standard int64) clock.Millis {
	wait := e.wait
	if wait == 0 {
		wait = clock.Millis(service.GetDeadlineMs())
	}
	if wait == 0 {
		wait = clock.Millis(standard)
	}
	return e.arrived + wait
}

// admit applies the team's limits. Each success must be followed by release.
func (s *Server) admit(e *entry, service string) *refusal {
	short := s.config.Directory.Saturated(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict := s.config.Limiter.Admit(s.config.Clock.Now(), limit.Request{
		Team: e.team.Name, Service: service, Saturated: short,
		Limits: limit.Limits{
			Rate: e.team.GetRate(), Burst: float64(e.team.GetBurst()),
			MaxInFlight: int(e.team.GetInFlight()), Weight: int(e.team.GetWeight()),
		},
	})
	if verdict.Admitted {
		return nil
	}
	s.config.DecisionLog.Add(e.id, "refused", verdict.Reason)
	status := http.StatusTooManyRequests
	if verdict.Reason == limit.ReasonGatewayFull {
		status = http.StatusServiceUnavailable
	}
	return refuse(status, verdict.Reason, messages[verdict.Reason]).after(verdict.RetryAfter)
}

func (s *Server) release(e *entry, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config.Limiter.Done(s.config.Clock.Now(), e.team.Name, service)
}
