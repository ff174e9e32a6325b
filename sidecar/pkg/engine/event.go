package engine

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// DoneMark is the data of the event that ends a whole stream.
const DoneMark = "[DONE]"

// lineMost bounds one line of a stream; a longer one is garbage.
const lineMost = 1 << 20

// scanBytes holds some events; longer lines are put together aside.
const scanBytes = 4 << 10

// ErrLineTooLong is an event that is longer than any sound one.
var ErrLineTooLong = errors.New("a line of the stream is too long")

// Event is one server-sent event. Its data is a copy that may be kept.
type Event struct {
	// ID is the event's number, from 1; 0 when it bears none.
	ID   uint64
	Data []byte
}

// Done says whether this event ends a whole stream.
func (e Event) Done() bool {
	return string(e.Data) == DoneMark
}

// Scanner reads server-sent events. We keep only what engines send: ids and data.
type Scanner struct {
	in *bufio.Reader
}

// NewScanner reads events from a body.
func NewScanner(body io.Reader) *Scanner {
	return &Scanner{in: bufio.NewReaderSize(body, scanBytes)}
}

// Next returns the next event that has data. At the end of the body it returns
// io.EOF; an event that the end cuts off is dropped, since it can't be told
// from a shortened one.
func (s *Scanner) Next() (Event, error) {
	var e Event
	found := false
	for {
		line, err := s.line()
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if found {
				return e, nil
			}
			continue
		}
		if data, isData := field(line, "data:"); isData {
			if found {
				e.Data = append(e.Data, '\n')
			}
			e.Data = append(e.Data, data...)
			found = true
			continue
		}
		if id, isID := field(line, "id:"); isID {
			e.ID = number(id)
		}
	}
}

func field(line []byte, name string) ([]byte, bool) {
	rest, found := bytes.CutPrefix(line, []byte(name))
	if !found {
		return nil, false
	}
	return bytes.TrimPrefix(rest, []byte(" ")), true
}

// number reads an event's id; anything else than a plain number counts as none.
func number(text []byte) uint64 {
	n, err := strconv.ParseUint(string(text), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// line returns one line without its end; it is valid until the next call.
func (s *Scanner) line() ([]byte, error) {
	line, err := s.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = s.longLine(line)
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

func (s *Scanner) longLine(start []byte) ([]byte, error) {
	whole := append([]byte(nil), start...)
	for {
		more, err := s.in.ReadSlice('\n')
		whole = append(whole, more...)
		if len(whole) > lineMost {
			return nil, ErrLineTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return whole, err
		}
	}
}
