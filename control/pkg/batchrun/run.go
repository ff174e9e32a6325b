package batchrun

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/prompt"
	"toucanhinge.example/common/pkg/runner"
	"toucanhinge.example/common/pkg/sse"
	"toucanhinge.example/control/pkg/callproxy"
	"toucanhinge.example/control/pkg/dispatch"
	"toucanhinge.example/control/pkg/segment"
	"toucanhinge.example/control/pkg/systemstate"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// eventTimeout is the longest gap between events before an item moves to another runner. Runners send
	// an event every 20 ms, or every 80 ms when slow. A runner that sends nothing for a second has lost
	// power, or was disconnected without a reset.
	eventTimeout = time.Second
	// releaseTimeout is how long a released call may still return partial output. It usually takes a few
	// milliseconds.
	releaseTimeout = 150 * time.Millisecond
	// readBufferSize fits several events of about 100 bytes.
	readBufferSize = 2 << 10
)

var (
	errItemGone   = errors.New("the item doesn't exist any more")
	errEventGap   = errors.New("the stream skipped an event")
	errStatus     = errors.New("unexpected status")
	errWrongEvent = errors.New("the stream doesn't continue after the requested event")
	// errTextTooLong means that a runner writes a text without an end.
	errTextTooLong = errors.New("the text is longer than that of any item")
	// errOtherVersion means that two software versions would have written one text.
	errOtherVersion = errors.New("the stream is of another software version than the text so far")
)

// outcomeKind is how a call of an item ended. The values are used as metric labels and in logs.
type outcomeKind string

const (
	// finished: the text is complete.
	finished outcomeKind = "finished"
	// impossible: the runner rejected the item, and a retry would be rejected too.
	impossible outcomeKind = "impossible"
	// failed: the runner ran the item and failed.
	failed outcomeKind = "failed"
	// refused: the runner didn't run the item.
	refused outcomeKind = "refused"
	// unreachable: the runner couldn't be reached, and nothing was sent.
	unreachable outcomeKind = "unreachable"
	// notAccepted: no gateway accepted the call, and nothing was sent.
	notAccepted outcomeKind = "untaken"
	// broken: the stream ended early. The item resumes after its last event.
	broken outcomeKind = "broken"
	// paused: the driver stopped the call.
	paused outcomeKind = "paused"
	// endless: the runner wrote more than any item's text. The text is discarded, and the item restarts.
	endless outcomeKind = "endless"
	// crashed: the runner crashed soon after the call was sent. The item resumes after its last event.
	crashed outcomeKind = "crashed"
	// quarantined: a part of the item's prompt is suspected of crashing runners, and the item was not sent.
	quarantined outcomeKind = "withheld"
	// superseded: an earlier call of the item ended with its result, and this one was not sent.
	superseded outcomeKind = "superseded"
)

// isVerdict reports whether the outcome is the runner's verdict on the item itself. A verdict counts even if
// the item was preempted before it arrived: otherwise an impossible item runs again each time its verdict
// coincides with a preemption (one item ran five times).
func (k outcomeKind) isVerdict() bool { return k == finished || k == impossible || k == failed }

// endsItem reports whether the item needs no further call.
func (k outcomeKind) endsItem() bool { return k == finished || k == impossible || k == superseded }

type outcome struct {
	run  *run
	kind outcomeKind
	err  error
	// until is the end of the quarantine if kind is quarantined.
	until clock.Millis
}

// run is one call of an item.
type run struct {
	driver   *Driver
	key      dispatch.Key
	target   *toucanhingev1.Runner
	progress *progress
	item     string
	// previous is the item's previous call, which may not have ended yet.
	previous *run
	cancel   context.CancelFunc
	// done is closed when the call has ended with the outcome kind, and the driver has queued that outcome.
	done chan struct{}
	kind outcomeKind
	// parts are the parts of the item's prompt that other requests may share.
	parts []prompt.PartID
	// trial identifies the trial of its suspected parts that the call is, 0 if it is none.
	trial uint64
	// firstEventAt is when the first event arrived, 0 before. begun is set once the runner didn't crash shortly after.
	firstEventAt clock.Millis
	begun        bool
	// ranLong is set if the runner crashed long after the item had begun to run.
	ranLong bool

	mu sync.Mutex
	// halted reports whether the call must end. release ends the call early, with its partial answer retained.
	halted  bool
	release func()
}

// halt ends the call because the item is preempted or needs no result any more. A gateway that proxies the
// call has releaseTimeout to send the partial output that it buffers.
func (r *run) halt() {
	r.mu.Lock()
	r.halted = true
	release := r.release
	r.mu.Unlock()
	if release == nil {
		r.cancel()
		return
	}
	release()
	time.AfterFunc(releaseTimeout, r.cancel)
}

// setRelease sets the function that ends the call early. It reports whether the call may continue.
func (r *run) setRelease(release func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.release = release
	return !r.halted
}

func (r *run) isHalted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.halted
}

func (r *run) run(ctx context.Context) outcome {
	if r.previous != nil {
		<-r.previous.done
		ended := r.previous.kind.endsItem()
		r.previous = nil
		if ended {
			// The text is a result from now on, so that it must neither be discarded nor continued.
			return outcome{run: r, kind: superseded}
		}
	}
	ref, err := r.driver.itemRef(r.key)
	if err != nil {
		return outcome{run: r, kind: broken, err: err}
	}
	if !r.driver.bodies.acquire(ctx, ref.length) {
		return outcome{run: r, kind: paused}
	}
	defer r.driver.bodies.release(ref.length)
	req, err := r.driver.itemRequest(ref)
	if err != nil {
		return outcome{run: r, kind: broken, err: err}
	}
	r.item = req.item.GetId()
	if discarded := r.progress.prepare(r.target.GetVersion()); discarded > 0 {
		r.driver.config.Metrics.Restarted.Inc()
		level.Info(r.driver.config.Logger).Log(logs.KeyEvent, logs.EventItemRestarted, logs.KeyJob, r.key.Job, "index", r.key.Index,
			"item", r.item, "discarded", discarded, "runner", r.target.GetId(), "software", r.target.GetVersion())
	}
	call := r.runnerCall(req)
	r.readParts(call)
	if until := r.quarantinedUntil(ctx, call); until > 0 {
		return outcome{run: r, kind: quarantined, until: until}
	}
	startedAt := r.driver.config.Clock.Now()
	kind, err := r.call(ctx, call)
	switch kind {
	case finished:
		r.recordCompletion()
	case broken:
		kind = r.detectCrash(ctx, call, startedAt)
	case refused, unreachable, notAccepted:
		r.returnTrial()
	default:
	}
	if (ctx.Err() != nil || r.isHalted()) && !kind.isVerdict() {
		kind = paused
	}
	return outcome{run: r, kind: kind, err: err}
}

func (r *run) call(ctx context.Context, call runner.Call) (outcomeKind, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A gateway that proxies the call reports its end and whether the runner is unresponsive.
	watchdog := time.AfterFunc(2*eventTimeout, cancel)
	defer watchdog.Stop()
	answer, err := r.driver.config.Client.Open(ctx, call)
	if err != nil {
		var unsent *runner.NotSentError
		switch {
		case errors.As(err, &unsent):
			return unreachable, err
		case errors.Is(err, callproxy.ErrNoGateway):
			return notAccepted, err
		default:
			return broken, err
		}
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.Load != nil && !answer.OtherInstance && answer.Release == nil {
		r.driver.config.Exchange.Observe(r.target.GetId(), answer.Load.Total())
	}
	if kind, done := classifyAnswer(answer); done {
		return kind, fmt.Errorf("%w %d", errStatus, answer.Status)
	}
	if !r.setRelease(answer.Release) {
		return paused, nil
	}
	if answer.Release != nil {
		// The gateway that proxies the call watches the runner.
		watchdog.Stop()
		return r.readStream(answer.Body, func() {})
	}
	watch := r.driver.config.Exchange.Watch(r.target, 0)
	defer watch.Stop()
	watchdog.Reset(eventTimeout)
	return r.readStream(answer.Body, func() {
		watchdog.Reset(eventTimeout)
		watch.RecordEvent()
	})
}

func (r *run) runnerCall(req itemRequest) runner.Call {
	item := req.item
	header := http.Header{}
	for _, f := range item.GetHeaders() {
		header.Add(f.GetName(), f.GetValue())
	}
	return runner.Call{
		Runner: r.target, Request: item.GetId(), Method: http.MethodPost, Target: item.GetTarget(), Host: req.host, Team: req.team,
		Header: header, Body: item.GetBody(), Resume: r.progress.lastEvent() > 0, After: r.progress.lastEvent(),
	}
}

// classifyAnswer returns the outcome that follows from the answer's status. done is false if the answer is a
// stream to read.
func classifyAnswer(answer *runner.Answer) (kind outcomeKind, done bool) {
	switch {
	case answer.NotRun, answer.OtherInstance:
		return refused, true
	case answer.Status == http.StatusOK:
		return "", false
	case answer.Status == http.StatusUnprocessableEntity:
		return impossible, true
	case answer.Status == http.StatusInternalServerError:
		return failed, true
	default:
		return broken, true
	}
}

// readStream appends the stream's events to the progress, and calls onEvent for each.
func (r *run) readStream(body io.Reader, onEvent func()) (outcomeKind, error) {
	reader := sse.NewReader(body, readBufferSize)
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) && r.progress.lastEvent() > 0 {
			return finished, nil
		}
		if err != nil {
			return broken, err
		}
		onEvent()
		r.recordBegin()
		err = r.progress.add(event, r.target.GetVersion())
		if errors.Is(err, errTextTooLong) {
			// Where the sound part of the text ends isn't known.
			r.progress.discard()
			return endless, err
		}
		if err != nil {
			return broken, err
		}
	}
}

// itemRef refers to the request of an item, which is stored with a length in bytes. Its job has the host and the team.
type itemRef struct {
	record segment.Ref
	length int64
	host   string
	team   string
}

// itemRequest is the request of an item with the host and team of its job.
type itemRequest struct {
	item *toucanhingev1.JobItem
	host string
	team string
}

func (d *Driver) itemRef(key dispatch.Key) (itemRef, error) {
	ref, found := itemRef{}, false
	d.config.Machine.View(func(s *systemstate.State) {
		if j := s.Job(key.Job); j != nil && int(key.Index) < len(j.Items) {
			ref, found = itemRef{record: j.Items[key.Index].Request, host: j.Host, team: j.Team}, true
		}
	})
	if !found {
		return itemRef{}, errItemGone
	}
	var err error
	if ref.length, err = d.config.Machine.Length(ref.record); err != nil {
		return itemRef{}, fmt.Errorf("read the length of a batch item: %w", err)
	}
	return ref, nil
}

func (d *Driver) itemRequest(ref itemRef) (itemRequest, error) {
	item, err := d.config.Machine.Item(ref.record)
	if err != nil {
		return itemRequest{}, fmt.Errorf("read the request of a batch item: %w", err)
	}
	return itemRequest{item: item, host: ref.host, team: ref.team}, nil
}
