package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"

	"toucanhinge.example/gateway/pkg/control"
	"toucanhinge.example/gateway/pkg/limit"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	firstLineBytes = 64 << 10
	// progressEvery is how often a reading upload gets its sender's time anew.
	progressEvery = time.Second
)

// batchLine is one line of an upload.
type batchLine struct {
	CustomID string          `json:"custom_id"`
	Body     json.RawMessage `json:"body"`
}

// upload passes a job's lines on to control as they come, so that a job of any
// size costs this process a few hundred kilobytes.
func (s *Server) upload(c *gin.Context) {
	e, r := s.enter(c)
	if r != nil {
		s.refuse(c, r)
		return
	}
	header, r := s.uploadHeader(c, e)
	if r != nil {
		s.refuse(c, r)
		return
	}
	if r := s.beginTransfer(); r != nil {
		s.refuse(c, r)
		return
	}
	defer s.uploads.Add(-1)
	reply, r := s.transfer(c, header)
	if r != nil {
		s.config.DecisionLog.Add(e.id, "refused", r.Reason)
		s.refuse(c, r)
		return
	}
	s.config.DecisionLog.Add(e.id, "job", reply.GetJob().GetId())
	answer := jobOf(reply.GetJob())
	answer.Resend = reply.GetResend()
	c.JSON(http.StatusOK, answer)
}

func (s *Server) beginTransfer() *refusal {
	if s.uploads.Add(1) <= int64(s.config.Limits.MaxTransfers) {
		return nil
	}
	s.uploads.Add(-1)
	return refuse(http.StatusServiceUnavailable, limit.ReasonGatewayFull, "this gateway has as many batch transfers under way as it may").after(1_000)
}

func (s *Server) uploadHeader(c *gin.Context, e *entry) (*toucanhingev1.UploadHeader, *refusal) {
	query := c.Request.URL.Query()
	for _, name := range []string{"service", "key", "deadline_ms"} {
		if len(query[name]) > 1 {
			return nil, refuse(http.StatusBadRequest, reasonBadQuery, name+" is given more than once")
		}
	}
	header := &toucanhingev1.UploadHeader{Team: e.team.Name, Key: query.Get("key"), Service: query.Get("service")}
	if header.Key == "" || !plainID(header.Key) {
		return nil, refuse(http.StatusBadRequest, reasonBadQuery, "key must be 1 to 128 visible ASCII characters: the caller's own name of the job, the same on a resend")
	}
	if _, known := e.fleet.Service(header.Service); !known {
		return nil, refuse(http.StatusNotFound, reasonUnknownService, "there is no such service")
	}
	if _, r := e.contract(header.Service, true); r != nil {
		return nil, r
	}
	if text := query.Get("deadline_ms"); text != "" {
		deadline, err := strconv.ParseInt(text, 10, 64)
		if err != nil || deadline < 0 {
			return nil, refuse(http.StatusBadRequest, reasonBadDeadline, "deadline_ms must be milliseconds since 1970, or 0")
		}
		header.DeadlineMs = deadline
	}
	return header, nil
}

func (s *Server) transfer(c *gin.Context, header *toucanhingev1.UploadHeader) (*toucanhingev1.UploadResponse, *refusal) {
	ctx := c.Request.Context()
	defer s.unlimit(c)
	upload, err := s.config.Jobs.Upload(ctx, header)
	if err != nil {
		return nil, controlRefusal(err)
	}
	defer upload.Abandon()
	lines := bufio.NewScanner(&progress{server: s, context: c, reader: c.Request.Body})
	lines.Buffer(make([]byte, 0, min(firstLineBytes, s.config.Limits.MaxBatchLineBytes)), s.config.Limits.MaxBatchLineBytes)
	seen := map[uint64]struct{}{}
	for number := 1; lines.Scan(); number++ {
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		item, r := s.item(lines.Bytes(), number, seen)
		if r != nil {
			return nil, r
		}
		if err := upload.Add(ctx, item); err != nil {
			return nil, controlRefusal(err)
		}
	}
	if err := lines.Err(); err != nil {
		if errors.Is(err, bufio.ErrTooLong) {
			return nil, refuse(http.StatusRequestEntityTooLarge, reasonTooLarge, "a line is longer than this gateway takes")
		}
		return nil, badBody(err)
	}
	c.Set(bodyTaken, true)
	if upload.Count() == 0 {
		return nil, refuse(http.StatusBadRequest, reasonMissing, "the job has no items")
	}
	reply, err := upload.End(ctx)
	if err != nil {
		return nil, controlRefusal(err)
	}
	return reply, nil
}

// item checks one line. The set of seen names holds hashes only: a false match
// among a million names has odds of one in thirty million.
func (s *Server) item(text []byte, number int, seen map[uint64]struct{}) (*toucanhingev1.Item, *refusal) {
	bad := func(message string) *refusal {
		return refuse(http.StatusBadRequest, reasonBadItem, fmt.Sprintf("line %d: %s", number, message))
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var line batchLine
	if err := decoder.Decode(&line); err != nil {
		return nil, bad(err.Error())
	}
	if decoder.More() {
		return nil, bad("there is more after the object")
	}
	if !plainID(line.CustomID) || line.CustomID == "" {
		return nil, bad("custom_id must be 1 to 128 visible ASCII characters")
	}
	if len(line.Body) == 0 || line.Body[0] != '{' {
		return nil, bad("body must be an object")
	}
	hash := xxhash.Sum64String(line.CustomID)
	if _, twice := seen[hash]; twice {
		return nil, bad("custom_id " + line.CustomID + " is given more than once")
	}
	seen[hash] = struct{}{}
	if len(seen) > s.config.Limits.MaxBatchItems {
		return nil, refuse(http.StatusRequestEntityTooLarge, reasonTooLarge, "the job has more items than this gateway takes")
	}
	return &toucanhingev1.Item{CustomId: line.CustomID, Body: line.Body}, nil
}

// progress gives the sender its time anew as long as bytes come.
type progress struct {
	server  *Server
	context *gin.Context
	reader  io.Reader
	last    time.Time
}

func (p *progress) Read(into []byte) (int, error) {
	if now := time.Now(); now.Sub(p.last) > progressEvery {
		p.server.extend(p.context)
		p.last = now
	}
	return p.reader.Read(into)
}

// controlRefusal tells in HTTP's terms what control said.
func controlRefusal(err error) *refusal {
	if errors.Is(err, control.ErrUnknownOutcome) {
		r := refuse(http.StatusBadGateway, reasonControl, "the answer was lost; a resend under the same key is harmless")
		r.Run = runUnknown
		return r.after(1_000)
	}
	status, reason := codeOf(err)
	r := refuse(status, reason, err.Error())
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		r = r.after(2_000)
	}
	return r
}
