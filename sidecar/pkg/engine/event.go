package engine

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// DoneMark is the data of the event that ends a complete stream.
const DoneMark = "[DONE]"

// maxLineBytes limits one line of a stream. A longer line is malformed.
const maxLineBytes = 1 << 20

// scanBufferBytes is the size of the read buffer, which holds several events. Longer lines
// are assembled in a separate buffer.
const scanBufferBytes = 4 << 10

// ErrLineTooLong reports a line that is longer than any valid one.
var ErrLineTooLong = errors.New("line of the event stream is too long")

// Event is one server-sent event. Its data is a copy that the caller may retain.
type Event struct {
	// ID is the event's number, starting at 1; 0 if the event has none.
	ID   uint64
	Data []byte
}

// Done reports whether this event ends a complete stream.
func (e Event) Done() bool {
	return string(e.Data) == DoneMark
}

// Scanner reads server-sent events. It parses only the fields that engines send, id and
// data.
type Scanner struct {
	in *bufio.Reader
}

// NewScanner returns a scanner that reads from a body.
func NewScanner(body io.Reader) *Scanner {
	return &Scanner{in: bufio.NewReaderSize(body, scanBufferBytes)}
}

// Next returns the next event that has data. It returns io.EOF at the end of the body. An
// event without its closing blank line at the end of the body is dropped, because it may be
// truncated.
func (s *Scanner) Next() (Event, error) {
	var e Event
	found := false
	for {
		line, err := s.readLine()
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if found {
				return e, nil
			}
			continue
		}
		if data, isData := cutField(line, "data:"); isData {
			if found {
				e.Data = append(e.Data, '\n')
			}
			e.Data = append(e.Data, data...)
			found = true
			continue
		}
		if id, isID := cutField(line, "id:"); isID {
			e.ID = parseID(id)
		}
	}
}

func cutField(line []byte, name string) ([]byte, bool) {
	rest, found := bytes.CutPrefix(line, []byte(name))
	if !found {
		return nil, false
	}
	return bytes.TrimPrefix(rest, []byte(" ")), true
}

// parseID parses an event's id. Anything but a decimal number counts as no id.
func parseID(text []byte) uint64 {
	n, err := strconv.ParseUint(string(text), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// readLine returns one line without its line ending. It is valid until the next call.
func (s *Scanner) readLine() ([]byte, error) {
	line, err := s.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = s.readLongLine(line)
	}
	if err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("read the stream: %w", err)
	}
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte("\r")), nil
}

func (s *Scanner) readLongLine(start []byte) ([]byte, error) {
	line := append([]byte(nil), start...)
	for {
		more, err := s.in.ReadSlice('\n')
		line = append(line, more...)
		if len(line) > maxLineBytes {
			return nil, ErrLineTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}
