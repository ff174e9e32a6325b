package core

import (
	"github.com/prometheus/client_golang/prometheus"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/gateway/pkg/news"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// board passes on what a follower hears.
func board() *news.Publisher {
	return news.New(news.Config{
		Boot: clock.System(), Registerer: prometheus.NewRegistry(),
		Usage: func() ([]*toucanhingev1.TeamUse, clock.Millis) { return nil, 0 },
	})
}
