package work

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/control/pkg/group"
	"toucanhinge.example/control/pkg/jobstate"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	checkInterval = 250 * time.Millisecond
	sweepInterval = clock.Millis(30_000)
	// leasesUntilLost is the number of leases after which a silent sidecar is taken for lost and not for late.
	leasesUntilLost = 3
)

// LeaseTrackerConfig configures a lease tracker.
type LeaseTrackerConfig struct {
	Groups map[uint32]*group.Jobs
	Clock  clock.Clock
	Logger log.Logger
	// Lease is the time after which a lease expires without a renewal.
	Lease clock.Millis
	// UploadRetention is how long the items of an abandoned upload are retained.
	UploadRetention clock.Millis
	// JobRetention is how long ended jobs and their results are retained.
	JobRetention clock.Millis
}

// sidecarIncarnation identifies one process of a sidecar.
type sidecarIncarnation struct {
	sidecar     string
	incarnation uint64
}

// leadership holds the lease times of one group in one term of this replica as leader.
type leadership struct {
	// term is the leader's term, since the time when this replica first saw it.
	term      uint64
	since     clock.Millis
	confirmed bool
	// renewed holds the time of each lease's grant or last renewal.
	renewed map[uint64]clock.Millis
	// lists holds the last list of leases that each sidecar sent.
	lists     map[string]leaseList
	lastSweep clock.Millis
}

// leaseList is the list of leases in a sidecar's renewal.
type leaseList struct {
	sender     sidecarIncarnation
	receivedAt clock.Millis
	leases     map[uint64]bool
}

// LeaseTracker tracks lease renewals in the leader's memory and logs only the ends of
// leases, so that a renewal needs no log entry.
type LeaseTracker struct {
	config LeaseTrackerConfig
	mu     sync.Mutex
	groups map[uint32]*leadership
}

// NewLeaseTracker returns a lease tracker.
func NewLeaseTracker(config LeaseTrackerConfig) *LeaseTracker {
	t := &LeaseTracker{config: config, groups: map[uint32]*leadership{}}
	for number := range config.Groups {
		t.groups[number] = newLeadership(0, 0)
	}
	return t
}

func newLeadership(term uint64, since clock.Millis) *leadership {
	return &leadership{term: term, since: since, renewed: map[uint64]clock.Millis{}, lists: map[string]leaseList{}}
}

// currentLeadership returns a group's lease times in the current term. The times of an
// earlier term are discarded, because other leaders may have granted and renewed
// leases since then. In a new term, every lease gets its full time again.
func (t *LeaseTracker) currentLeadership(number uint32) *leadership {
	term := t.config.Groups[number].Term()
	current := t.groups[number]
	if current.term != term {
		current = newLeadership(term, t.config.Clock.Now())
		t.groups[number] = current
	}
	return current
}

// Confirm ensures, once per term, that this replica has applied every entry that
// earlier leaders acknowledged. Otherwise a new leader that has not applied the grant of
// a live lease yet would report the lease as revoked.
func (t *LeaseTracker) Confirm(ctx context.Context, g *group.Jobs) error {
	t.mu.Lock()
	current := t.currentLeadership(g.Number)
	confirmed := current.confirmed
	t.mu.Unlock()
	if confirmed {
		return nil
	}
	if err := g.Read(ctx); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	current.confirmed = true
	return nil
}

// Granted records the grant of a lease.
func (t *LeaseTracker) Granted(number uint32, lease uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.currentLeadership(number).renewed[lease] = t.config.Clock.Now()
}

// Renewed records the renewal of the listed leases.
func (t *LeaseTracker) Renewed(number uint32, request *toucanhingev1.RenewRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, now := t.currentLeadership(number), t.config.Clock.Now()
	list := leaseList{
		sender:     sidecarIncarnation{sidecar: request.GetSidecar(), incarnation: request.GetIncarnation()},
		receivedAt: now, leases: make(map[uint64]bool, len(request.GetLeases())),
	}
	for _, lease := range request.GetLeases() {
		current.renewed[lease] = now
		list.leases[lease] = true
	}
	if old := current.lists[request.GetSidecar()]; old.sender.incarnation <= request.GetIncarnation() {
		current.lists[request.GetSidecar()] = list
	}
}

// Run checks the leases of all groups that this replica leads, until the context ends.
func (t *LeaseTracker) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, g := range t.config.Groups {
				t.CheckLeases(ctx, g)
			}
		}
	}
}

// CheckLeases logs the ends of a group's expired leases, and a sweep once per
// sweepInterval.
func (t *LeaseTracker) CheckLeases(ctx context.Context, g *group.Jobs) {
	if _, _, self := g.Leader(); !self {
		return
	}
	var leases []jobstate.LeaseView
	g.Machine.View(func(s *jobstate.State) { leases = s.Leases() })
	for _, step := range t.checkSteps(g.Number, leases) {
		if _, err := g.Steps.Do(ctx, step, approxStepBytes); err != nil {
			level.Warn(t.config.Logger).Log(logs.KeyEvent, "expiry-not-logged", logs.KeyGroup, g.Number, logs.KeyError, err)
			continue
		}
		if expired := step.GetExpire(); expired != nil {
			level.Info(t.config.Logger).Log(logs.KeyEvent, "leases-ended", logs.KeyGroup, g.Number,
				"cause", expired.GetCause(), "leases", len(expired.GetLeases()), "first", expired.GetLeases()[0])
		}
	}
}

// checkSteps returns the steps that end expired leases, and a sweep step once per
// sweepInterval.
func (t *LeaseTracker) checkSteps(number uint32, leases []jobstate.LeaseView) []*toucanhingev1.JobStep {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, now := t.currentLeadership(number), t.config.Clock.Now()
	ended := map[toucanhingev1.ExpiryCause][]uint64{}
	live := make(map[uint64]clock.Millis, len(leases))
	for _, l := range leases {
		if renewed, known := current.renewed[l.Number]; known {
			live[l.Number] = renewed
		}
		if cause := t.expiryCause(current, l, now); cause != toucanhingev1.ExpiryCause_EXPIRY_CAUSE_UNSPECIFIED {
			ended[cause] = append(ended[cause], l.Number)
		}
	}
	current.renewed = live
	var steps []*toucanhingev1.JobStep
	for cause, numbers := range ended {
		steps = append(steps, &toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Expire{
			Expire: &toucanhingev1.ExpireStep{Leases: numbers, Cause: cause},
		}})
	}
	if now-current.lastSweep > sweepInterval {
		current.lastSweep = now
		steps = append(steps, t.sweepStep(now))
	}
	return steps
}

// expiryCause returns the reason why a lease has ended, or EXPIRY_CAUSE_UNSPECIFIED
// if it is live.
func (t *LeaseTracker) expiryCause(current *leadership, l jobstate.LeaseView, now clock.Millis) toucanhingev1.ExpiryCause {
	list, listed := current.lists[l.Sidecar]
	limit := t.config.Lease
	if l.Alone {
		// The end of this lease may be the item's last attempt, and a late sidecar says nothing against the item.
		limit *= leasesUntilLost
	}
	switch {
	case now-max(current.renewed[l.Number], current.since) > limit:
		return toucanhingev1.ExpiryCause_EXPIRY_CAUSE_RUN_OUT
	case listed && list.sender.incarnation > l.Incarnation:
		return toucanhingev1.ExpiryCause_EXPIRY_CAUSE_RESTARTED
	case listed && !list.leases[l.Number] && list.receivedAt-max(current.renewed[l.Number], current.since) > t.config.Lease/2:
		// The sidecar is alive and did not list a lease that it would know by now. The response that granted the
		// lease was lost, or the sidecar was silent until the lease had expired.
		return toucanhingev1.ExpiryCause_EXPIRY_CAUSE_UNKNOWN_TO_HOLDER
	default:
		return toucanhingev1.ExpiryCause_EXPIRY_CAUSE_UNSPECIFIED
	}
}

func (t *LeaseTracker) sweepStep(now clock.Millis) *toucanhingev1.JobStep {
	return &toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Sweep{Sweep: &toucanhingev1.JobSweepStep{
		UploadsBeforeMs: int64(now - t.config.UploadRetention),
		JobsBeforeMs:    int64(now - t.config.JobRetention),
	}}}
}
