package caller

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/gateway/pkg/online"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const eventStream = "text/event-stream"

var (
	eventPrefix    = []byte("data: ")
	eventSuffix    = []byte("\n\n")
	eventNewline   = []byte("\ndata: ")
	errorEventLine = []byte("event: error\n")
	doneEvent      = []byte("data: [DONE]\n\n")
)

// response writes the response to one caller.
type response struct {
	writer  gin.ResponseWriter
	control *http.ResponseController
	// writeTimeout is the maximum time that the caller may take to read one chunk.
	writeTimeout time.Duration
	method       string
	// streamRequested is true when the caller requested server-sent events, sendsEvents when the
	// response consists of them.
	streamRequested bool
	sendsEvents     bool
	headSent        bool
	// writeDeadline is the deadline set on the connection.
	writeDeadline time.Time
	buffer        []byte
}

func (s *Server) newResponse(c *gin.Context, stream bool) *response {
	return &response{
		writer:          c.Writer,
		control:         http.NewResponseController(c.Writer),
		writeTimeout:    clock.Millis(s.config.Limits.ReaderTimeout).Duration(),
		method:          c.Request.Method,
		streamRequested: stream,
	}
}

func (r *response) sink() online.Sink {
	return online.Sink{Head: r.writeHead, Data: r.writeData}
}

func (r *response) writeHead(status int, headers []*toucanhingev1.Header, length int) {
	header := r.writer.Header()
	for _, h := range headers {
		name := textproto.CanonicalMIMEHeaderKey(h.GetName())
		if !excludedHeaders[name] {
			header.Add(name, h.GetValue())
		}
	}
	if status == 0 {
		status = http.StatusOK
	}
	contentType := header.Get("Content-Type")
	r.sendsEvents = r.streamRequested && status == http.StatusOK && (contentType == "" || strings.HasPrefix(contentType, eventStream))
	if r.sendsEvents {
		header.Set("Content-Type", eventStream)
		header.Set("Cache-Control", "no-cache")
	}
	if length >= 0 && !r.sendsEvents && r.method != http.MethodHead && mayHaveBody(status) {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	r.headSent = true
	r.writer.WriteHeader(status)
	r.writer.WriteHeaderNow()
}

func mayHaveBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeData writes one chunk and flushes it at once, so that no token is delayed in a buffer.
func (r *response) writeData(piece []byte) error {
	r.extendWriteDeadline()
	if r.sendsEvents {
		piece = r.encodeEvent(piece)
	}
	if _, err := r.writer.Write(piece); err != nil {
		return err
	}
	r.writer.Flush()
	return nil
}

func (r *response) encodeEvent(piece []byte) []byte {
	r.buffer = append(r.buffer[:0], eventPrefix...)
	if bytes.IndexByte(piece, '\n') < 0 {
		r.buffer = append(r.buffer, piece...)
	} else {
		r.buffer = append(r.buffer, bytes.ReplaceAll(piece, eventNewline[:1], eventNewline)...)
	}
	r.buffer = append(r.buffer, eventSuffix...)
	return r.buffer
}

// extendWriteDeadline renews the write deadline once less than half of it is left. Without a deadline, a
// caller that reads nothing would hold its slot at the endpoint forever.
func (r *response) extendWriteDeadline() {
	now := time.Now()
	if r.writeDeadline.Sub(now) > r.writeTimeout/2 {
		return
	}
	r.writeDeadline = now.Add(r.writeTimeout)
	_ = r.control.SetWriteDeadline(r.writeDeadline)
}

// finish ends the response with the last event, with an explicit error, or by aborting the connection if
// nothing else can show the caller that the response is incomplete.
func (r *response) finish(s *Server, c *gin.Context, e online.Result) {
	switch {
	case e.CallerGone:
	case e.Complete:
		if r.sendsEvents {
			_, _ = r.writer.Write(doneEvent)
			r.writer.Flush()
		}
	case !r.headSent:
		s.refuse(c, failureRefusal(e))
	case r.sendsEvents:
		failure := failureRefusal(e)
		s.config.Metrics.Set.Refused.WithLabelValues("caller", failure.Reason).Inc()
		_, _ = r.writer.Write(errorEventLine)
		_, _ = r.writer.Write(bytes.Clone(r.encodeEvent(failure.json())))
		r.writer.Flush()
	default:
		s.config.Metrics.Set.Refused.WithLabelValues("caller", e.Reason).Inc()
		// A truncated body with a success status would look complete.
		panic(http.ErrAbortHandler)
	}
}

// rawSink returns a sink that passes bytes through unchanged, without encoding them as events.
func (r *response) rawSink() online.Sink {
	r.streamRequested = false
	return r.sink()
}
