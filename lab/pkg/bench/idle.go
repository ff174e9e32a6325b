package bench

import (
	"context"
	"time"

	"toucanhinge.example/lab/pkg/fleet"
)

const (
	// idleWarmup is the time for startup traffic to end.
	idleWarmup   = 3 * time.Second
	idleDuration = 7 * time.Second
)

var idleExperiment = Experiment{
	Name:        "idle",
	Description: "memory and CPU of each idle role, and its bytes per second to and from control",
	Figures:     []string{"gateway.rss.mb", "sidecar.rss.mb", "control.rss.mb", "sidecar.control.bytes", "gateway.control.bytes"},
	Run:         runIdle,
}

func runIdle(ctx context.Context, b *Bench) error {
	f, err := b.startFleet(ctx, fleet.Config{Controls: 1, Gateways: 1, Sidecars: 1, CountControlBytes: true})
	if err != nil {
		return err
	}
	defer b.stopFleet(f)
	time.Sleep(idleWarmup)
	for range b.Config.Runs {
		nodes := []*fleet.Node{f.Gateways[0], f.Sidecars[0], f.Controls[0]}
		before, err := nodeUsages(nodes)
		if err != nil {
			return err
		}
		gateway, sidecar := f.ControlBytes(nodes[0]), f.ControlBytes(nodes[1])
		time.Sleep(idleDuration)
		after, err := nodeUsages(nodes)
		if err != nil {
			return err
		}
		for i, role := range []string{"gateway", "sidecar", "control"} {
			b.addFigure(role+".rss.mb", float64(after[i].ResidentBytes)/(1<<20))
			b.addFigure(role+".cpu.idle.percent", 100*(after[i].CPUTime-before[i].CPUTime).Seconds()/idleDuration.Seconds())
		}
		b.addFigure("gateway.control.bytes", float64(f.ControlBytes(nodes[0])-gateway)/idleDuration.Seconds())
		b.addFigure("sidecar.control.bytes", float64(f.ControlBytes(nodes[1])-sidecar)/idleDuration.Seconds())
	}
	return nil
}
