// Package app joins the parts of the gateway and starts and stops them.
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

// stopSlack is the time that stopping takes besides the waits that settings name.
const stopSlack clock.Millis = 20_000

// Run serves until a signal, an operator or the VM list asks it to leave.
func Run(settings config.Settings) error {
	stop := clock.Millis(settings.Drain.BalancerWait+settings.Drain.FinishTimeout) + stopSlack
	app := fx.New(
		fx.NopLogger,
		fx.StopTimeout(stop.Duration()),
		fx.Supply(settings),
		fx.Provide(
			clock.System,
			health.New,
			newLogger,
			newMetrics,
			newBook,
			newParts,
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

func newBook(settings config.Settings, now clock.Clock) *record.Log {
	return record.New(record.Config{Clock: now, Process: settings.Name, Size: settings.DecisionLogSize})
}
