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
	eventBegin   = []byte("data: ")
	eventEnd     = []byte("\n\n")
	eventNewline = []byte("\ndata: ")
	eventError   = []byte("event: error\n")
	eventDone    = []byte("data: [DONE]\n\n")
)

// answer writes to one caller.
type answer struct {
	writer  gin.ResponseWriter
	control *http.ResponseController
	// reader is the time that the caller gets to take a piece.
	reader time.Duration
	method string
	// stream is true when the caller asked for events; events when they are being sent.
	stream bool
	events bool
	begun  bool
	// until is the write deadline in force.
	until time.Time
	line  []byte
}

func (s *Server) newAnswer(c *gin.Context, stream bool) *answer {
	return &answer{
		writer:  c.Writer,
		control: http.NewResponseController(c.Writer),
		reader:  clock.Millis(s.config.Limits.ReaderTimeout).Duration(),
		method:  c.Request.Method,
		stream:  stream,
	}
}

func (a *answer) sink() online.Sink {
	return online.Sink{Head: a.head, Data: a.data}
}

func (a *answer) head(status int, headers []*toucanhingev1.Header, length int) {
	header := a.writer.Header()
	for _, h := range headers {
		name := textproto.CanonicalMIMEHeaderKey(h.GetName())
		if !kept[name] {
			header.Add(name, h.GetValue())
		}
	}
	if status == 0 {
		status = http.StatusOK
	}
	kind := header.Get("Content-Type")
	a.events = a.stream && status == http.StatusOK && (kind == "" || strings.HasPrefix(kind, eventStream))
	if a.events {
		header.Set("Content-Type", eventStream)
		header.Set("Cache-Control", "no-cache")
	}
	if length >= 0 && !a.events && a.method != http.MethodHead && mayHaveBody(status) {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	a.begun = true
	a.writer.WriteHeader(status)
	a.writer.WriteHeaderNow()
}

func mayHaveBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// data writes one piece and pushes it out at once: a token that waits in a
// buffer is a token that is late.
func (a *answer) data(piece []byte) error {
	a.extend()
	if a.events {
		piece = a.event(piece)
	}
	if _, err := a.writer.Write(piece); err != nil {
		return err
	}
	a.writer.Flush()
	return nil
}

func (a *answer) event(piece []byte) []byte {
	a.line = append(a.line[:0], eventBegin...)
	if bytes.IndexByte(piece, '\n') < 0 {
		a.line = append(a.line, piece...)
	} else {
		a.line = append(a.line, bytes.ReplaceAll(piece, eventNewline[:1], eventNewline)...)
	}
	a.line = append(a.line, eventEnd...)
	return a.line
}

// extend moves the write deadline on, at most a few times in its span. A caller
// that reads nothing would otherwise hold its slot at the endpoint for ever.
func (a *answer) extend() {
	now := time.Now()
	if a.until.Sub(now) > a.reader/2 {
		return
	}
	a.until = now.Add(a.reader)
	_ = a.control.SetWriteDeadline(a.until)
}

// end closes the answer: with the last event, with an explicit error, or by
// cutting the connection when there is no other way to show that it isn't whole.
func (a *answer) end(s *Server, c *gin.Context, e online.Result) {
	switch {
	case e.CallerGone:
	case e.Complete:
		if a.events {
			_, _ = a.writer.Write(eventDone)
			a.writer.Flush()
		}
	case !a.begun:
		s.refuse(c, ended(e))
	case a.events:
		r := ended(e)
		s.config.Metrics.Set.Refused.WithLabelValues("caller", r.Reason).Inc()
		_, _ = a.writer.Write(eventError)
		_, _ = a.writer.Write(bytes.Clone(a.event(r.json())))
		a.writer.Flush()
	default:
		s.config.Metrics.Set.Refused.WithLabelValues("caller", e.Reason).Inc()
		// A short body under a good status would look whole.
		panic(http.ErrAbortHandler)
	}
}

// raw is a sink that passes bytes as they come, events included.
func (a *answer) raw() online.Sink {
	a.stream = false
	return a.sink()
}
