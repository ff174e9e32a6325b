package http1

import (
	"io"
	"sync"

	"github.com/pkg/errors"
)

var errFolded = errors.New("a line of the answer's head begins with a blank")

// versionBytes is the size of the protocol version, with which a status line begins.
const versionBytes = len("HTTP/1.1")

// FoldCheck is a reader of answers that fails if a line of a head begins with a blank. The standard library joins it to the
// line before (RFC 9112, section 5.2), so that a field that frames the body may get lost in the value of another one.
type FoldCheck struct {
	Source io.Reader

	// mu lets a head begin while a read of an idle connection is under way.
	mu     sync.Mutex
	inHead bool
	// status is the first digit of the answer's status, 0 until it is read.
	status byte
	// column counts the bytes of the present line.
	column int
}

// Begin starts a head, whose first bytes may have been read and be buffered already.
func (f *FoldCheck) Begin(buffered []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startHead()
	return f.check(buffered)
}

func (f *FoldCheck) startHead() {
	f.inHead, f.status, f.column = true, 0, 0
}

// Read implements io.Reader.
func (f *FoldCheck) Read(p []byte) (int, error) {
	n, err := f.Source.Read(p)
	f.mu.Lock()
	defer f.mu.Unlock()
	if foldErr := f.check(p[:n]); foldErr != nil {
		return 0, foldErr
	}
	return n, err
}

func (f *FoldCheck) check(data []byte) error {
	for _, b := range data {
		if !f.inHead {
			return nil
		}
		if b == '\n' {
			f.endLine()
			continue
		}
		if f.column == 0 && (b == ' ' || b == '\t') {
			return errFolded
		}
		if f.status == 0 && f.column >= versionBytes && b != ' ' {
			f.status = b
		}
		// An empty line may have a return.
		if b != '\r' || f.column > 0 {
			f.column++
		}
	}
	return nil
}

// endLine ends a line. An empty one ends the head, and the head of another answer follows an interim one.
func (f *FoldCheck) endLine() {
	if f.column > 0 {
		f.column = 0
		return
	}
	interim := f.status == '1'
	f.startHead()
	f.inHead = interim
}
