package bench

import (
	"context"
	"time"

	"toucanhinge.example/lab/pkg/fleet"
)

const (
	// idleSettle lets the start's own traffic pass.
	idleSettle = 3 * time.Second
	idleLength = 7 * time.Second
)

var idleExperiment = Experiment{
	Name:    "idle",
	Description:   "memory of each role, CPU and bytes a second to and from control, all idle",
	Figures: []string{"gateway.rss.mb", "sidecar.rss.mb", "control.rss.mb", "sidecar.control.bytes", "gateway.control.bytes"},
	Run:     runIdle,
}

func runIdle(ctx context.Context, b *Bench) error {
	f, err := b.fleet(ctx, fleet.Config{Controls: 1, Gateways: 1, Sidecars: 1, CountControlBytes: true})
	if err != nil {
		return err
	}
	defer b.end(f)
	time.Sleep(idleSettle)
	for range b.Config.Runs {
		nodes := []*fleet.Node{f.Gateways[0], f.Sidecars[0], f.Controls[0]}
		before, err := usages(nodes)
		if err != nil {
			return err
		}
		gateway, sidecar := f.ControlBytes(nodes[0]), f.ControlBytes(nodes[1])
		time.Sleep(idleLength)
		after, err := usages(nodes)
		if err != nil {
			return err
		}
		for i, role := range []string{"gateway", "sidecar", "control"} {
			b.add(role+".rss.mb", float64(after[i].ResidentBytes)/(1<<20))
			b.add(role+".cpu.idle.percent", 100*(after[i].CPUTime-before[i].CPUTime).Seconds()/idleLength.Seconds())
		}
		b.add("gateway.control.bytes", float64(f.ControlBytes(nodes[0])-gateway)/idleLength.Seconds())
		b.add("sidecar.control.bytes", float64(f.ControlBytes(nodes[1])-sidecar)/idleLength.Seconds())
	}
	return nil
}
