package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// Errors of an incomplete answer.
var (
	ErrShort   = errors.New("stream ended before its end mark")
	ErrNotSent = errors.New("engine is unreachable")
)

// maxResumes limits how often a stream is resumed after a connection fault, so that a
// stream ends with an error if the engine corrupts every response.
const maxResumes = 2

// Stream reads one streamed answer and recovers from connection faults by resuming it.
type Stream struct {
	Client *Client
	Call   Call
	// OnHead receives the status and headers once.
	OnHead func(status int, headers http.Header) error
	// OnEvent receives each event once and in order, without the end mark.
	OnEvent func(Event) error
	// OnBody receives the data of a response that is not an event stream.
	OnBody func(piece []byte) error
	// MaxBufferedBody, if above 0, buffers an unstreamed body of up to this many bytes
	// until it is known to be complete JSON, and passes it on in one call of OnBody.
	MaxBufferedBody int
	// MayResume, if set, reports whether a broken stream may be resumed now. A stream that
	// was suspended on purpose must not occupy its slot again.
	MayResume func() bool

	sorter       *Sorter
	headReceived bool
	sent         bool
}

// LastID returns the number of the last emitted event.
func (s *Stream) LastID() uint64 {
	if s.sorter == nil {
		return 0
	}
	return s.sorter.LastID()
}

// Sent reports whether any byte may have reached the engine.
func (s *Stream) Sent() bool {
	return s.sent
}

// HeadReceived reports whether response headers were received.
func (s *Stream) HeadReceived() bool {
	return s.headReceived
}

// Run starts the answer. It returns nil only if the answer was complete.
func (s *Stream) Run(ctx context.Context) error {
	s.sorter = NewSorter(0)
	answer, sent, err := s.Client.Open(ctx, s.Call)
	s.sent = sent
	if err != nil {
		if !sent {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return err
	}
	if !answer.IsEventStream() && s.MaxBufferedBody > 0 {
		return s.bufferBody(answer)
	}
	if !answer.IsEventStream() {
		return s.copyBody(answer)
	}
	return s.readWithResume(ctx, answer)
}

// Resume continues the stream after the given event number.
func (s *Stream) Resume(ctx context.Context, after uint64) error {
	s.sent = true
	s.sorter = NewSorter(after)
	answer, err := s.Client.Resume(ctx, s.Call.ID, after)
	if err != nil {
		return err
	}
	return s.readWithResume(ctx, answer)
}

func (s *Stream) readWithResume(ctx context.Context, answer *Answer) error {
	for try := 0; ; try++ {
		err := s.read(answer)
		if err == nil || ctx.Err() != nil || try == maxResumes || !s.resumable(err) {
			return err
		}
		// The engine retains a stream for a while after its connection broke, so a
		// truncated or malformed answer can continue without loss.
		resumed, resumeErr := s.Client.Resume(ctx, s.Call.ID, s.LastID())
		if resumeErr != nil {
			return err
		}
		s.sorter = NewSorter(s.LastID())
		answer = resumed
	}
}

// callbackError wraps an error of a callback. Resuming can't recover from it.
type callbackError struct{ error }

func (e callbackError) Unwrap() error { return e.error }

func (s *Stream) resumable(err error) bool {
	var callback callbackError
	return s.Call.ID != "" && !errors.As(err, &callback) && (s.MayResume == nil || s.MayResume())
}

// read emits the events of one connection. It returns nil if the end mark arrived.
func (s *Stream) read(answer *Answer) error {
	done := false
	defer func() {
		if done {
			answer.Release()
			return
		}
		_ = answer.Body.Close()
	}()
	if !s.headReceived {
		s.headReceived = true
		if err := s.OnHead(answer.Status, answer.Headers); err != nil {
			return callbackError{err}
		}
	}
	emit := func(e Event) error {
		if e.Done() {
			done = true
			return nil
		}
		if err := s.OnEvent(e); err != nil {
			return callbackError{err}
		}
		return nil
	}
	scanner := NewScanner(answer.Body)
	for !done {
		e, err := scanner.Next()
		if errors.Is(err, io.EOF) {
			return s.truncationError()
		}
		if err == nil {
			err = s.sorter.Add(e, emit)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *Stream) truncationError() error {
	if s.sorter.HasGap() {
		return ErrGap
	}
	return ErrShort
}

// bufferBody passes on an answer only if it is complete. Otherwise a truncated or
// malformed model answer could reach the caller with a success status.
func (s *Stream) bufferBody(answer *Answer) error {
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, int64(s.MaxBufferedBody)+1))
	if err != nil {
		return fmt.Errorf("read the answer: %w", err)
	}
	if len(body) > s.MaxBufferedBody || !json.Valid(body) {
		return fmt.Errorf("unstreamed answer of %d bytes is too large or not valid JSON: %w", len(body), ErrMalformed)
	}
	s.headReceived = true
	if err := s.OnHead(answer.Status, answer.Headers); err != nil {
		return callbackError{err}
	}
	if err := s.OnBody(body); err != nil {
		return callbackError{err}
	}
	return nil
}

const copyBufferBytes = 32 << 10

// copyBody passes on a response that is not an event stream, such as an error or a plain
// body.
func (s *Stream) copyBody(answer *Answer) error {
	defer func() { _ = answer.Body.Close() }()
	s.headReceived = true
	if err := s.OnHead(answer.Status, answer.Headers); err != nil {
		return callbackError{err}
	}
	for {
		piece := make([]byte, copyBufferBytes)
		n, err := answer.Body.Read(piece)
		if n > 0 {
			if callbackErr := s.OnBody(piece[:n]); callbackErr != nil {
				return callbackError{callbackErr}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read the answer: %w", err)
		}
	}
}
