package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"connectrpc.com/connect"
	"github.com/gin-gonic/gin"

	commoncontrol "toucanhinge.example/common/pkg/control"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// jobResponse is the JSON form of a job in responses to callers.
type jobResponse struct {
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

func newJobResponse(job *toucanhingev1.JobStatus) jobResponse {
	return jobResponse{
		ID: job.GetId(), Key: job.GetKey(), Service: job.GetService(), State: jobStateName(job.GetState()),
		Deadline: job.GetDeadlineMs(), Accepted: job.GetAcceptedMs(), Ended: job.GetEndedMs(),
		Items: job.GetItems(), Leased: job.GetLeased(), Done: job.GetDone(), Failed: job.GetFailed(),
	}
}

func jobStateName(state toucanhingev1.JobState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "JOB_STATE_"))
}

func (s *Server) getJob(c *gin.Context) {
	info, r := s.checkHeaders(c)
	if r != nil {
		s.refuse(c, r)
		return
	}
	job, err := s.config.Jobs.Get(c.Request.Context(), info.team.Name, c.Param("id"))
	if err != nil {
		s.refuse(c, controlRefusal(err))
		return
	}
	c.JSON(http.StatusOK, newJobResponse(job))
}

func (s *Server) cancelJob(c *gin.Context) {
	info, r := s.checkHeaders(c)
	if r != nil {
		s.refuse(c, r)
		return
	}
	requestID := info.callerID
	if requestID == "" {
		requestID = info.id
	}
	job, err := s.config.Jobs.Cancel(c.Request.Context(), info.team.Name, c.Param("id"), requestID)
	if err != nil {
		s.refuse(c, controlRefusal(err))
		return
	}
	s.config.DecisionLog.Add(info.id, "job-cancelled", job.GetId())
	c.JSON(http.StatusOK, newJobResponse(job))
}

// resultLine is the JSON form of one decided item.
type resultLine struct {
	Index    uint64          `json:"index"`
	CustomID string          `json:"custom_id"`
	Outcome  string          `json:"outcome"`
	Body     json.RawMessage `json:"body,omitempty"`
	Reason   string          `json:"reason,omitempty"`
	Attempts uint32          `json:"attempts"`
}

// endLine is the last line of complete results. Results without it were cut off.
type endLine struct {
	End     bool   `json:"end"`
	Count   uint64 `json:"count"`
	Decided uint64 `json:"decided"`
	Items   uint64 `json:"items"`
	State   string `json:"state"`
}

// readResults streams the decided items of a job, in item order.
func (s *Server) readResults(c *gin.Context) {
	info, r := s.checkHeaders(c)
	if r != nil {
		s.refuse(c, r)
		return
	}
	from, err := strconv.ParseUint(c.DefaultQuery("from", "0"), 10, 64)
	if err != nil {
		s.refuse(c, newRefusal(http.StatusBadRequest, reasonBadQuery, "from must be the index of an item"))
		return
	}
	if r := s.acquireTransfer(); r != nil {
		s.refuse(c, r)
		return
	}
	defer s.transfers.Add(-1)
	// The status is read before the results, so that the results contain every item that it counts as decided.
	job, err := s.config.Jobs.Get(c.Request.Context(), info.team.Name, c.Param("id"))
	if err != nil {
		s.refuse(c, controlRefusal(err))
		return
	}
	s.streamResults(c, info, job, from)
}

func (s *Server) streamResults(c *gin.Context, info *requestInfo, job *toucanhingev1.JobStatus, from uint64) {
	resp := s.newResponse(c, false)
	end := endLine{End: true, Decided: job.GetDone() + job.GetFailed(), Items: job.GetItems(), State: jobStateName(job.GetState())}
	var lines []byte
	err := s.config.Jobs.Results(c.Request.Context(), info.team.Name, job.GetId(), from, func(results []*toucanhingev1.Result) error {
		lines = lines[:0]
		for _, result := range results {
			lines = appendLine(lines, newResultLine(result))
			end.Count++
		}
		s.writeResultsHead(c, resp)
		return resp.writeData(lines)
	})
	if err != nil && !resp.headSent {
		s.refuse(c, controlRefusal(err))
		return
	}
	s.writeResultsHead(c, resp)
	if err != nil {
		r := controlRefusal(err)
		s.config.Metrics.Set.Refused.WithLabelValues("caller", r.Reason).Inc()
		_ = resp.writeData(append(r.json(), '\n'))
		return
	}
	_ = resp.writeData(appendLine(nil, end))
}

func (s *Server) writeResultsHead(c *gin.Context, resp *response) {
	if resp.headSent {
		return
	}
	c.Header("Content-Type", "application/jsonl")
	resp.writeHead(http.StatusOK, nil, -1)
}

func newResultLine(result *toucanhingev1.Result) resultLine {
	body := json.RawMessage(result.GetBody())
	// The response of an endpoint need not be JSON; other text is returned as a JSON string.
	if len(body) > 0 && !json.Valid(body) {
		body, _ = json.Marshal(string(body))
	}
	return resultLine{
		Index: result.GetIndex(), CustomID: result.GetCustomId(),
		Outcome: strings.ToLower(strings.TrimPrefix(result.GetOutcome().String(), "OUTCOME_")),
		Body:    body, Reason: result.GetReason(), Attempts: result.GetAttempts(),
	}
}

func appendLine[T resultLine | endLine](lines []byte, line T) []byte {
	text, err := json.Marshal(line)
	if err != nil {
		// Strings, numbers and validated JSON can always be encoded.
		panic(err)
	}
	return append(append(lines, text...), '\n')
}

// controlStatus maps an error of control to an HTTP status and a refusal reason.
func controlStatus(err error) (status int, reason string) {
	// A replica that is not the leader is a temporary fault of control, not an error of the caller.
	if _, refused := commoncontrol.LeaderOf(err); refused {
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
