package app

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/go-kit/log"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/health"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/metrics"
	"toucanhinge.example/common/pkg/record"
	"toucanhinge.example/common/pkg/ring"
	"toucanhinge.example/common/pkg/web"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/sidecar/pkg/admit"
	"toucanhinge.example/sidecar/pkg/config"
	"toucanhinge.example/sidecar/pkg/dispatch"
	"toucanhinge.example/sidecar/pkg/engine"
	"toucanhinge.example/sidecar/pkg/entry"
	"toucanhinge.example/sidecar/pkg/order"
	"toucanhinge.example/sidecar/pkg/plain"
	"toucanhinge.example/sidecar/pkg/probe"
	"toucanhinge.example/sidecar/pkg/work"
)

// program is the name of this process in logs and metrics.
const program = "sidecar"

// pollTimeout limits a poll, because the engine may be frozen.
const pollTimeout = 500 * time.Millisecond

// incarnation increases with each start of this process.
type incarnation uint64

func newClock() clock.Clock {
	return clock.System()
}

func newIncarnation(c clock.Clock) incarnation {
	return incarnation(c.Now())
}

func newLogger(s config.Settings) log.Logger {
	return logs.New(logs.Config{Program: program, Name: s.Name, Level: s.LogLevel, Writer: os.Stderr})
}

func newMetrics() *metrics.Set {
	return metrics.New(program)
}

func newRecordLog(s config.Settings, c clock.Clock) *record.Log {
	return record.New(record.Config{Clock: c, Process: s.Name, Size: s.Records})
}

func newHTTPClient() *http.Client {
	return web.NewClient()
}

func newControlClient(s config.Settings, client *http.Client, set *metrics.Set) *control.Client {
	return control.New(control.Config{Addresses: s.Control, HTTP: client, Retried: set.Retried})
}

func newEngineClient(s config.Settings) *engine.Client {
	return engine.New(engine.Config{URL: s.Engine.URL, Connections: s.Engine.Slots})
}

func newDispatcher(s config.Settings, c clock.Clock, set *metrics.Set) *dispatch.Dispatcher {
	machine := admit.New(admit.Config{
		Policy: admit.Policy(s.Batch.Policy), Slots: s.Engine.Slots, MinSlots: s.Engine.MinSlots,
		QueueLimit: s.Online.QueueLimit, BatchSlots: s.Batch.Slots, MaxPrefillTokens: s.Batch.PrefillTokens, BatchWeight: s.Batch.Weight,
		BurstWindow: clock.Millis(s.Batch.BurstWindowMS), BurstHalfLife: clock.Millis(s.Batch.BurstHalfLifeMS),
	})
	return dispatch.New(dispatch.Config{
		Clock: c, Machine: machine,
		Ring: ring.Config{Size: s.Online.RingSize, Refused: set.Refused.WithLabelValues(refusedAtRing, "full")},
	})
}

func newProbe(s config.Settings, c clock.Clock, l log.Logger, e *engine.Client, d *dispatch.Dispatcher, g *gate) *probe.Probe {
	poll := func(ctx context.Context) (probe.Report, error) {
		ctx, cancel := context.WithTimeout(ctx, pollTimeout)
		defer cancel()
		if s.Kind == config.KindPlain {
			return probe.Report{AsOf: c.Now()}, e.CheckReachable(ctx)
		}
		load, err := e.Load(ctx)
		return probe.Report{InFlight: load.Running + load.Waiting, AsOf: clock.Millis(load.AsOfMs)}, err
	}
	p := probe.New(probe.Config{
		Clock: c, Logger: l, Interval: clock.Millis(s.Engine.PollMS).Duration(), FailureThreshold: s.Engine.FailedPolls,
		Poll:           poll,
		OnForeignSlots: func(slots int) { d.Submit(admit.ForeignLoad{Slots: slots}) },
		OnHealth:       g.setHealthy,
	})
	d.ObserveRunning(p.RecordOwnCount)
	return p
}

func newHandler(
	s config.Settings, c clock.Clock, e *engine.Client, d *dispatch.Dispatcher, r *recorder, i incarnation, w *configWatcher, p *probe.Probe,
) *entry.Handler {
	return entry.New(entry.Config{
		Clock: c, Dispatcher: d, Engine: e, Endpoint: s.Name, Incarnation: uint64(i), Model: s.Kind == config.KindModel,
		MaxAnswerBytes: s.Online.MaxAnswerBytes, MaxRetainedBytes: s.Online.MaxRetainedBytes, Retention: clock.Millis(s.Online.RetentionMS),
		Dedup:      plain.Config{MaxRequests: s.Online.MaxDedupRequests, Retention: clock.Millis(s.Online.DedupRetentionMS)},
		Load:       func() *toucanhingev1.Load { return newLoad(d.Snapshot(), s.Engine.Slots, s.Engine.Software) },
		TeamWeight: w.teamWeight,
		OnRefused: func(requestID string, reason admit.Reason, ran toucanhingev1.Ran) {
			if reason == entry.ReasonUnreachable {
				p.ReportUnreachable()
			}
			r.refused(requestID, reason, ran)
		},
		OnStarted: r.started,
		OnEnded:   r.ended,
	})
}

func newLoad(s admit.Snapshot, slots int, software string) *toucanhingev1.Load {
	return &toucanhingev1.Load{
		Running: uint32(s.Online), Queued: uint32(s.Queued), Slots: uint32(slots), Foreign: uint32(s.ForeignSlots),
		Batch: uint32(s.Batch), WaitMs: uint32(s.ExpectedWait), Leaving: s.Draining, Healthy: s.CloseReason == "",
		Software: software,
	}
}

func newPuller(
	s config.Settings, c clock.Clock, l log.Logger, client *control.Client, d *dispatch.Dispatcher,
	e *engine.Client, p *probe.Probe, r *recorder, i incarnation,
) *work.Puller {
	return work.New(work.Config{
		Clock: c, Logger: l, Control: client, Dispatcher: d, Engine: e,
		Leases: work.LeaseManagerConfig{
			MaxItems: s.Batch.Slots + s.Batch.LocalItems, MaxPerRequest: s.Batch.MaxPerLease,
			FlushDelay: clock.Millis(s.Batch.FlushMS), FlushSize: s.Batch.FlushItems,
		},
		Name: s.Name, Incarnation: uint64(i), Service: s.Service, MaxResultBytes: s.Batch.ResultBytes,
		OnUnreachable: p.ReportUnreachable, RecordEvent: r.item,
	})
}

func newOrderRunner(s config.Settings, c clock.Clock, l log.Logger, e *engine.Client, d *dispatch.Dispatcher, g *gate, r *recorder) *order.Runner {
	return order.NewRunner(order.RunnerConfig{
		Clock: c, Logger: l, Machine: order.New(order.Config{PollInterval: orderPollInterval, RecheckInterval: clock.Millis(s.Engine.RecheckMS)}),
		Read: e.State, Send: e.SendOrder, Gate: g.setOpen,
		Idle: func() bool {
			snapshot := d.Snapshot()
			return snapshot.Online == 0 && snapshot.Queued == 0 && snapshot.Batch == 0
		},
		RecordEvent: r.order,
	})
}

// orderPollInterval is how often a loading engine is polled for its state.
const orderPollInterval = clock.Millis(200)

func newStatus() *health.Status {
	return health.New()
}
