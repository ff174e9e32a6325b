// Package sse reads server-sent events (text/event-stream) with numeric ids, one event at a time, and
// keeps the raw bytes of each event.
package sse

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEventBytes limits the size of one event, since each stream holds one in memory. Runners send a few hundred bytes
// per event, so a larger one means that the body isn't an event stream.
const maxEventBytes = 64 << 10

var (
	// ErrTruncated means that the stream ended within an event.
	ErrTruncated = errors.New("the stream ended within an event")
	// ErrTooLong means that an event exceeds the size limit.
	ErrTooLong = errors.New("an event is too long")
)

// Event is a server-sent event.
type Event struct {
	// Raw is the event as received, with the blank line at its end.
	Raw []byte
	// ID is the numeric id, valid if Numbered.
	ID       uint64
	Numbered bool
	// Data is the content of the data lines, joined by line feeds.
	Data []byte
}

// Reader reads events from a stream.
type Reader struct {
	buffered *bufio.Reader
	raw      []byte
	data     []byte
}

// NewReader returns a reader of r with a buffer of the given size in bytes.
func NewReader(r io.Reader, size int) *Reader {
	return &Reader{buffered: bufio.NewReaderSize(r, size)}
}

// Next returns the next event, which is valid until the following call. It returns io.EOF at the end of
// the stream, and ErrTruncated if the stream ends within an event.
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

// line appends one line to raw and returns it without its line ending.
func (r *Reader) line() ([]byte, error) {
	start := len(r.raw)
	for {
		part, err := r.buffered.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		if len(r.raw) > maxEventBytes {
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
