package caller

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/gateway/pkg/attempt"
	"toucanhinge.example/gateway/pkg/endpoint"
	"toucanhinge.example/gateway/pkg/limit"
	"toucanhinge.example/gateway/pkg/online"
	"toucanhinge.example/gateway/pkg/route"
)

// Refusal reasons that originate in this package.
const (
	reasonNoKey           = "no-key"
	reasonWrongKey        = "wrong-key"
	reasonDuplicateHeader = "duplicate-header"
	reasonBadHeader       = "bad-header"
	reasonBadDeadline     = "bad-deadline"
	reasonBadQuery        = "bad-query"
	reasonMalformed       = "malformed-json"
	reasonWrongType       = "wrong-type"
	reasonMissing         = "missing-field"
	reasonDuplicateField  = "duplicate-field"
	reasonTooLarge        = "too-large"
	reasonCutBody         = "cut-body"
	reasonSlowSender      = "slow-sender"
	reasonMemoryFull      = "memory-full"
	reasonUnknownModel    = "unknown-model"
	reasonUnknownService  = "unknown-service"
	reasonUnknownPath     = "unknown-path"
	reasonUnknownMethod   = "unknown-method"
	reasonNoContract      = "no-contract"
	reasonNotReady        = "not-ready"
	reasonInProgress      = "in-progress"
	reasonNoClaim         = "no-claim"
	reasonUnknownJob      = "unknown-job"
	reasonBadItem         = "bad-item"
	reasonControl         = "control-unavailable"
	reasonConflict        = "key-conflict"
	reasonJobRefused      = "job-refused"
)

// Values of a refusal's run field.
const (
	runNo      = "no"
	runUnknown = "unknown"
	runYes     = "yes"
)

// refusal is an error response of the gateway. It states the reason, whether the request was run, and when to
// retry.
type refusal struct {
	Status  int
	Reason  string
	Message string
	Run     string
	// RetryAfter is the time after which the caller may retry; 0 omits it.
	RetryAfter clock.Millis
}

type refusalBody struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
	Type    string `json:"type"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
	Run     string `json:"run"`
	RetryMS int64  `json:"retry_after_ms,omitempty"`
}

func newRefusal(status int, reason, message string) *refusal {
	return &refusal{Status: status, Reason: reason, Message: message, Run: runNo}
}

func (r *refusal) withRetryAfter(interval clock.Millis) *refusal {
	r.RetryAfter = interval
	return r
}

func (r *refusal) errorType() string {
	switch r.Status {
	case http.StatusUnauthorized:
		return "authentication"
	case http.StatusForbidden:
		return "permission"
	case http.StatusNotFound:
		return "not_found"
	case http.StatusConflict:
		return "conflict"
	case http.StatusTooManyRequests:
		return "limit"
	case http.StatusServiceUnavailable:
		return "overloaded"
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return "endpoint"
	default:
		return "invalid_request"
	}
}

func (r *refusal) json() []byte {
	text, err := json.Marshal(refusalBody{Error: refusalError{
		Type: r.errorType(), Reason: r.Reason, Message: r.Message, Run: r.Run, RetryMS: int64(r.RetryAfter),
	}})
	if err != nil {
		// Strings and numbers can always be encoded.
		panic(err)
	}
	return text
}

// write sends the refusal as the whole response.
func (r *refusal) write(c *gin.Context) {
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + 999) / 1_000
		c.Header("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	c.Data(r.Status, "application/json", r.json())
}

// failureRefusal returns the refusal for a request that ended without a complete response.
func failureRefusal(e online.Result) *refusal {
	r := &refusal{Reason: e.Reason, Run: runValue(e.Ran), RetryAfter: e.RetryAfter, Message: reasonMessages[e.Reason]}
	if r.Message == "" {
		r.Message = "the endpoint refused: " + e.Reason
	}
	switch {
	case e.Reason == attempt.ReasonDeadline && e.Ran != attempt.RanNo:
		r.Status = http.StatusGatewayTimeout
	case e.Reason == attempt.ReasonAlreadyRun:
		r.Status = http.StatusConflict
	case e.Ran != attempt.RanNo:
		r.Status = http.StatusBadGateway
	default:
		r.Status = http.StatusServiceUnavailable
		r.RetryAfter = max(r.RetryAfter, 1)
	}
	return r
}

func runValue(ran attempt.Ran) string {
	switch ran {
	case attempt.RanNo:
		return runNo
	case attempt.RanYes:
		return runYes
	default:
		return runUnknown
	}
}

// reasonMessages maps refusal reasons to messages for callers.
var reasonMessages = map[string]string{
	attempt.ReasonDeadline:       "the deadline passed, or can't be kept",
	attempt.ReasonUnknownOutcome: "the connection to the endpoint broke; whether the request was run is not known",
	attempt.ReasonAlreadyRun:     "a request with this id was run already",
	attempt.ReasonAnswerCut:      "the answer broke off and could not be resumed; what was sent is not whole",
	route.ReasonNoEndpoint:       "no endpoint of the service can take the request",
	route.ReasonOverloaded:       "every endpoint of the service is full",
	endpoint.ReasonUnreachable:   "no endpoint of the service could be reached",
	limit.ReasonRate:             "the team's rate is used up",
	limit.ReasonInFlight:         "the team has as many requests under way as it may",
	limit.ReasonFairShare:        "the service is full and the team has its share of it",
	limit.ReasonGatewayFull:      "this gateway has as many requests under way as it may",
}
