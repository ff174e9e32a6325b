package caller

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/gateway/pkg/intake"
)

// memoryRetryDelay is when a caller may come back who was refused for lack of memory: whole bodies are answered by then.
const memoryRetryDelay clock.Millis = 1_000

// keyBodyRead is the context key that is set once the request body was read to its end.
const keyBodyRead = "body-taken"

// parsedCopies is how much memory a request takes beside its body, as a multiple of the body: its fields, and the request
// to an endpoint.
const parsedCopies = 2

// readBody reads a whole request body, within the limits on size, time and memory. release gives the memory back, and must
// be called when the request has ended.
func (s *Server) readBody(c *gin.Context) (body []byte, release func(), r *refusal) {
	limit := int64(s.config.Limits.MaxBodyBytes)
	if c.Request.ContentLength > limit {
		return nil, nil, bodyTooLarge()
	}
	hold := s.config.Memory.Open(func(intake.Phase) { _ = http.NewResponseController(c.Writer).SetReadDeadline(time.Unix(1, 0)) })
	s.extendReadDeadline(c)
	body, err := s.readInto(c, hold, limit)
	if err != nil {
		hold.Close()
		return nil, nil, bodyRefusal(err)
	}
	s.clearReadDeadline(c)
	return body, hold.Close, nil
}

func (s *Server) readInto(c *gin.Context, hold *intake.Hold, limit int64) ([]byte, error) {
	ctx := c.Request.Context()
	body, err := intake.ReadBody(ctx, hold, http.MaxBytesReader(c.Writer, c.Request.Body, limit), c.Request.ContentLength, limit)
	if err != nil {
		return nil, err
	}
	c.Set(keyBodyRead, true)
	if err := hold.EndReading(); err != nil {
		return nil, err
	}
	return body, hold.Grow(ctx, parsedCopies*int64(len(body)))
}

// extendReadDeadline renews the read deadline. Without one, a sender that trickles its body could hold a
// connection and a buffer indefinitely.
func (s *Server) extendReadDeadline(c *gin.Context) {
	deadline := time.Now().Add(clock.Millis(s.config.Limits.SenderTimeout).Duration())
	// Only the response recorders of tests don't support deadlines, so the error is ignored.
	_ = http.NewResponseController(c.Writer).SetReadDeadline(deadline)
}

func (s *Server) clearReadDeadline(c *gin.Context) {
	_ = http.NewResponseController(c.Writer).SetReadDeadline(time.Time{})
}

func bodyTooLarge() *refusal {
	return newRefusal(http.StatusRequestEntityTooLarge, reasonTooLarge, "the body is larger than this gateway takes")
}

func bodyRefusal(err error) *refusal {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return bodyTooLarge()
	case errors.Is(err, intake.ErrMemoryFull):
		return newRefusal(http.StatusServiceUnavailable, reasonMemoryFull, "other requests use the gateway's memory").withRetryAfter(memoryRetryDelay)
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, intake.ErrEvicted):
		return newRefusal(http.StatusRequestTimeout, reasonSlowSender, "the body did not come in time")
	case errors.Is(err, io.ErrUnexpectedEOF):
		return newRefusal(http.StatusBadRequest, reasonCutBody, "the body ended before its announced length")
	default:
		return newRefusal(http.StatusBadRequest, reasonCutBody, "the body could not be read to its end")
	}
}
