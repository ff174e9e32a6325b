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
	judgeEvery = time.Second
	sweepEvery = clock.Millis(60_000)
)

// LeaseTrackerConfig describes a keeper.
type LeaseTrackerConfig struct {
	Fleet  *group.Fleet
	Clock  clock.Clock
	Logger log.Logger
	// Lease is how long a member is kept without a heartbeat.
	Lease clock.Millis
	// ForgetAfter is how long a dead member stays listed.
	ForgetAfter clock.Millis
	// ClaimRetention and RequestsKept are how long after their deadlines and answers
	// claims and operators' request ids are remembered.
	ClaimRetention   clock.Millis
	RequestRetention clock.Millis
}

// Heartbeat is the last that a process said of itself.
type Heartbeat struct {
	At      clock.Millis
	Version uint64
	Order   uint64
}

// LeaseTracker keeps the members' leases in the leader's memory and logs their ends.
type LeaseTracker struct {
	config   LeaseTrackerConfig
	stopping chan struct{}

	mu    sync.Mutex
	heard map[string]Heartbeat
	// term and since say when this replica began to lead.
	term  uint64
	since clock.Millis
	swept clock.Millis
}

// NewLeaseTracker makes a keeper.
func NewLeaseTracker(config LeaseTrackerConfig) *LeaseTracker {
	return &LeaseTracker{config: config, heard: map[string]Heartbeat{}, stopping: make(chan struct{})}
}

// RecordHeartbeat notes a heartbeat.
func (k *LeaseTracker) RecordHeartbeat(beat *toucanhingev1.BeatRequest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heard[beat.GetName()] = Heartbeat{At: k.config.Clock.Now(), Version: beat.GetVersion(), Order: beat.GetOrder()}
}

// LastHeartbeat returns the last heartbeat of a process, if this replica heard one.
func (k *LeaseTracker) LastHeartbeat(name string) (Heartbeat, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h, found := k.heard[name]
	return h, found
}

// Run judges the members while this replica leads, until the context ends.
func (k *LeaseTracker) Run(ctx context.Context) {
	defer close(k.stopping)
	ticker := time.NewTicker(judgeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.CheckMembers(ctx)
		}
	}
}

// CheckMembers looks once at all members.
func (k *LeaseTracker) CheckMembers(ctx context.Context) {
	if _, _, self := k.config.Fleet.Leader(); !self {
		return
	}
	now := k.config.Clock.Now()
	k.lead(now)
	var steps []*toucanhingev1.FleetStep
	k.config.Fleet.Machine.View(func(s *fleetstate.State) {
		for _, e := range s.Members() {
			if step := k.judge(e, now); step != nil {
				steps = append(steps, step)
			}
		}
	})
	if sweep := k.sweep(now); sweep != nil {
		steps = append(steps, sweep)
	}
	for _, step := range steps {
		if _, err := k.config.Fleet.Steps.Do(ctx, step, stepBytes); err != nil {
			level.Warn(k.config.Logger).Log(logs.KeyEvent, "member-end-not-logged", logs.KeyError, err)
		}
	}
}

// lead notes a new leadership. The leases of the former leader are not known
// here, so everybody gets a whole lease before being judged; otherwise each
// change of leader would declare the fleet dead.
func (k *LeaseTracker) lead(now clock.Millis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if term := k.config.Fleet.Term(); term != k.term {
		k.term, k.since = term, now
	}
}

func (k *LeaseTracker) judge(e *toucanhingev1.Entry, now clock.Millis) *toucanhingev1.FleetStep {
	k.mu.Lock()
	defer k.mu.Unlock()
	m := e.GetMember()
	dead := m.GetState() == toucanhingev1.MemberState_MEMBER_STATE_DEAD
	last := max(k.heard[e.GetName()].At, k.since)
	if !dead && now-last <= k.config.Lease {
		return nil
	}
	if dead && now-clock.Millis(e.GetAcceptedMs()) <= k.config.ForgetAfter {
		return nil
	}
	if dead {
		delete(k.heard, e.GetName())
	}
	return &toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_MemberEnd{MemberEnd: &toucanhingev1.MemberEndStep{
		Name: e.GetName(), Incarnation: m.GetIncarnation(), Forget: dead,
	}}}
}

func (k *LeaseTracker) sweep(now clock.Millis) *toucanhingev1.FleetStep {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now-k.swept < sweepEvery {
		return nil
	}
	k.swept = now
	return &toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_Sweep{Sweep: &toucanhingev1.FleetSweepStep{
		RequestsBeforeMs: int64(now - k.config.RequestRetention),
		ClaimsBeforeMs:   int64(now - k.config.ClaimRetention),
	}}}
}
