package logs

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/ring"
)

const (
	// routineLines and keptLines bound what waits for a reader that stalls. A line
	// has some 400 bytes, so the queue holds a quarter of a megabyte at most.
	routineLines = 256
	keptLines    = 256
	// keptPerSecond bounds the lines of one event that are kept: a fault that
	// repeats itself for every request is as clear from a hundred of them.
	keptPerSecond = 100
	// batchBytes is how much is written at once; a write costs more than a line.
	batchBytes = 32 << 10
	// tellEvery is the shortest interval between two lines that tell how many were
	// dropped.
	tellEvery = time.Second
)

// Queue writes log lines in a goroutine of its own. Nobody who logs ever waits:
// when the reader of the output stalls, lines are dropped and counted, those of
// the routine first.
type Queue struct {
	writer  io.Writer
	routine *ring.Ring[[]byte]
	kept    *ring.Ring[[]byte]
	wake    chan struct{}
	dropped atomic.Int64

	mu     sync.Mutex
	second int64
	counts map[string]int
}

// NewQueue makes a queue; lines wait until Run is called.
func NewQueue(writer io.Writer) *Queue {
	return &Queue{
		writer:  writer,
		routine: ring.New[[]byte](ring.Config{Size: routineLines}),
		kept:    ring.New[[]byte](ring.Config{Size: keptLines}),
		wake:    make(chan struct{}, 1),
		counts:  map[string]int{},
	}
}

// Dropped is how many lines were dropped since the start.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Log takes one line. Lines of level info or below that a request or an item
// causes in the ordinary course are routine.
func (q *Queue) Log(keyvals ...any) error {
	var buffer bytes.Buffer
	if err := log.NewJSONLogger(&buffer).Log(keyvals...); err != nil {
		return fmt.Errorf("encode a log line: %w", err)
	}
	event, severe := read(keyvals)
	target := q.kept
	if !severe && routineEvents[event] {
		target = q.routine
	} else if q.tooMany(event) {
		q.dropped.Add(1)
		return nil
	}
	if !target.Offer(buffer.Bytes()) {
		q.dropped.Add(1)
		return nil
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return nil
}

// routineEvents happen for each request or item while all is well.
var routineEvents = map[string]bool{
	EventRequestEnded: true, EventRequestElsewhere: true, EventItemPaused: true, EventItemEnded: true, EventJobAnswered: true,
}

// read finds the event and whether the line is a warning or an error.
func read(keyvals []any) (event string, severe bool) {
	for i := 0; i+1 < len(keyvals); i += 2 {
		switch keyvals[i] {
		case KeyEvent:
			event, _ = keyvals[i+1].(string)
		case level.Key():
			severe = keyvals[i+1] == level.WarnValue() || keyvals[i+1] == level.ErrorValue()
		}
	}
	return event, severe
}

func (q *Queue) tooMany(event string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now := time.Now().Unix(); now != q.second {
		q.second = now
		clear(q.counts)
	}
	q.counts[event]++
	return q.counts[event] > keptPerSecond
}

// Run writes until the context ends, and then what is left.
func (q *Queue) Run(ctx context.Context) {
	told, toldAt := int64(0), time.Time{}
	for {
		ended := false
		select {
		case <-q.wake:
		case <-ctx.Done():
			ended = true
		}
		for batch := q.batch(); len(batch) > 0; batch = q.batch() {
			if _, err := q.writer.Write(batch); err != nil {
				// Standard output is gone: nobody is left to be told.
				return
			}
		}
		if dropped := q.Dropped(); dropped > told && time.Since(toldAt) > tellEvery {
			told, toldAt = dropped, time.Now()
			if _, err := io.WriteString(q.writer, `{"event":"log-lines-dropped","total":`+strconv.FormatInt(dropped, 10)+"}\n"); err != nil {
				return
			}
		}
		if ended {
			return
		}
	}
}

// batch takes lines that wait, the ones to be kept first.
func (q *Queue) batch() []byte {
	var batch []byte
	for _, source := range []*ring.Ring[[]byte]{q.kept, q.routine} {
		for len(batch) < batchBytes {
			lines := source.Drain(1)
			if len(lines) == 0 {
				break
			}
			batch = append(batch, lines[0]...)
		}
	}
	return batch
}
