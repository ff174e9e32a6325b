package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// Errors of an answer that is not whole.
var (
	ErrShort   = errors.New("the stream ended before its end mark")
	ErrNotSent = errors.New("the engine could not be reached")
)

// repairs bounds how often one stream is resumed after a fault of its
// connection, so that an engine that garbles everything is given up on.
const repairs = 2

// Stream runs one streamed answer and mends it by the engine's resume.
type Stream struct {
	Client *Client
	Call   Call
	// OnHead is told the status and headers, once.
	OnHead func(status int, headers http.Header) error
	// OnEvent gets each event in order, once, without the end mark.
	OnEvent func(Event) error
	// OnBody gets the pieces of an answer that is no stream of events.
	OnBody func(piece []byte) error
	// MaxBufferedBody, when above 0, holds an answer of up to so many bytes until it is
	// known to be whole JSON, and passes it on in one piece.
	MaxBufferedBody int
	// MayResume, when set, says whether a broken stream may be resumed now: one that
	// was suspended on purpose must not take its slot again.
	MayResume func() bool

	sorter *Sorter
	headed bool
	sent   bool
}

// LastID is the number of the last event that was emitted.
func (s *Stream) LastID() uint64 {
	if s.sorter == nil {
		return 0
	}
	return s.sorter.LastID()
}

// Sent says whether any byte may have reached the engine.
func (s *Stream) Sent() bool {
	return s.sent
}

// HeadReceived says whether the head of an answer came.
func (s *Stream) HeadReceived() bool {
	return s.headed
}

// Run starts the answer and returns nil only when it was whole.
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
		return s.holdBody(answer)
	}
	if !answer.IsEventStream() {
		return s.copyBody(answer)
	}
	return s.follow(ctx, answer)
}

// Resume goes on after the last event that this stream emitted.
func (s *Stream) Resume(ctx context.Context, after uint64) error {
	s.sent = true
	s.sorter = NewSorter(after)
	answer, err := s.Client.Resume(ctx, s.Call.ID, after)
	if err != nil {
		return err
	}
	return s.follow(ctx, answer)
}

func (s *Stream) follow(ctx context.Context, answer *Answer) error {
	for try := 0; ; try++ {
		err := s.read(answer)
		if err == nil || ctx.Err() != nil || try == repairs || !s.mendable(err) {
			return err
		}
		// The engine keeps a stream whose connection broke for a while, so a
		// cut or garbled answer can go on without loss.
		again, resumeErr := s.Client.Resume(ctx, s.Call.ID, s.LastID())
		if resumeErr != nil {
			return err
		}
		s.sorter = NewSorter(s.LastID())
		answer = again
	}
}

// sinkError wraps an error of our own side, which no resume can mend.
type sinkError struct{ error }

func (e sinkError) Unwrap() error { return e.error }

func (s *Stream) mendable(err error) bool {
	var sink sinkError
	return s.Call.ID != "" && !errors.As(err, &sink) && (s.MayResume == nil || s.MayResume())
}

// read emits one connection's events; nil means the end mark came.
func (s *Stream) read(answer *Answer) error {
	done := false
	defer func() {
		if done {
			answer.Release()
			return
		}
		_ = answer.Body.Close()
	}()
	if !s.headed {
		s.headed = true
		if err := s.OnHead(answer.Status, answer.Headers); err != nil {
			return sinkError{err}
		}
	}
	emit := func(e Event) error {
		if e.Done() {
			done = true
			return nil
		}
		if err := s.OnEvent(e); err != nil {
			return sinkError{err}
		}
		return nil
	}
	scanner := NewScanner(answer.Body)
	for !done {
		e, err := scanner.Next()
		if errors.Is(err, io.EOF) {
			return s.ended()
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

func (s *Stream) ended() error {
	if s.sorter.HasGap() {
		return ErrGap
	}
	return ErrShort
}

// holdBody passes on an answer only when it is whole. A model's answer cut
// short or garbled could otherwise reach the caller with a good status.
func (s *Stream) holdBody(answer *Answer) error {
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, int64(s.MaxBufferedBody)+1))
	if err != nil {
		return fmt.Errorf("read the answer: %w", err)
	}
	if len(body) > s.MaxBufferedBody || !json.Valid(body) {
		return fmt.Errorf("answer of %d bytes: %w", len(body), ErrMalformed)
	}
	s.headed = true
	if err := s.OnHead(answer.Status, answer.Headers); err != nil {
		return sinkError{err}
	}
	if err := s.OnBody(body); err != nil {
		return sinkError{err}
	}
	return nil
}

const pieceBytes = 32 << 10

// copyBody passes on an answer that is no stream: an error, or a plain body.
func (s *Stream) copyBody(answer *Answer) error {
	defer func() { _ = answer.Body.Close() }()
	s.headed = true
	if err := s.OnHead(answer.Status, answer.Headers); err != nil {
		return sinkError{err}
	}
	for {
		piece := make([]byte, pieceBytes)
		n, err := answer.Body.Read(piece)
		if n > 0 {
			if sinkErr := s.OnBody(piece[:n]); sinkErr != nil {
				return sinkError{sinkErr}
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
