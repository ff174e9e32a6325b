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
	// routineLines and priorityLines limit the lines that wait for a stalled reader. A line has
	// about 400 bytes, so the queue holds up to a quarter of a megabyte.
	routineLines  = 256
	priorityLines = 256
	// maxPerSecond limits the priority lines of one event per second. A hundred lines suffice to
	// diagnose a fault that repeats for every request.
	maxPerSecond = 100
	// batchBytes limits the size of one write. Lines are batched because a write costs more than
	// a line.
	batchBytes = 32 << 10
	// dropReportInterval is the shortest interval between two lines with the number of dropped
	// lines.
	dropReportInterval = time.Second
)

// Queue writes log lines in a separate goroutine, so that logging never blocks. When the reader of the
// output stalls, lines are dropped and counted, routine lines first.
type Queue struct {
	writer   io.Writer
	routine  *ring.Ring[[]byte]
	priority *ring.Ring[[]byte]
	wake     chan struct{}
	dropped  atomic.Int64

	mu     sync.Mutex
	second int64
	counts map[string]int
}

// NewQueue returns a queue, which holds its lines until Run is called.
func NewQueue(writer io.Writer) *Queue {
	return &Queue{
		writer:   writer,
		routine:  ring.New[[]byte](ring.Config{Size: routineLines}),
		priority: ring.New[[]byte](ring.Config{Size: priorityLines}),
		wake:     make(chan struct{}, 1),
		counts:   map[string]int{},
	}
}

// Dropped returns the number of lines dropped since the start.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Log enqueues one line. Lines of level info or below that any request or item may cause in normal
// operation are routine; all others have priority.
func (q *Queue) Log(keyvals ...any) error {
	var buffer bytes.Buffer
	if err := log.NewJSONLogger(&buffer).Log(keyvals...); err != nil {
		return fmt.Errorf("encode a log line: %w", err)
	}
	event, severe := classify(keyvals)
	target := q.priority
	if !severe && routineEvents[event] {
		target = q.routine
	} else if q.exceedsRate(event) {
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

// routineEvents occur for each request or item in normal operation.
var routineEvents = map[string]bool{
	EventRequestEnded: true, EventRequestRetried: true, EventResumeRequested: true, EventItemPaused: true, EventItemMoved: true, EventItemRestarted: true, EventItemEnded: true, EventJobAnswered: true,
}

// classify returns the event of a line, and whether the line is a warning or an error.
func classify(keyvals []any) (event string, severe bool) {
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

func (q *Queue) exceedsRate(event string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now := time.Now().Unix(); now != q.second {
		q.second = now
		clear(q.counts)
	}
	q.counts[event]++
	return q.counts[event] > maxPerSecond
}

// Run writes lines until the context ends, and then the remaining ones.
func (q *Queue) Run(ctx context.Context) {
	reported, reportedAt := int64(0), time.Time{}
	for {
		ended := false
		select {
		case <-q.wake:
		case <-ctx.Done():
			ended = true
		}
		for batch := q.batch(); len(batch) > 0; batch = q.batch() {
			if _, err := q.writer.Write(batch); err != nil {
				// Standard output is closed, so there is nowhere to report the error.
				return
			}
		}
		if dropped := q.Dropped(); dropped > reported && time.Since(reportedAt) > dropReportInterval {
			reported, reportedAt = dropped, time.Now()
			if _, err := io.WriteString(q.writer, `{"event":"log-lines-dropped","total":`+strconv.FormatInt(dropped, 10)+"}\n"); err != nil {
				return
			}
		}
		if ended {
			return
		}
	}
}

// batch dequeues waiting lines, priority lines first.
func (q *Queue) batch() []byte {
	var batch []byte
	for _, source := range []*ring.Ring[[]byte]{q.priority, q.routine} {
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
