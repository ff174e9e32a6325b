package batchrun

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/runner"
	"toucanhinge.example/common/pkg/sse"
	"toucanhinge.example/control/pkg/carrier"
	"toucanhinge.example/control/pkg/dispatch"
	"toucanhinge.example/control/pkg/systemstate"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// silence is the longest pause between events before an item goes on
	// elsewhere. Runners make an event every 20 ms, 80 when slow; one that says
	// nothing for a second is dark, or cut off without a reset.
	silence = time.Second
	// releaseTime is how long a call that is to end may still pass on what was made: some
	// milliseconds as a rule.
	releaseTime = 150 * time.Millisecond
	// readBuffer holds a few events of some 100 bytes.
	readBuffer = 2 << 10
)

var (
	errGone    = errors.New("the item is gone")
	errGap     = errors.New("an event of the stream is missing")
	errStatus  = errors.New("unexpected status")
	errUnasked = errors.New("the stream didn't go on where asked")
)

// outcomeKind says how a call of an item ended.
type outcomeKind string

const (
	// finished: the text is whole.
	finished outcomeKind = "finished"
	// impossible: the item can never be done.
	impossible outcomeKind = "impossible"
	// failed: the runner ran it and failed.
	failed outcomeKind = "failed"
	// refused: the runner didn't run it.
	refused outcomeKind = "refused"
	// unreachable: nothing was sent.
	unreachable outcomeKind = "unreachable"
	// untaken: nobody could make the call, and nothing was sent.
	untaken outcomeKind = "untaken"
	// broken: the stream ended early; it goes on after its last event.
	broken outcomeKind = "broken"
	// paused: we broke it off.
	paused outcomeKind = "paused"
	// withheld: it is kept from all runners, since it crashes them.
	withheld outcomeKind = "withheld"
)

// runnerSaid says whether the outcome is the runner's word on the item, which counts even
// if the item was to give way meanwhile. An item that can never be done was run five times
// because its runners' answers crossed with bursts.
func (k outcomeKind) runnerSaid() bool { return k == finished || k == impossible || k == failed }

type outcome struct {
	run  *run
	kind outcomeKind
	err  error
	// until is when an item that is withheld may be looked at again.
	until clock.Millis
}

// progress is what an item's calls have made so far. The call under way appends
// to it while the driver reads it.
type progress struct {
	mu   sync.Mutex
	last uint64
	text []byte
	// kept is the last event that is logged, and keptBytes the length of its text.
	kept      uint64
	keptBytes int
	// keptAt is when that was asked for; it belongs to the driver.
	keptAt clock.Millis
}

// add appends an event, and refuses one that doesn't follow the last: a text put
// together around a gap, or from another stream, would look whole.
func (p *progress) add(event sse.Event) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !event.Numbered || event.ID <= p.last {
		return errUnasked
	}
	if p.last > 0 && event.ID != p.last+1 {
		return errGap
	}
	if p.last > 0 {
		p.text = append(p.text, '\n')
	}
	p.text = append(p.text, event.Data...)
	p.last = event.ID
	return nil
}

func (p *progress) lastEvent() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last
}

// unkept is what isn't logged yet.
func (p *progress) unkept() (after, last uint64, text []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.kept, p.last, slices.Clone(p.text[p.keptBytes:])
}

// keep notes that all up to an event, of some bytes more, is logged.
func (p *progress) keep(last uint64, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kept = last
	p.keptBytes += bytes
}

// whole is the text from the first event on.
func (p *progress) whole() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.text)
}

// run is one call of an item.
type run struct {
	driver   *Driver
	key      dispatch.Key
	target   *toucanhingev1.Runner
	progress *progress
	item     string
	// before is the item's call before, which may not have ended yet.
	before *run
	cancel context.CancelFunc
	done   chan struct{}

	mu sync.Mutex
	// halted says that the item is to give way, and release asks for an end of the call
	// that keeps what has been made.
	halted  bool
	release func()
}

// halt ends the call: the item gives way, or needs no result any more. What the runner has
// made so far still comes, if whoever passes it on answers soon.
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
	time.AfterFunc(releaseTime, r.cancel)
}

// open notes how the call can be ended, and says whether it goes on.
func (r *run) open(release func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.release = release
	return !r.halted
}

func (r *run) gaveWay() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.halted
}

func (r *run) run(ctx context.Context) outcome {
	if r.before != nil {
		<-r.before.done
		r.before = nil
	}
	asked, err := r.driver.request(r.key)
	if err != nil {
		return outcome{run: r, kind: broken, err: err}
	}
	r.item = asked.item.GetId()
	call := r.describe(asked)
	if until := r.withheld(call); until > 0 {
		return outcome{run: r, kind: withheld, until: until}
	}
	began := r.driver.config.Clock.Now()
	kind, err := r.call(ctx, call)
	switch kind {
	case finished:
		r.survived(call)
	case broken:
		r.sightCrash(ctx, call, began)
	default:
	}
	if (ctx.Err() != nil || r.gaveWay()) && !kind.runnerSaid() {
		kind = paused
	}
	return outcome{run: r, kind: kind, err: err}
}

func (r *run) call(ctx context.Context, call runner.Call) (outcomeKind, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A daemon that makes the call in our place tells of its end, and of the runner's silence.
	watchdog := time.AfterFunc(2*silence, cancel)
	defer watchdog.Stop()
	answer, err := r.driver.config.Client.Open(ctx, call)
	if err != nil {
		var unsent *runner.NotSentError
		switch {
		case errors.As(err, &unsent):
			return unreachable, err
		case errors.Is(err, carrier.ErrNoGateway):
			return untaken, err
		default:
			return broken, err
		}
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.Load != nil && !answer.OtherInstance && answer.Release == nil {
		r.driver.config.Exchange.Observe(r.target.GetId(), answer.Load.Total())
	}
	if kind, done := judge(answer); done {
		return kind, fmt.Errorf("%w %d", errStatus, answer.Status)
	}
	if !r.open(answer.Release) {
		return paused, nil
	}
	if answer.Release != nil {
		// The daemon that passes the answer on watches the runner.
		watchdog.Stop()
		return r.read(answer.Body, func() {})
	}
	watch := r.driver.config.Exchange.Watch(r.target, 0)
	defer watch.Stop()
	watchdog.Reset(silence)
	return r.read(answer.Body, func() {
		watchdog.Reset(silence)
		watch.RecordEvent()
	})
}

func (r *run) describe(asked request) runner.Call {
	item := asked.item
	header := http.Header{}
	for _, f := range item.GetHeaders() {
		header.Add(f.GetName(), f.GetValue())
	}
	return runner.Call{
		Runner: r.target, Request: item.GetId(), Method: http.MethodPost, Target: item.GetTarget(), Host: asked.host, Team: asked.team,
		Header: header, Body: item.GetBody(), Resume: r.progress.lastEvent() > 0, After: r.progress.lastEvent(),
	}
}

// judge looks at the status of an answer; done is false for a stream to read.
func judge(answer *runner.Answer) (kind outcomeKind, done bool) {
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

// read appends the stream's events.
func (r *run) read(body io.Reader, heard func()) (outcomeKind, error) {
	reader := sse.NewReader(body, readBuffer)
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) && r.progress.lastEvent() > 0 {
			return finished, nil
		}
		if err != nil {
			return broken, err
		}
		heard()
		if err := r.progress.add(event); err != nil {
			return broken, err
		}
	}
}

// request is what an item asks for, with the host of its job and the team that handed it in.
type request struct {
	item *toucanhingev1.JobItem
	host string
	team string
}

func (d *Driver) request(key dispatch.Key) (request, error) {
	ref, found, asked := systemstate.Item{}, false, request{}
	d.config.Machine.View(func(s *systemstate.State) {
		if j := s.Job(key.Job); j != nil && int(key.Index) < len(j.Items) {
			ref, found = j.Items[key.Index], true
			asked.host, asked.team = j.Host, j.Team
		}
	})
	if !found {
		return request{}, errGone
	}
	item, err := d.config.Machine.Item(ref.Request)
	if err != nil {
		return request{}, fmt.Errorf("read an item: %w", err)
	}
	asked.item = item
	return asked, nil
}
