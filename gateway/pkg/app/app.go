// Package app wires the components of the gateway, and starts and stops them.
package app

import (
	"fmt"
	"os"

	"github.com/go-kit/log"
	"go.uber.org/fx"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/health"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/metrics"
	"toucanhinge.example/common/pkg/record"
	"toucanhinge.example/gateway/pkg/config"
)

const program = "gateway"

// stopMargin is the time allowed for stopping in addition to the configured drain timeouts.
const stopMargin clock.Millis = 20_000

// Run serves until it is stopped by a signal, an operator or a drain entry of the fleet configuration.
func Run(settings config.Settings) error {
	stop := clock.Millis(settings.Drain.BalancerWait+settings.Drain.FinishTimeout) + stopMargin
	app := fx.New(
		fx.NopLogger,
		fx.StopTimeout(stop.Duration()),
		fx.Supply(settings),
		fx.Provide(
			clock.System,
			health.New,
			newLogger,
			newMetrics,
			newDecisionLog,
			newComponents,
			newProcess,
		),
		fx.Invoke(func(lifecycle fx.Lifecycle, p *process) {
			lifecycle.Append(fx.Hook{OnStart: p.start, OnStop: p.stop})
		}),
	)
	if err := app.Err(); err != nil {
		return fmt.Errorf("build the gateway: %w", err)
	}
	app.Run()
	return app.Err()
}

func newLogger(settings config.Settings) log.Logger {
	return logs.New(logs.Config{Program: program, Name: settings.Name, Level: settings.LogLevel, Writer: os.Stderr})
}

func newMetrics() *metrics.Set {
	return metrics.New(program)
}

func newDecisionLog(settings config.Settings, now clock.Clock) *record.Log {
	return record.New(record.Config{Clock: now, Process: settings.Name, Size: settings.DecisionLogSize})
}
