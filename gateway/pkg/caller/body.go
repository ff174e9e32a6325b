package caller

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/clock"
)

// keyBodyRead is the context key that is set once the request body was read to its end.
const keyBodyRead = "body-taken"

// readBody reads a whole request body, within the limits on size and time.
func (s *Server) readBody(c *gin.Context) ([]byte, *refusal) {
	limit := int64(s.config.Limits.MaxBodyBytes)
	if c.Request.ContentLength > limit {
		return nil, bodyTooLarge()
	}
	s.extendReadDeadline(c)
	defer s.clearReadDeadline(c)
	var buffer bytes.Buffer
	if c.Request.ContentLength > 0 {
		buffer.Grow(int(c.Request.ContentLength) + bytes.MinRead)
	}
	if _, err := buffer.ReadFrom(http.MaxBytesReader(c.Writer, c.Request.Body, limit)); err != nil {
		return nil, bodyRefusal(err)
	}
	c.Set(keyBodyRead, true)
	return buffer.Bytes(), nil
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
	case errors.Is(err, os.ErrDeadlineExceeded):
		return newRefusal(http.StatusRequestTimeout, reasonSlowSender, "the body did not come in time")
	case errors.Is(err, io.ErrUnexpectedEOF):
		return newRefusal(http.StatusBadRequest, reasonCutBody, "the body ended before its announced length")
	default:
		return newRefusal(http.StatusBadRequest, reasonCutBody, "the body could not be read to its end")
	}
}
