package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"connectrpc.com/connect"
	"github.com/gin-gonic/gin"

	shared "toucanhinge.example/common/pkg/control"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// jobAnswer is a job as callers see it.
type jobAnswer struct {
	ID       string `json:"id"`
	Key      string `json:"key"`
	Service  string `json:"service"`
	State    string `json:"state"`
	Deadline int64  `json:"deadline_ms,omitempty"`
	Accepted int64  `json:"accepted_ms"`
	Ended    int64  `json:"ended_ms,omitempty"`
	Items    uint64 `json:"items"`
	Leased   uint64 `json:"leased"`
	Done     uint64 `json:"done"`
	Failed   uint64 `json:"failed"`
	Resend   bool   `json:"resend,omitempty"`
}

func jobOf(job *toucanhingev1.JobStatus) jobAnswer {
	return jobAnswer{
		ID: job.GetId(), Key: job.GetKey(), Service: job.GetService(), State: stateOf(job.GetState()),
		Deadline: job.GetDeadlineMs(), Accepted: job.GetAcceptedMs(), Ended: job.GetEndedMs(),
		Items: job.GetItems(), Leased: job.GetLeased(), Done: job.GetDone(), Failed: job.GetFailed(),
	}
}

func stateOf(state toucanhingev1.JobState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "JOB_STATE_"))
}

func (s *Server) job(c *gin.Context) {
	e, r := s.enter(c)
	if r != nil {
		s.refuse(c, r)
		return
	}
	job, err := s.config.Jobs.Get(c.Request.Context(), e.team.Name, c.Param("id"))
	if err != nil {
		s.refuse(c, controlRefusal(err))
		return
	}
	c.JSON(http.StatusOK, jobOf(job))
}

func (s *Server) cancel(c *gin.Context) {
	e, r := s.enter(c)
	if r != nil {
		s.refuse(c, r)
		return
	}
	id := e.caller
	if id == "" {
		id = e.id
	}
	job, err := s.config.Jobs.Cancel(c.Request.Context(), e.team.Name, c.Param("id"), id)
	if err != nil {
		s.refuse(c, controlRefusal(err))
		return
	}
	s.config.DecisionLog.Add(e.id, "job-cancelled", job.GetId())
	c.JSON(http.StatusOK, jobOf(job))
}

// resultLine is one decided item.
type resultLine struct {
	Index    uint64          `json:"index"`
	CustomID string          `json:"custom_id"`
	Outcome  string          `json:"outcome"`
	Body     json.RawMessage `json:"body,omitempty"`
	Reason   string          `json:"reason,omitempty"`
	Attempts uint32          `json:"attempts"`
}

// lastLine closes the results. Without it they were cut off.
type lastLine struct {
	End     bool   `json:"end"`
	Count   uint64 `json:"count"`
	Decided uint64 `json:"decided"`
	Items   uint64 `json:"items"`
	State   string `json:"state"`
}

// results streams what is decided of a job, in item order.
func (s *Server) results(c *gin.Context) {
	e, r := s.enter(c)
	if r != nil {
		s.refuse(c, r)
		return
	}
	from, err := strconv.ParseUint(c.DefaultQuery("from", "0"), 10, 64)
	if err != nil {
		s.refuse(c, refuse(http.StatusBadRequest, reasonBadQuery, "from must be the index of an item"))
		return
	}
	if r := s.beginTransfer(); r != nil {
		s.refuse(c, r)
		return
	}
	defer s.uploads.Add(-1)
	// The state is read first: what it counts as decided is then all in the results.
	job, err := s.config.Jobs.Get(c.Request.Context(), e.team.Name, c.Param("id"))
	if err != nil {
		s.refuse(c, controlRefusal(err))
		return
	}
	s.stream(c, e, job, from)
}

func (s *Server) stream(c *gin.Context, e *entry, job *toucanhingev1.JobStatus, from uint64) {
	out := s.newAnswer(c, false)
	last := lastLine{End: true, Decided: job.GetDone() + job.GetFailed(), Items: job.GetItems(), State: stateOf(job.GetState())}
	var lines []byte
	err := s.config.Jobs.Results(c.Request.Context(), e.team.Name, job.GetId(), from, func(results []*toucanhingev1.Result) error {
		lines = lines[:0]
		for _, result := range results {
			lines = appendLine(lines, resultOf(result))
			last.Count++
		}
		s.headLines(c, out)
		return out.data(lines)
	})
	if err != nil && !out.begun {
		s.refuse(c, controlRefusal(err))
		return
	}
	s.headLines(c, out)
	if err != nil {
		r := controlRefusal(err)
		s.config.Metrics.Set.Refused.WithLabelValues("caller", r.Reason).Inc()
		_ = out.data(append(r.json(), '\n'))
		return
	}
	_ = out.data(appendLine(nil, last))
}

func (s *Server) headLines(c *gin.Context, out *answer) {
	if out.begun {
		return
	}
	c.Header("Content-Type", "application/jsonl")
	out.head(http.StatusOK, nil, -1)
}

func resultOf(result *toucanhingev1.Result) resultLine {
	body := json.RawMessage(result.GetBody())
	// An endpoint's answer need not be JSON; as a string it is still whole.
	if len(body) > 0 && !json.Valid(body) {
		body, _ = json.Marshal(string(body))
	}
	return resultLine{
		Index: result.GetIndex(), CustomID: result.GetCustomId(),
		Outcome: strings.ToLower(strings.TrimPrefix(result.GetOutcome().String(), "OUTCOME_")),
		Body:    body, Reason: result.GetReason(), Attempts: result.GetAttempts(),
	}
}

func appendLine[T resultLine | lastLine](lines []byte, line T) []byte {
	text, err := json.Marshal(line)
	if err != nil {
		// Strings, numbers and checked JSON always encode.
		panic(err)
	}
	return append(append(lines, text...), '\n')
}

// codeOf tells control's error in HTTP's terms.
func codeOf(err error) (status int, reason string) {
	// A replica that doesn't lead is no fault of the caller's.
	if _, refused := shared.LeaderOf(err); refused {
		return http.StatusServiceUnavailable, reasonControl
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeOutOfRange:
		return http.StatusBadRequest, reasonJobRefused
	case connect.CodeNotFound:
		return http.StatusNotFound, reasonUnknownJob
	case connect.CodeAlreadyExists, connect.CodeAborted:
		return http.StatusConflict, reasonConflict
	case connect.CodePermissionDenied:
		return http.StatusForbidden, reasonNoContract
	case connect.CodeResourceExhausted:
		return http.StatusTooManyRequests, reasonJobRefused
	case connect.CodeFailedPrecondition:
		return http.StatusConflict, reasonJobRefused
	default:
		return http.StatusServiceUnavailable, reasonControl
	}
}
