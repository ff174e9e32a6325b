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
	judgeEvery = 250 * time.Millisecond
	sweepEvery = clock.Millis(30_000)
)

// LeaseTrackerConfig describes a keeper.
type LeaseTrackerConfig struct {
	Groups map[uint32]*group.Jobs
	Clock  clock.Clock
	Logger log.Logger
	// Lease is how long a lease holds without a renewal.
	Lease clock.Millis
	// UploadRetention is how long a broken upload's items stay.
	UploadRetention clock.Millis
	// JobRetention is how long ended jobs and their results stay.
	JobRetention clock.Millis
}

// holderKey is one incarnation of a sidecar.
type holderKey struct {
	sidecar     string
	incarnation uint64
}

// watched is what the leader of one group remembers of its leases.
type watched struct {
	// term and since say when this replica began to lead.
	term      uint64
	since     clock.Millis
	confirmed bool
	renewed   map[uint64]clock.Millis
	// listed is when a sidecar last listed its leases, with the list.
	listed map[string]listing
	swept  clock.Millis
}

type listing struct {
	holder holderKey
	at     clock.Millis
	leases map[uint64]bool
}

// LeaseTracker keeps the leases' times in the leader's memory and logs their ends. A
// renewal therefore costs no log entry.
type LeaseTracker struct {
	config LeaseTrackerConfig
	mu     sync.Mutex
	groups map[uint32]*watched
}

// NewLeaseTracker makes a keeper.
func NewLeaseTracker(config LeaseTrackerConfig) *LeaseTracker {
	k := &LeaseTracker{config: config, groups: map[uint32]*watched{}}
	for number := range config.Groups {
		k.groups[number] = newWatched(0, 0)
	}
	return k
}

func newWatched(term uint64, since clock.Millis) *watched {
	return &watched{term: term, since: since, renewed: map[uint64]clock.Millis{}, listed: map[string]listing{}}
}

// lead returns what is remembered of a group in the present term. What was
// remembered of an earlier leadership is worthless: leases were granted and
// renewed elsewhere since. Every lease then gets a whole new time.
func (k *LeaseTracker) lead(number uint32) *watched {
	term := k.config.Groups[number].Term()
	w := k.groups[number]
	if w.term != term {
		w = newWatched(term, k.config.Clock.Now())
		k.groups[number] = w
	}
	return w
}

// Confirm makes sure, once in each leadership, that this replica has applied all
// that earlier leaders acknowledged. Before that it would call leases revoked
// that it has not heard of yet.
func (k *LeaseTracker) Confirm(ctx context.Context, g *group.Jobs) error {
	k.mu.Lock()
	w := k.lead(g.Number)
	confirmed := w.confirmed
	k.mu.Unlock()
	if confirmed {
		return nil
	}
	if err := g.Read(ctx); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	w.confirmed = true
	return nil
}

// Granted starts a lease's time.
func (k *LeaseTracker) Granted(number uint32, lease uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lead(number).renewed[lease] = k.config.Clock.Now()
}

// Renewed starts the times of the listed leases anew.
func (k *LeaseTracker) Renewed(number uint32, request *toucanhingev1.RenewRequest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	w, now := k.lead(number), k.config.Clock.Now()
	list := listing{
		holder: holderKey{sidecar: request.GetSidecar(), incarnation: request.GetIncarnation()},
		at:     now, leases: make(map[uint64]bool, len(request.GetLeases())),
	}
	for _, lease := range request.GetLeases() {
		w.renewed[lease] = now
		list.leases[lease] = true
	}
	if old := w.listed[request.GetSidecar()]; old.holder.incarnation <= request.GetIncarnation() {
		w.listed[request.GetSidecar()] = list
	}
}

// Run judges the leases of the groups led here until the context ends.
func (k *LeaseTracker) Run(ctx context.Context) {
	ticker := time.NewTicker(judgeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, g := range k.config.Groups {
				k.CheckLeases(ctx, g)
			}
		}
	}
}

// CheckLeases looks once at all leases of a group.
func (k *LeaseTracker) CheckLeases(ctx context.Context, g *group.Jobs) {
	if _, _, self := g.Leader(); !self {
		return
	}
	var leases []jobstate.LeaseView
	g.Machine.View(func(s *jobstate.State) { leases = s.Leases() })
	for _, step := range k.judge(g.Number, leases) {
		if _, err := g.Steps.Do(ctx, step, stepBytes); err != nil {
			level.Warn(k.config.Logger).Log(logs.KeyEvent, "expiry-not-logged", logs.KeyGroup, g.Number, logs.KeyError, err)
		}
	}
}

func (k *LeaseTracker) judge(number uint32, leases []jobstate.LeaseView) []*toucanhingev1.JobStep {
	k.mu.Lock()
	defer k.mu.Unlock()
	w, now := k.lead(number), k.config.Clock.Now()
	ended := map[toucanhingev1.ExpiryCause][]uint64{}
	live := make(map[uint64]clock.Millis, len(leases))
	for _, l := range leases {
		if renewed, known := w.renewed[l.Number]; known {
			live[l.Number] = renewed
		}
		if cause := k.causeOf(w, l, now); cause != toucanhingev1.ExpiryCause_EXPIRY_CAUSE_UNSPECIFIED {
			ended[cause] = append(ended[cause], l.Number)
		}
	}
	w.renewed = live
	var steps []*toucanhingev1.JobStep
	for cause, numbers := range ended {
		steps = append(steps, &toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Expire{
			Expire: &toucanhingev1.ExpireStep{Leases: numbers, Cause: cause},
		}})
	}
	if now-w.swept > sweepEvery {
		w.swept = now
		steps = append(steps, k.sweep(now))
	}
	return steps
}

// causeOf says why a lease has ended, if it has.
func (k *LeaseTracker) causeOf(w *watched, l jobstate.LeaseView, now clock.Millis) toucanhingev1.ExpiryCause {
	list, heard := w.listed[l.Sidecar]
	switch {
	case now-max(w.renewed[l.Number], w.since) > k.config.Lease:
		return toucanhingev1.ExpiryCause_EXPIRY_CAUSE_RUN_OUT
	case heard && list.holder.incarnation > l.Incarnation:
		return toucanhingev1.ExpiryCause_EXPIRY_CAUSE_RESTARTED
	case heard && !list.leases[l.Number] && list.at-max(w.renewed[l.Number], w.since) > k.config.Lease/2:
		// The sidecar lives and has not listed a lease that it would know by now:
		// our answer with it was lost, and no engine ever saw the items.
		return toucanhingev1.ExpiryCause_EXPIRY_CAUSE_UNKNOWN_TO_HOLDER
	default:
		return toucanhingev1.ExpiryCause_EXPIRY_CAUSE_UNSPECIFIED
	}
}

func (k *LeaseTracker) sweep(now clock.Millis) *toucanhingev1.JobStep {
	return &toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Sweep{Sweep: &toucanhingev1.JobSweepStep{
		UploadsBeforeMs: int64(now - k.config.UploadRetention),
		JobsBeforeMs:    int64(now - k.config.JobRetention),
	}}}
}
