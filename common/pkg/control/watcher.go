package control

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/world"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const watchPause = 200 * time.Millisecond

// silenceLimit ends a watch that brought nothing for so long. Control repeats
// its version every few seconds; a replica that was frozen or cut off silently
// would otherwise hold us at an old configuration for hours.
const silenceLimit = 5 * time.Second

// WatcherConfig describes a watcher.
type WatcherConfig struct {
	Client  *Client
	Process string
	Logger  log.Logger
	// Changed is called after each new version, from one goroutine; may be nil.
	Changed func(*world.Fleet)
}

// Watcher keeps this process's configuration up to date and never lets it go back.
type Watcher struct {
	config WatcherConfig
	fleet  atomic.Pointer[world.Fleet]
	// floor is the newest version known to be accepted; nothing older is let in.
	floor   atomic.Uint64
	groups  atomic.Uint32
	once    sync.Once
	started chan struct{}
}

// NewWatcher makes a watcher with an empty configuration.
func NewWatcher(config WatcherConfig) *Watcher {
	w := &Watcher{config: config, started: make(chan struct{})}
	w.fleet.Store(world.Empty())
	return w
}

// Fleet is the configuration in force in this process.
func (w *Watcher) Fleet() *world.Fleet {
	return w.fleet.Load()
}

// Groups is how many consensus groups control runs; 0 until Started.
func (w *Watcher) Groups() uint32 {
	return w.groups.Load()
}

// Started is closed once a configuration at or above the quorum-confirmed floor is in force.
func (w *Watcher) Started() <-chan struct{} {
	return w.started
}

// Run follows the configuration until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := w.learnFloor(ctx)
		if err == nil {
			break
		}
		level.Warn(w.config.Logger).Log(logs.KeyEvent, "floor-unknown", logs.KeyError, err)
	}
	for ctx.Err() == nil {
		err := w.follow(ctx)
		if err != nil && ctx.Err() == nil {
			level.Debug(w.config.Logger).Log(logs.KeyEvent, "watch-ended", logs.KeyError, err)
		}
		if wait(ctx, watchPause) != nil {
			return
		}
	}
}

// learnFloor asks for the quorum-confirmed version. We keep no disk: after our
// own restart a stale replica could show us a configuration older than the one
// we had in force before, and we would serve by it. With the floor we wait for
// a replica that knows at least what was accepted when we started.
func (w *Watcher) learnFloor(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	reply, err := Call(ctx, w.config.Client, 0, "floor",
		func(ctx context.Context, r *Replica) (*connect.Response[toucanhingev1.FloorResponse], error) {
			return r.Fleet.Floor(ctx, connect.NewRequest(&toucanhingev1.FloorRequest{}))
		})
	if err != nil {
		return fmt.Errorf("learn the configuration floor: %w", err)
	}
	w.RaiseMinVersion(reply.Msg.GetVersion())
	w.groups.Store(reply.Msg.GetGroups())
	return nil
}

func (w *Watcher) follow(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request := &toucanhingev1.WatchRequest{Process: w.config.Process, After: w.Fleet().Version}
	stream, err := w.config.Client.Any().Fleet.Watch(ctx, connect.NewRequest(request))
	if err != nil {
		return fmt.Errorf("open the watch: %w", err)
	}
	defer func() { _ = stream.Close() }()
	silence := time.AfterFunc(silenceLimit, cancel)
	defer silence.Stop()
	for stream.Receive() {
		silence.Reset(silenceLimit)
		w.Apply(stream.Msg())
		if stream.Msg().GetVersion() < w.floor.Load() {
			return errStale
		}
	}
	return stream.Err()
}

// errStale ends a watch on a replica that repeats a version older than one we
// know to be accepted. Such a replica is cut off from its group; a watch on it
// would never bring another change, so we go on at the next one.
var errStale = errors.New("the replica is behind an accepted version")

// RaiseMinVersion tells the watcher that a version was accepted, as heartbeats show.
func (w *Watcher) RaiseMinVersion(version uint64) {
	for {
		known := w.floor.Load()
		if version <= known || w.floor.CompareAndSwap(known, version) {
			return
		}
	}
}

// Apply puts one update in force unless it is older than what is in force. The
// first one must also reach the floor; later ones only grow, so that a step on
// the way to a newer version still helps.
func (w *Watcher) Apply(update *toucanhingev1.WatchResponse) {
	present := w.Fleet()
	if (present.Version == 0 && update.GetVersion() < w.floor.Load()) || update.GetVersion() < present.Version {
		return
	}
	defer w.once.Do(func() { close(w.started) })
	if update.GetVersion() == present.Version {
		return
	}
	next := present.With(update.GetVersion(), update.GetWhole(), update.GetEntries())
	w.fleet.Store(next)
	if w.config.Changed != nil {
		w.config.Changed(next)
	}
}
