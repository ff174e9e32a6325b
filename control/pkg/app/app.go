// Package app creates the components of the control program and starts and stops them.
package app

import (
	"context"
	"fmt"
	"os"

	"github.com/go-kit/log"
	"go.uber.org/fx"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/health"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/metrics"
	"toucanhinge.example/common/pkg/record"
	"toucanhinge.example/control/pkg/config"
)

const (
	program = "control"
	// stopTimeout limits a planned stop. Calls in flight are short, except streams of
	// results and uploads.
	stopTimeout clock.Millis = 30_000
	// decisionLogEvents is the number of events in the decision log, which operators can query.
	decisionLogEvents = 16_384
)

// Run serves until a signal stops the process or a replica fails.
func Run(settings config.Config) error {
	var failure error
	app := fx.New(
		fx.NopLogger,
		fx.StopTimeout(stopTimeout.Duration()),
		fx.Supply(settings),
		fx.Provide(clock.System, health.New, newLogger, newMetrics, newDecisionLog, newGroups, newComponents, newProcess),
		fx.Invoke(func(lifecycle fx.Lifecycle, p *process) {
			lifecycle.Append(fx.Hook{OnStart: p.start, OnStop: func(ctx context.Context) error {
				err := p.stop(ctx)
				failure = p.err()
				return err
			}})
		}),
	)
	if err := app.Err(); err != nil {
		return fmt.Errorf("build control: %w", err)
	}
	app.Run()
	if failure != nil {
		return fmt.Errorf("a replica stopped: %w", failure)
	}
	return app.Err()
}

func newLogger(settings config.Config) log.Logger {
	return logs.New(logs.Config{Program: program, Name: settings.Name, Level: settings.LogLevel, Writer: os.Stderr})
}

func newMetrics() *metrics.Set {
	return metrics.New(program)
}

func newDecisionLog(settings config.Config, now clock.Clock) *record.Log {
	return record.New(record.Config{Clock: now, Process: settings.Name, Size: decisionLogEvents})
}
