package app

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"toucanhinge.example/common/pkg/clock"
	commoncontrol "toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/metrics"
	"toucanhinge.example/common/pkg/record"
	"toucanhinge.example/common/pkg/web"
	"toucanhinge.example/gateway/pkg/attempt"
	"toucanhinge.example/gateway/pkg/caller"
	"toucanhinge.example/gateway/pkg/config"
	"toucanhinge.example/gateway/pkg/control"
	"toucanhinge.example/gateway/pkg/endpoint"
	"toucanhinge.example/gateway/pkg/intake"
	"toucanhinge.example/gateway/pkg/legacy"
	"toucanhinge.example/gateway/pkg/limit"
	"toucanhinge.example/gateway/pkg/online"
	"toucanhinge.example/gateway/pkg/route"
)

// components are the parts of the gateway that the process runs.
type components struct {
	client    *commoncontrol.Client
	watcher   *commoncontrol.Watcher
	directory *endpoint.Directory
	claims    *control.Claims
	server    *caller.Server
}

func newComponents(
	settings config.Settings, now clock.Clock, logger log.Logger, set *metrics.Set, decisionLog *record.Log,
) *components {
	client := commoncontrol.New(commoncontrol.Config{Addresses: settings.Control, HTTP: web.NewClient(), Retried: set.Retried})
	directory := newDirectory(settings, now, logger, set)
	watcher := commoncontrol.NewWatcher(commoncontrol.WatcherConfig{
		Client: client, Process: settings.Name, Logger: logger, Changed: directory.SetFleet,
	})
	claims := control.NewClaims(control.ClaimsConfig{
		Gateway: settings.Name, Client: client, Logger: logger, Timeout: clock.Millis(settings.Retry.ClaimTimeout),
	})
	onlineMetrics := online.NewMetrics(set)
	return &components{
		client: client, watcher: watcher, directory: directory, claims: claims,
		server: caller.New(caller.Config{
			Gateway: settings.Name, Limits: settings.Limits, PrefixBytes: settings.Route.PrefixBytes,
			Clock: now, Fleet: watcher.Fleet, Ready: func() bool { return watcherStarted(watcher) },
			Directory:   directory,
			Executor:    newExecutor(settings, now, logger, directory, decisionLog, onlineMetrics),
			Legacy:      legacy.New(legacy.Config{Clock: now}),
			Claims:      claims,
			Jobs:        control.NewJobs(control.JobsConfig{Gateway: settings.Name, Client: client, Groups: watcher.Groups}),
			Limiter:     limit.New(limit.Config{MaxInFlight: settings.Limits.MaxInFlight}),
			Memory:      intake.NewMemory(intake.MemoryConfig{Limit: settings.Limits.MemoryBytes, Logger: logger, Registerer: set.Registry}),
			DecisionLog: decisionLog, Metrics: onlineMetrics, Logger: logger,
		}),
	}
}

func watcherStarted(watcher *commoncontrol.Watcher) bool {
	select {
	case <-watcher.Started():
		return true
	default:
		return false
	}
}

func newDirectory(settings config.Settings, now clock.Clock, logger log.Logger, set *metrics.Set) *endpoint.Directory {
	r := settings.Route
	// The seed differs between gateways, so that they don't all choose the same endpoints, and between starts.
	random := rand.New(rand.NewPCG(xxhash.Sum64String(settings.Name), uint64(now.Now())))
	return endpoint.New(endpoint.Config{
		Gateway: settings.Name, DataCentre: settings.DataCentre, Clock: now, HTTP: web.NewClient(), Logger: logger,
		PollTimeout: clock.Millis(r.PollTimeout),
		Ejected: promauto.With(set.Registry).NewCounterVec(prometheus.CounterOpts{
			Name: "toucanhinge_gateway_ejected_total", Help: "Endpoints ejected, by reason.",
		}, []string{"reason"}),
		Router: route.New(route.Config{
			Gateway: settings.Name, Policy: route.Policy(r.Policy), SubsetSize: r.SubsetSize, LoadBound: r.LoadBound,
			MaxFailures: r.ConsecutiveFailures, MinEjection: clock.Millis(r.BaseEjectionTime), MaxEjection: clock.Millis(r.MaxEjectionTime),
			OutlierFactor: r.OutlierFactor, SlowStart: clock.Millis(r.SlowStartWindow),
			PollInterval: clock.Millis(r.ReportInterval), MaxPollRate: r.MaxReportsPerSecond, Random: random,
		}),
	})
}

func newExecutor(
	settings config.Settings, now clock.Clock, logger log.Logger, directory *endpoint.Directory,
	decisionLog *record.Log, m *online.Metrics,
) *online.Executor {
	r := settings.Retry
	return online.New(online.Config{
		Gateway: settings.Name, Clock: now, Directory: directory, DecisionLog: decisionLog, Metrics: m, Logger: logger,
		Budget: attempt.NewBudget(attempt.BudgetConfig{
			Ratio: r.Ratio, Burst: float64(r.Burst), RefusedBurst: float64(r.RefusedBurst),
		}),
		MaxAttempts: uint32(r.MaxAttempts), StallTimeout: clock.Millis(r.StallTimeout), MaxBuffered: settings.Limits.ResponseBufferBytes,
	})
}
