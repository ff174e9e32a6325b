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
	"toucanhinge.example/common/pkg/fleetconfig"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const watchRetryInterval = 200 * time.Millisecond

// watchIdleTimeout ends a watch that received nothing for this long. Control repeats its version
// every few seconds. A replica that is frozen or cut off would otherwise keep this process at an
// old configuration for hours.
const watchIdleTimeout = 5 * time.Second

// WatcherConfig configures a Watcher.
type WatcherConfig struct {
	Client  *Client
	Process string
	Logger  log.Logger
	// Changed is called after each new version, from one goroutine; may be nil.
	Changed func(*fleetconfig.Fleet)
}

// Watcher keeps the configuration of this process up to date and never returns to an older version.
type Watcher struct {
	config WatcherConfig
	fleet  atomic.Pointer[fleetconfig.Fleet]
	// minVersion is the newest version known to be accepted; older versions are ignored.
	minVersion atomic.Uint64
	groups     atomic.Uint32
	once       sync.Once
	started    chan struct{}
}

// NewWatcher returns a watcher with an empty configuration.
func NewWatcher(config WatcherConfig) *Watcher {
	w := &Watcher{config: config, started: make(chan struct{})}
	w.fleet.Store(fleetconfig.Empty())
	return w
}

// Fleet returns the configuration in force in this process.
func (w *Watcher) Fleet() *fleetconfig.Fleet {
	return w.fleet.Load()
}

// Groups returns the number of consensus groups that control runs; 0 until Started is closed.
func (w *Watcher) Groups() uint32 {
	return w.groups.Load()
}

// Started returns a channel that is closed once a configuration at or above the quorum-confirmed
// minimum version is in force.
func (w *Watcher) Started() <-chan struct{} {
	return w.started
}

// Run watches the configuration until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := w.fetchMinVersion(ctx)
		if err == nil {
			break
		}
		level.Warn(w.config.Logger).Log(logs.KeyEvent, "floor-unknown", logs.KeyError, err)
	}
	for ctx.Err() == nil {
		err := w.watch(ctx)
		if err != nil && ctx.Err() == nil {
			level.Debug(w.config.Logger).Log(logs.KeyEvent, "watch-ended", logs.KeyError, err)
		}
		if backoff(ctx, watchRetryInterval) != nil {
			return
		}
	}
}

// fetchMinVersion fetches the quorum-confirmed version. The process has no disk, so after a restart
// a stale replica could send it a configuration older than the one in force before. With the
// minimum version, the process waits for a replica that has at least the configuration accepted
// when the process started.
func (w *Watcher) fetchMinVersion(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	reply, err := Call(ctx, w.config.Client, 0, "floor",
		func(ctx context.Context, r *Replica) (*connect.Response[toucanhingev1.FloorResponse], error) {
			return r.Fleet.Floor(ctx, connect.NewRequest(&toucanhingev1.FloorRequest{}))
		})
	if err != nil {
		return fmt.Errorf("fetch the minimum configuration version: %w", err)
	}
	w.RaiseMinVersion(reply.Msg.GetVersion())
	w.groups.Store(reply.Msg.GetGroups())
	return nil
}

func (w *Watcher) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request := &toucanhingev1.WatchRequest{Process: w.config.Process, After: w.Fleet().Version}
	stream, err := w.config.Client.Any().Fleet.Watch(ctx, connect.NewRequest(request))
	if err != nil {
		return fmt.Errorf("open the watch: %w", err)
	}
	defer func() { _ = stream.Close() }()
	idle := time.AfterFunc(watchIdleTimeout, cancel)
	defer idle.Stop()
	for stream.Receive() {
		idle.Reset(watchIdleTimeout)
		w.Apply(stream.Msg())
		if stream.Msg().GetVersion() < w.minVersion.Load() {
			return errStale
		}
	}
	return stream.Err()
}

// errStale ends a watch on a replica that repeats a version older than an accepted one. Such a
// replica is cut off from its group and would never send another change, so the watcher continues
// with the next replica.
var errStale = errors.New("the replica's version is older than an accepted version")

// RaiseMinVersion records an accepted version, which heartbeats report.
func (w *Watcher) RaiseMinVersion(version uint64) {
	for {
		known := w.minVersion.Load()
		if version <= known || w.minVersion.CompareAndSwap(known, version) {
			return
		}
	}
}

// Apply puts an update in force unless it is older than the version in force. The first update must
// also reach the minimum version. Later updates may be below it: versions only grow, and an
// intermediate version is still newer than the one in force.
func (w *Watcher) Apply(update *toucanhingev1.WatchResponse) {
	current := w.Fleet()
	if (current.Version == 0 && update.GetVersion() < w.minVersion.Load()) || update.GetVersion() < current.Version {
		return
	}
	defer w.once.Do(func() { close(w.started) })
	if update.GetVersion() == current.Version {
		return
	}
	next := current.With(update.GetVersion(), update.GetWhole(), update.GetEntries())
	w.fleet.Store(next)
	if w.config.Changed != nil {
		w.config.Changed(next)
	}
}
