package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/control/pkg/fleetstate"
	"toucanhinge.example/control/pkg/group"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	checkInterval = time.Second
	sweepInterval = clock.Millis(60_000)
)

// LeaseTrackerConfig describes a lease tracker.
type LeaseTrackerConfig struct {
	Fleet  *group.Fleet
	Clock  clock.Clock
	Logger log.Logger
	// Lease is the time without heartbeats after which a member is declared dead.
	Lease clock.Millis
	// ForgetAfter is the time after which a dead member is removed.
	ForgetAfter clock.Millis
	// ClaimRetention is how long a claim is stored after its deadline, and
	// RequestRetention how long the response to an operator's request id is cached.
	ClaimRetention   clock.Millis
	RequestRetention clock.Millis
}

// Heartbeat is the last heartbeat of a process: when it arrived, and the configuration
// version and the order that the process had applied.
type Heartbeat struct {
	At      clock.Millis
	Version uint64
	Order   uint64
}

// LeaseTracker tracks the members' leases in the leader's memory, and logs the steps that
// declare members dead, remove them, or delete old claims and responses.
type LeaseTracker struct {
	config  LeaseTrackerConfig
	stopped chan struct{}

	mu         sync.Mutex
	heartbeats map[string]Heartbeat
	// leaderSince is the time at which this replica became the leader of term.
	term        uint64
	leaderSince clock.Millis
	lastSweep   clock.Millis
}

// NewLeaseTracker returns a lease tracker.
func NewLeaseTracker(config LeaseTrackerConfig) *LeaseTracker {
	return &LeaseTracker{config: config, heartbeats: map[string]Heartbeat{}, stopped: make(chan struct{})}
}

// RecordHeartbeat records a heartbeat and renews the lease of its sender.
func (t *LeaseTracker) RecordHeartbeat(beat *toucanhingev1.BeatRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heartbeats[beat.GetName()] = Heartbeat{At: t.config.Clock.Now(), Version: beat.GetVersion(), Order: beat.GetOrder()}
}

// LastHeartbeat returns the last heartbeat of a process, if this replica received one.
func (t *LeaseTracker) LastHeartbeat(name string) (Heartbeat, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, found := t.heartbeats[name]
	return h, found
}

// Run checks the members periodically until the context ends.
func (t *LeaseTracker) Run(ctx context.Context) {
	defer close(t.stopped)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.CheckMembers(ctx)
		}
	}
}

// CheckMembers checks the leases of all members once. It does nothing on a follower.
func (t *LeaseTracker) CheckMembers(ctx context.Context) {
	if _, _, self := t.config.Fleet.Leader(); !self {
		return
	}
	now := t.config.Clock.Now()
	t.observeTerm(now)
	var steps []*toucanhingev1.FleetStep
	t.config.Fleet.Machine.View(func(s *fleetstate.State) {
		for _, e := range s.Members() {
			if step := t.checkMember(e, now); step != nil {
				steps = append(steps, step)
			}
		}
	})
	if sweep := t.sweep(now); sweep != nil {
		steps = append(steps, sweep)
	}
	for _, step := range steps {
		if _, err := t.config.Fleet.Steps.Do(ctx, step, approxStepBytes); err != nil {
			level.Warn(t.config.Logger).Log(logs.KeyEvent, "member-end-not-logged", logs.KeyError, err)
		}
	}
}

// observeTerm records the start of a new term. This replica doesn't know the leases of
// the former leader, so it grants a whole lease to each member; otherwise each change of
// leader would declare all members dead.
func (t *LeaseTracker) observeTerm(now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term := t.config.Fleet.Term(); term != t.term {
		t.term, t.leaderSince = term, now
	}
}

func (t *LeaseTracker) checkMember(e *toucanhingev1.Entry, now clock.Millis) *toucanhingev1.FleetStep {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := e.GetMember()
	dead := m.GetState() == toucanhingev1.MemberState_MEMBER_STATE_DEAD
	last := max(t.heartbeats[e.GetName()].At, t.leaderSince)
	if !dead && now-last <= t.config.Lease {
		return nil
	}
	if dead && now-clock.Millis(e.GetAcceptedMs()) <= t.config.ForgetAfter {
		return nil
	}
	if dead {
		delete(t.heartbeats, e.GetName())
	}
	return &toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_MemberEnd{MemberEnd: &toucanhingev1.MemberEndStep{
		Name: e.GetName(), Incarnation: m.GetIncarnation(), Forget: dead,
	}}}
}

func (t *LeaseTracker) sweep(now clock.Millis) *toucanhingev1.FleetStep {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now-t.lastSweep < sweepInterval {
		return nil
	}
	t.lastSweep = now
	return &toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_Sweep{Sweep: &toucanhingev1.FleetSweepStep{
		RequestsBeforeMs: int64(now - t.config.RequestRetention),
		ClaimsBeforeMs:   int64(now - t.config.ClaimRetention),
	}}}
}
