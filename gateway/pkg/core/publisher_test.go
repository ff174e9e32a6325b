package core

import (
	"github.com/prometheus/client_golang/prometheus"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/gateway/pkg/updates"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// newPublisher returns a publisher for the updates of a subscriber.
func newPublisher() *updates.Publisher {
	return updates.New(updates.Config{
		Boot: clock.System(), Registerer: prometheus.NewRegistry(),
		Usage: func() ([]*toucanhingev1.TeamUse, clock.Millis) { return nil, 0 },
	})
}
