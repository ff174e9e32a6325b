package engine

import "time"

// sequence holds a stream's request, its progress and its current handler.
type sequence struct {
	id            string
	model         string
	prompt        string
	chat          bool
	seed          uint64
	startPosition int
	maxTokens     int
	produced      int
	// prefill is the number of prompt tokens still to be computed. -1 means that the
	// prefix cache hasn't been consulted yet.
	prefill int
	state   sequenceState
	// admitted reports whether the sequence has had a slot before, so that a resume
	// isn't counted as a new run.
	admitted  bool
	idleSince time.Time
	changed   chan struct{}
	created   int64
	// owner is the number of the handler that currently reads the stream. It keeps a
	// handler with a broken connection from suspending a stream that another
	// handler has resumed.
	owner int
}

type sequenceState int

const (
	stateWaiting sequenceState = iota
	stateRunning
	stateSuspended
	stateDone
	stateCancelled
	stateEvicted
)

func newSequence(id string, r generateRequest, chat bool, now time.Time) *sequence {
	prompt := r.flatPrompt(chat)
	seed, start := splitPrompt(prompt)
	return &sequence{
		id: id, model: r.Model, prompt: prompt, chat: chat, seed: seed, startPosition: start,
		maxTokens: r.maxTokens(), prefill: -1, changed: make(chan struct{}, 1), created: now.Unix(),
	}
}

// notify signals a state change to the handler. One pending signal is enough.
func (s *sequence) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *sequence) promptTokens() int { return len(s.prompt)/bytesPerToken + 1 }

// events returns the number of events available so far: the tokens and, if the
// sequence is done, the finish reason and the end marker.
func (s *sequence) events() int {
	if s.state == stateDone {
		return s.produced + 2
	}
	return s.produced
}

func (s *sequence) ended() bool {
	return s.state == stateDone || s.state == stateCancelled || s.state == stateEvicted
}
