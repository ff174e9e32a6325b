package entry

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Errors returned to the reader of an answer.
var (
	// errSuperseded ends a reader after another call attached to the same answer.
	errSuperseded = errors.New("another call reads this answer now")
	// errTrimmed reports that the requested pieces are no longer retained.
	errTrimmed = errors.New("the requested frames are no longer retained")
)

// answer buffers the pieces of one answer. The engine side appends, and one gateway call
// at a time reads. The index of a piece is its sequence number: the head is 0, data starts
// at 1.
//
// Pieces are retained for a while after they were read, because a broken connection also
// loses the data that was already handed to the kernel.
type answer struct {
	mu     sync.Mutex
	limit  int
	pieces []piece
	// firstSequence is the sequence number of pieces[0].
	firstSequence uint64
	bytes         int
	ended         bool
	// nextRead is the sequence number that the reader reads next.
	nextRead uint64
	readerID uint64
	// dataReady is signaled when pieces were appended or a reader attached, spaceFreed
	// when the reader has read pieces. readerReplaced is closed when another reader
	// attaches.
	dataReady      chan struct{}
	spaceFreed     chan struct{}
	readerReplaced chan struct{}
}

// newAnswer returns an empty answer whose next piece has the given sequence number.
func newAnswer(limit int, first uint64) *answer {
	return &answer{limit: limit, firstSequence: first, dataReady: make(chan struct{}, 1), spaceFreed: make(chan struct{}, 1)}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// append adds a piece. It blocks while a slow reader lags too far behind, so that
// backpressure reaches the engine's connection.
func (a *answer) append(ctx context.Context, p piece) error {
	for !a.tryAppend(p) {
		select {
		case <-a.spaceFreed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	signal(a.dataReady)
	return nil
}

func (a *answer) tryAppend(p piece) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return true
	}
	a.trim(len(p.data))
	if a.bytes > 0 && a.bytes+len(p.data) > a.limit && !p.isLast() {
		return false
	}
	a.pieces = append(a.pieces, p)
	a.bytes += len(p.data)
	a.ended = p.isLast()
	return true
}

// trim drops the oldest pieces that were read until newBytes more bytes fit within the limit.
func (a *answer) trim(newBytes int) {
	dropped := 0
	for dropped < len(a.pieces) && a.firstSequence+uint64(dropped) < a.nextRead && a.bytes+newBytes > a.limit {
		a.bytes -= len(a.pieces[dropped].data)
		dropped++
	}
	if dropped > 0 {
		clear(a.pieces[:dropped])
		a.pieces = a.pieces[dropped:]
		a.firstSequence += uint64(dropped)
	}
}

// attach registers a new reader that starts at the given sequence number and stops the
// previous reader.
func (a *answer) attach(from uint64) (reader uint64, replaced <-chan struct{}, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if from < a.firstSequence || (a.ended && from >= a.firstSequence+uint64(len(a.pieces))) {
		return 0, nil, errTrimmed
	}
	if a.readerReplaced != nil {
		close(a.readerReplaced)
	}
	a.readerReplaced = make(chan struct{})
	a.readerID++
	a.nextRead = from
	signal(a.dataReady)
	return a.readerID, a.readerReplaced, nil
}

// isAttached reports whether the given reader is the current one.
func (a *answer) isAttached(reader uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.readerID == reader
}

// next appends the unread pieces to batch and returns them with the sequence number of the
// first one. It blocks until at least one piece is available.
func (a *answer) next(ctx context.Context, reader uint64, replaced <-chan struct{}, batch []piece) ([]piece, uint64, error) {
	for {
		read, from, err := a.readAvailable(reader, batch)
		if err != nil || len(read) > 0 {
			return read, from, err
		}
		select {
		case <-a.dataReady:
		case <-replaced:
			return nil, 0, errSuperseded
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (a *answer) readAvailable(reader uint64, batch []piece) ([]piece, uint64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.readerID != reader {
		return nil, 0, errSuperseded
	}
	from := a.nextRead
	if start := from - a.firstSequence; start < uint64(len(a.pieces)) {
		batch = append(batch, a.pieces[start:]...)
		a.nextRead += uint64(len(batch))
		signal(a.spaceFreed)
	}
	return batch, from, nil
}

// notRun reports whether the answer is a refusal of a request that was certainly not run.
func (a *answer) notRun() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ended || len(a.pieces) == 0 {
		return false
	}
	last := a.pieces[len(a.pieces)-1]
	return last.refusal != nil && last.refusal.GetRan() == toucanhingev1.Ran_RAN_NO
}

// size returns the number of bytes that the answer retains.
func (a *answer) size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bytes
}

// dataCount returns the number of data pieces appended so far.
func (a *answer) dataCount() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(a.firstSequence+uint64(len(a.pieces)), 1) - 1
}
