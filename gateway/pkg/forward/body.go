package forward

import (
	"fmt"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/runner"
	"toucanhinge.example/common/pkg/web"
)

// maxBufferedBody is the largest body of an answer that is read completely before the header is
// sent, so that the request can still be retried if the call breaks.
const maxBufferedBody = 64 << 10

// sendHeader sends the answer's header to the caller, once.
func (e *exchange) sendHeader(answer *runner.Answer) {
	if e.headerSent {
		return
	}
	e.headerSent = true
	header := e.w.Header()
	for name, values := range answer.Header {
		if !web.HopByHop[name] {
			header[name] = values
		}
	}
	if answer.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	if header.Get("Date") == "" {
		// The header of the answer is the runner's; a nil value keeps net/http from adding its own.
		header["Date"] = nil
	}
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil
	}
	e.server.closeIfDraining(header)
	e.w.WriteHeader(answer.Status)
}

// copyBody forwards an answer that isn't a stream.
func (e *exchange) copyBody(answer *runner.Answer) error {
	head, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedBody))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	e.sendHeader(answer)
	if _, err := e.w.Write(head); err != nil {
		return fmt.Errorf("%w: %w", errCallerLeft, err)
	}
	if len(head) < maxBufferedBody {
		return nil
	}
	rest := &errorRecorder{source: answer.Body}
	if _, err := io.Copy(e.w, rest); err != nil {
		if rest.err != nil {
			return fmt.Errorf("read answer: %w", rest.err)
		}
		return fmt.Errorf("%w: %w", errCallerLeft, err)
	}
	return nil
}

// errorRecorder records an error of the source, to distinguish it from an error of the destination.
type errorRecorder struct {
	source io.Reader
	err    error
}

// Read implements io.Reader.
func (s *errorRecorder) Read(p []byte) (int, error) {
	n, err := s.source.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.err = err
	}
	return n, err
}
