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
	initialLineBytes = 64 << 10
	// extendInterval is the minimum interval between extensions of the read deadline during an upload.
	extendInterval = time.Second
)

// batchLine is one line of a batch upload.
type batchLine struct {
	CustomID string          `json:"custom_id"`
	Body     json.RawMessage `json:"body"`
}

// uploadJob streams the lines of a job to control as they arrive, so that a job of any size needs only a few
// hundred kilobytes of memory in the gateway.
func (s *Server) uploadJob(c *gin.Context) {
	info, r := s.checkHeaders(c)
	if r != nil {
		s.refuse(c, r)
		return
	}
	header, r := s.parseUploadHeader(c, info)
	if r != nil {
		s.refuse(c, r)
		return
	}
	if r := s.acquireTransfer(); r != nil {
		s.refuse(c, r)
		return
	}
	defer s.transfers.Add(-1)
	reply, r := s.transferItems(c, header)
	if r != nil {
		s.config.DecisionLog.Add(info.id, "refused", r.Reason)
		s.refuse(c, r)
		return
	}
	s.config.DecisionLog.Add(info.id, "job", reply.GetJob().GetId())
	body := newJobResponse(reply.GetJob())
	body.Resend = reply.GetResend()
	c.JSON(http.StatusOK, body)
}

func (s *Server) acquireTransfer() *refusal {
	if s.transfers.Add(1) <= int64(s.config.Limits.MaxTransfers) {
		return nil
	}
	s.transfers.Add(-1)
	return newRefusal(http.StatusServiceUnavailable, limit.ReasonGatewayFull,
		"this gateway has as many batch transfers under way as it may").withRetryAfter(1_000)
}

func (s *Server) parseUploadHeader(c *gin.Context, info *requestInfo) (*toucanhingev1.UploadHeader, *refusal) {
	query := c.Request.URL.Query()
	for _, name := range []string{"service", "key", "deadline_ms"} {
		if len(query[name]) > 1 {
			return nil, newRefusal(http.StatusBadRequest, reasonBadQuery, name+" is given more than once")
		}
	}
	header := &toucanhingev1.UploadHeader{Team: info.team.Name, Key: query.Get("key"), Service: query.Get("service")}
	if header.Key == "" || !validID(header.Key) {
		return nil, newRefusal(http.StatusBadRequest, reasonBadQuery,
			"key must be 1 to 128 visible ASCII characters: the caller's own name of the job, the same on a resend")
	}
	if _, found := info.fleet.Service(header.Service); !found {
		return nil, newRefusal(http.StatusNotFound, reasonUnknownService, "there is no such service")
	}
	if _, r := info.findContract(header.Service, true); r != nil {
		return nil, r
	}
	if text := query.Get("deadline_ms"); text != "" {
		deadline, err := strconv.ParseInt(text, 10, 64)
		if err != nil || deadline < 0 {
			return nil, newRefusal(http.StatusBadRequest, reasonBadDeadline, "deadline_ms must be milliseconds since 1970, or 0")
		}
		header.DeadlineMs = deadline
	}
	return header, nil
}

func (s *Server) transferItems(c *gin.Context, header *toucanhingev1.UploadHeader) (*toucanhingev1.UploadResponse, *refusal) {
	ctx := c.Request.Context()
	defer s.clearReadDeadline(c)
	upload, err := s.config.Jobs.Upload(ctx, header)
	if err != nil {
		return nil, controlRefusal(err)
	}
	defer upload.Abandon()
	lines := bufio.NewScanner(&progressReader{server: s, context: c, reader: c.Request.Body})
	lines.Buffer(make([]byte, 0, min(initialLineBytes, s.config.Limits.MaxBatchLineBytes)), s.config.Limits.MaxBatchLineBytes)
	seen := map[uint64]struct{}{}
	for number := 1; lines.Scan(); number++ {
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		item, r := s.parseItem(lines.Bytes(), number, seen)
		if r != nil {
			return nil, r
		}
		if err := upload.Add(ctx, item); err != nil {
			return nil, controlRefusal(err)
		}
	}
	if err := lines.Err(); err != nil {
		if errors.Is(err, bufio.ErrTooLong) {
			return nil, newRefusal(http.StatusRequestEntityTooLarge, reasonTooLarge, "a line is longer than this gateway takes")
		}
		return nil, bodyRefusal(err)
	}
	c.Set(keyBodyRead, true)
	if upload.Count() == 0 {
		return nil, newRefusal(http.StatusBadRequest, reasonMissing, "the job has no items")
	}
	reply, err := upload.End(ctx)
	if err != nil {
		return nil, controlRefusal(err)
	}
	return reply, nil
}

// parseItem decodes and validates one line. seen holds hashes of the custom ids; the probability of a collision
// among a million ids is one in thirty million.
func (s *Server) parseItem(text []byte, number int, seen map[uint64]struct{}) (*toucanhingev1.Item, *refusal) {
	invalid := func(message string) *refusal {
		return newRefusal(http.StatusBadRequest, reasonBadItem, fmt.Sprintf("line %d: %s", number, message))
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var line batchLine
	if err := decoder.Decode(&line); err != nil {
		return nil, invalid(err.Error())
	}
	if decoder.More() {
		return nil, invalid("there is more after the object")
	}
	if !validID(line.CustomID) || line.CustomID == "" {
		return nil, invalid("custom_id must be 1 to 128 visible ASCII characters")
	}
	if len(line.Body) == 0 || line.Body[0] != '{' {
		return nil, invalid("body must be an object")
	}
	hash := xxhash.Sum64String(line.CustomID)
	if _, duplicate := seen[hash]; duplicate {
		return nil, invalid("custom_id " + line.CustomID + " is given more than once")
	}
	seen[hash] = struct{}{}
	if len(seen) > s.config.Limits.MaxBatchItems {
		return nil, newRefusal(http.StatusRequestEntityTooLarge, reasonTooLarge,
			"the job has more items than this gateway takes")
	}
	return &toucanhingev1.Item{CustomId: line.CustomID, Body: line.Body}, nil
}

// progressReader extends the read deadline as long as bytes arrive.
type progressReader struct {
	server     *Server
	context    *gin.Context
	reader     io.Reader
	extendedAt time.Time
}

func (p *progressReader) Read(buffer []byte) (int, error) {
	if now := time.Now(); now.Sub(p.extendedAt) > extendInterval {
		p.server.extendReadDeadline(p.context)
		p.extendedAt = now
	}
	return p.reader.Read(buffer)
}

// controlRefusal returns the refusal for an error of control.
func controlRefusal(err error) *refusal {
	if errors.Is(err, control.ErrUnknownOutcome) {
		r := newRefusal(http.StatusBadGateway, reasonControl, "the answer was lost; a resend under the same key is harmless")
		r.Run = runUnknown
		return r.withRetryAfter(1_000)
	}
	status, reason := controlStatus(err)
	r := newRefusal(status, reason, err.Error())
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		r = r.withRetryAfter(2_000)
	}
	return r
}
