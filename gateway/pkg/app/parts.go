package app

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"toucanhinge.example/common/pkg/clock"
	shared "toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/metrics"
	"toucanhinge.example/common/pkg/record"
	"toucanhinge.example/common/pkg/web"
	"toucanhinge.example/gateway/pkg/attempt"
	"toucanhinge.example/gateway/pkg/caller"
	"toucanhinge.example/gateway/pkg/config"
	"toucanhinge.example/gateway/pkg/control"
	"toucanhinge.example/gateway/pkg/endpoint"
	"toucanhinge.example/gateway/pkg/limit"
	"toucanhinge.example/gateway/pkg/legacy"
	"toucanhinge.example/gateway/pkg/online"
	"toucanhinge.example/gateway/pkg/route"
)

// parts are what the process runs.
type parts struct {
	client    *shared.Client
	watcher   *shared.Watcher
	directory *endpoint.Directory
	claims    *control.Claims
	server    *caller.Server
}

func newParts(settings config.Settings, now clock.Clock, logger log.Logger, set *metrics.Set, book *record.Log) *parts {
	client := shared.New(shared.Config{Addresses: settings.Control, HTTP: web.NewClient(), Retried: set.Retried})
	directory := newDirectory(settings, now, logger, set)
	watcher := shared.NewWatcher(shared.WatcherConfig{
		Client: client, Process: settings.Name, Logger: logger, Changed: directory.SetFleet,
	})
	claims := control.NewClaims(control.ClaimsConfig{
		Gateway: settings.Name, Client: client, Logger: logger, Timeout: clock.Millis(settings.Retry.ClaimTimeout),
	})
	online := online.NewMetrics(set)
	return &parts{
		client: client, watcher: watcher, directory: directory, claims: claims,
		server: caller.New(caller.Config{
			Gateway: settings.Name, Limits: settings.Limits, PrefixBytes: settings.Route.PrefixBytes,
			Clock: now, Fleet: watcher.Fleet, Ready: func() bool { return started(watcher) },
			Directory: directory,
			Runner:    newRunner(settings, now, logger, directory, book, online),
			Legacy:     legacy.New(legacy.Config{Clock: now}),
			Claims:    claims,
			Jobs:      control.NewJobs(control.JobsConfig{Gateway: settings.Name, Client: client, Groups: watcher.Groups}),
			Limiter:   limit.New(limit.Config{MaxInFlight: settings.Limits.MaxInFlight}),
			DecisionLog:      book, Metrics: online, Logger: logger,
		}),
	}
}

func started(watcher *shared.Watcher) bool {
	select {
	case <-watcher.Started():
		return true
	default:
		return false
	}
}

func newDirectory(settings config.Settings, now clock.Clock, logger log.Logger, set *metrics.Set) *endpoint.Directory {
	r := settings.Route
	// The seed differs between gateways, so that they don't choose alike, and
	// between starts.
	random := rand.New(rand.NewPCG(xxhash.Sum64String(settings.Name), uint64(now.Now())))
	return endpoint.New(endpoint.Config{
		Gateway: settings.Name, DataCentre: settings.DataCentre, Clock: now, HTTP: web.NewClient(), Logger: logger,
		PollTimeout: clock.Millis(r.PollTimeout),
		Ejected: promauto.With(set.Registry).NewCounterVec(prometheus.CounterOpts{
			Name: "toucanhinge_gateway_ejected_total", Help: "Endpoints taken out of use, by reason.",
		}, []string{"reason"}),
		Router: route.New(route.Config{
			Gateway: settings.Name, Policy: route.Policy(r.Policy), SubsetSize: r.SubsetSize, LoadBound: r.LoadBound,
			MaxFailures: r.ConsecutiveFailures, MinEjection: clock.Millis(r.BaseEjectionTime), MaxEjection: clock.Millis(r.MaxEjectionTime),
			OutlierFactor: r.OutlierFactor, SlowStart: clock.Millis(r.SlowStartWindow), PollInterval: clock.Millis(r.ReportInterval), MaxPollRate: r.MaxReportsPerSecond, Random: random,
		}),
	})
}

func newRunner(
	settings config.Settings, now clock.Clock, logger log.Logger, directory *endpoint.Directory, book *record.Log, m *online.Metrics,
) *online.Executor {
	r := settings.Retry
	return online.New(online.Config{
		Gateway: settings.Name, Clock: now, Directory: directory, Log: book, Metrics: m, Logger: logger,
		Budget:   attempt.NewBudget(attempt.BudgetConfig{Ratio: r.Ratio, Burst: float64(r.Burst), RefusedBurst: float64(r.RefusedBurst)}),
		MaxAttempts: uint32(r.MaxAttempts), StallTimeout: clock.Millis(r.StallTimeout), MaxBuffered: settings.Limits.ResponseBufferBytes,
	})
}
