package forward

import (
	"fmt"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/runner"
)

// wholeBody is the largest body of an answer that is read whole before it is
// passed on, so that a runner that breaks off can be replaced unseen.
const wholeBody = 64 << 10

// begin sends the answer's header to the caller.
func (e *exchange) begin(answer *runner.Answer) {
	if e.begun {
		return
	}
	e.begun = true
	header := e.w.Header()
	for name, values := range answer.Header {
		if !hopByHop[name] {
			header[name] = values
		}
	}
	if answer.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	if header.Get("Date") == "" {
		// The answer's header is the runner's; we add none of our own.
		header["Date"] = nil
	}
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil
	}
	e.server.closeIfLeaving(header)
	e.w.WriteHeader(answer.Status)
}

// hopByHop are the fields that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// pass passes an answer on that is no stream.
func (e *exchange) pass(answer *runner.Answer) error {
	head, err := io.ReadAll(io.LimitReader(answer.Body, wholeBody))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	e.begin(answer)
	if _, err := e.w.Write(head); err != nil {
		return fmt.Errorf("%w: %w", errLeft, err)
	}
	if len(head) < wholeBody {
		return nil
	}
	rest := &sourceError{source: answer.Body}
	if _, err := io.Copy(e.w, rest); err != nil {
		if rest.err != nil {
			return fmt.Errorf("read answer: %w", rest.err)
		}
		return fmt.Errorf("%w: %w", errLeft, err)
	}
	return nil
}

// sourceError remembers whether a copy failed because of its source.
type sourceError struct {
	source io.Reader
	err    error
}

// Read implements io.Reader.
func (s *sourceError) Read(p []byte) (int, error) {
	n, err := s.source.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.err = err
	}
	return n, err
}
