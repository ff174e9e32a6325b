package digest

import (
	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/occupancy"
)

// ReportUnreachable records that this daemon couldn't reach a runner, and informs the other daemons.
func (x *Exchange) ReportUnreachable(runner string, cause occupancy.UnreachableCause) {
	x.mu.Lock()
	news := x.table.ReportUnreachable(x.config.Clock.Now(), runner, cause)
	x.mu.Unlock()
	x.publishContact(news, "runner-unreachable", runner, cause.String())
}

// BeginCall records that this daemon calls a runner, and informs the other daemons if that is a probe of an
// unreachable runner.
func (x *Exchange) BeginCall(runner string) {
	x.mu.Lock()
	news := x.table.BeginCall(x.config.Clock.Now(), runner)
	x.mu.Unlock()
	x.publishContact(news, "runner-probed", runner, "")
}

// RecordContact records that a runner answered a call that began at a time, and informs the other daemons if
// one of them found the runner unreachable.
func (x *Exchange) RecordContact(runner string, startedAt clock.Millis) {
	x.mu.Lock()
	news := x.table.RecordContact(x.config.Clock.Now(), runner, startedAt)
	x.mu.Unlock()
	x.publishContact(news, "runner-reached", runner, "")
}

func (x *Exchange) publishContact(news bool, event, runner, cause string) {
	if !news {
		return
	}
	level.Info(x.config.Logger).Log(logs.KeyEvent, event, "runner", runner, "cause", cause)
	x.wake()
}
