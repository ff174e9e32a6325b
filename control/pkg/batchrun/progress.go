package batchrun

import (
	"slices"
	"sync"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/sse"
)

// Limits of an item's text. Callers read results in messages of 1 MB at most, and an event holds a token or more.
const (
	maxTextBytes  = 1 << 20
	maxTextEvents = 1 << 16
)

// progress is the output of an item's calls so far. The current call appends to it while the driver reads it.
type progress struct {
	mu   sync.Mutex
	last uint64
	text []byte
	// events counts the events that calls of this driver have added to the text.
	events int
	// version is the software version of the runners that wrote the text.
	version string
	// loggedLast is the last logged event, and loggedBytes is the length of the logged text.
	loggedLast  uint64
	loggedBytes int
	// restarted reports that the text was discarded. The log holds the discarded text, which the new one doesn't
	// continue, so that the new one is logged only when it is complete.
	restarted bool
	// proposedAt is when the driver last proposed to log progress. Only the goroutine of Driver.Run uses it.
	proposedAt clock.Millis
}

// add appends an event of a runner with a software version. It returns an error if the event doesn't follow the last
// one, since a text with a gap or from another stream would look complete.
func (p *progress) add(event sse.Event, version string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !event.Numbered || event.ID <= p.last:
		return errWrongEvent
	case p.last > 0 && event.ID != p.last+1:
		return errEventGap
	case p.last > 0 && version != p.version:
		return errOtherVersion
	case p.events >= maxTextEvents || len(p.text)+len(event.Data) > maxTextBytes:
		return errTextTooLong
	}
	if p.last > 0 {
		p.text = append(p.text, '\n')
	}
	p.text = append(p.text, event.Data...)
	p.last, p.version = event.ID, version
	p.events++
	return nil
}

// prepare discards the text if a runner of a software version can't continue it. It returns the number of discarded
// events.
func (p *progress) prepare(version string) (discarded uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last == 0 || p.version == version {
		return 0
	}
	discarded = p.last
	p.reset()
	return discarded
}

// discard discards the text.
func (p *progress) discard() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reset()
}

// reset discards the text. The caller holds the lock.
func (p *progress) reset() {
	p.last, p.text, p.events, p.version = 0, nil, 0, ""
	p.loggedLast, p.loggedBytes, p.restarted = 0, 0, true
}

func (p *progress) lastEvent() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last
}

// writtenBy returns the software version that wrote the text, empty if there is none.
func (p *progress) writtenBy() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version
}

// textPart is the part of a text behind the event after, up to the event last.
type textPart struct {
	after, last uint64
	text        []byte
	// version is the software version that wrote the text.
	version string
}

// unlogged returns the text that isn't logged yet.
func (p *progress) unlogged() textPart {
	p.mu.Lock()
	defer p.mu.Unlock()
	return textPart{p.loggedLast, p.last, slices.Clone(p.text[p.loggedBytes:]), p.version}
}

// logsParts reports whether the text may be logged before it is complete.
func (p *progress) logsParts() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.restarted
}

// markLogged records that a part of the text is logged. It has no effect if the text was discarded meanwhile.
func (p *progress) markLogged(part textPart) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.restarted {
		return
	}
	p.loggedLast = part.last
	p.loggedBytes += len(part.text)
}

// fullText returns the text from the first event on.
func (p *progress) fullText() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.text)
}
