package forward

import (
	"context"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/crashes"
	"toucanhinge.example/common/pkg/logs"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// sightCrash notes it if a call broke off because its runner crashed. A runner may also
// break one connection and live on; one that refuses a new connection at once doesn't.
func (e *exchange) sightCrash(ctx context.Context, r *toucanhingev1.Runner, err error) {
	refuses := e.server.config.Client.Refuses
	if refuses == nil || errors.Is(err, errStatus) || errors.Is(err, errSilent) || errors.Is(err, errGap) || !refuses(ctx, r) {
		return
	}
	running := clock.Millis(-1)
	if e.heardAt > 0 {
		running = e.now() - e.heardAt
	}
	e.server.metrics.crashes.Inc()
	level.Info(e.server.config.Logger).Log(logs.KeyEvent, logs.EventRunnerCrashed, logs.KeyRequest, e.request.ID,
		logs.KeyContent, e.content(), "runner", r.GetId(), "ran", e.ran, "running-ms", running)
}

func (e *exchange) content() crashes.Content {
	return crashes.ContentOf(e.request.Method, e.request.Host, e.request.Target, e.request.Body)
}
