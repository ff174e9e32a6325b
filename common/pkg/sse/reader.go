// Package sse reads streams of numbered events (text/event-stream), event by
// event and without changing a byte.
package sse

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// mostEventBytes bounds one event. Runners send some hundred bytes; more than
// this is no event stream.
const mostEventBytes = 1 << 20

var (
	// ErrTruncated tells that the stream ended within an event.
	ErrTruncated = errors.New("the stream ended within an event")
	// ErrTooLong tells that an event has no end.
	ErrTooLong = errors.New("an event is too long")
)

// Event is one event.
type Event struct {
	// Raw is the event as it came, with the blank line at its end.
	Raw []byte
	// ID is its number, if Numbered.
	ID       uint64
	Numbered bool
	// Data is the text of its data lines, joined by line feeds.
	Data []byte
}

// Reader reads events.
type Reader struct {
	buffered *bufio.Reader
	raw      []byte
	data     []byte
}

// NewReader reads from r with a buffer of the given size in bytes.
func NewReader(r io.Reader, size int) *Reader {
	return &Reader{buffered: bufio.NewReaderSize(r, size)}
}

// Next returns the next event, which is valid until the call after. At the end
// of the stream it returns io.EOF, within an event ErrCut.
func (r *Reader) Next() (Event, error) {
	r.raw, r.data = r.raw[:0], r.data[:0]
	event := Event{}
	lines := 0
	for {
		line, err := r.line()
		if err != nil {
			if errors.Is(err, io.EOF) && len(r.raw) > 0 {
				err = ErrTruncated
			}
			return Event{}, err
		}
		if len(line) == 0 {
			event.Raw, event.Data = r.raw, r.data
			return event, nil
		}
		lines = r.field(&event, line, lines)
	}
}

// line appends one line to raw and returns it without its end.
func (r *Reader) line() ([]byte, error) {
	start := len(r.raw)
	for {
		part, err := r.buffered.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		if len(r.raw) > mostEventBytes {
			return nil, ErrTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("read event: %w", err)
		}
		return bytes.TrimSuffix(r.raw[start:len(r.raw)-1], []byte("\r")), nil
	}
}

func (r *Reader) field(event *Event, line []byte, dataLines int) int {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		id, err := strconv.ParseUint(string(value), 10, 64)
		event.ID, event.Numbered = id, err == nil
	case "data":
		if dataLines > 0 {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
		return dataLines + 1
	}
	return dataLines
}
