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

// bodyTaken marks a request whose body was read to its end.
const bodyTaken = "body-taken"

// body reads a whole body within its bounds of size and time.
func (s *Server) body(c *gin.Context) ([]byte, *refusal) {
	limit := int64(s.config.Limits.MaxBodyBytes)
	if c.Request.ContentLength > limit {
		return nil, tooLarge()
	}
	s.extend(c)
	defer s.unlimit(c)
	var read bytes.Buffer
	if c.Request.ContentLength > 0 {
		read.Grow(int(c.Request.ContentLength) + bytes.MinRead)
	}
	if _, err := read.ReadFrom(http.MaxBytesReader(c.Writer, c.Request.Body, limit)); err != nil {
		return nil, badBody(err)
	}
	c.Set(bodyTaken, true)
	return read.Bytes(), nil
}

// extend gives the sender its time anew. A sender that trickles would otherwise
// hold a connection and a buffer for as long as it likes.
func (s *Server) extend(c *gin.Context) {
	limit := time.Now().Add(clock.Millis(s.config.Limits.SenderTimeout).Duration())
	// A connection that can't have a deadline is one of a test's recorder.
	_ = http.NewResponseController(c.Writer).SetReadDeadline(limit)
}

func (s *Server) unlimit(c *gin.Context) {
	_ = http.NewResponseController(c.Writer).SetReadDeadline(time.Time{})
}

func tooLarge() *refusal {
	return refuse(http.StatusRequestEntityTooLarge, reasonTooLarge, "the body is larger than this gateway takes")
}

func badBody(err error) *refusal {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return tooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(http.StatusRequestTimeout, reasonSlowSender, "the body did not come in time")
	case errors.Is(err, io.ErrUnexpectedEOF):
		return refuse(http.StatusBadRequest, reasonCutBody, "the body ended before its announced length")
	default:
		return refuse(http.StatusBadRequest, reasonCutBody, "the body could not be read to its end")
	}
}
