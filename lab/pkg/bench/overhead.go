package bench

import (
	"context"
	"fmt"
	"time"

	"toucanhinge.example/lab/pkg/fleet"
	"toucanhinge.example/lab/pkg/load"
	"toucanhinge.example/lab/pkg/plots"
)

const (
	overheadStreams = 64
	overheadTokens  = 64
	// overheadSpacing staggers the starts over a step or more, so that the wait
	// for the engine's next step is sampled evenly in both arms.
	overheadSpacing = 7 * time.Millisecond
	// overheadRounds of both arms make one run; they alternate, so that a busy
	// moment of the machine hits both.
	overheadRounds = 4
	// foreignPause follows calls made at the engines directly. To the sidecars
	// they are load of others, which lowers the share in use for a second and the
	// report's lag.
	foreignPause = 2 * time.Second
)

var overheadExperiment = Experiment{
	Name:    "overhead",
	Description:   "64 streams of 64 tokens through gateway and sidecar, against the engine directly",
	Figures: []string{"overhead.ttft.p50.ms", "overhead.ttft.p99.ms", "overhead.itl.p95.ms"},
	Run:     runOverhead,
}

func runOverhead(ctx context.Context, b *Bench) error {
	f, err := b.fleet(ctx, fleet.Config{Controls: 1, Gateways: 1, Sidecars: 1, Engine: fleet.Engine{Slots: overheadStreams, Speed: 2}})
	if err != nil {
		return err
	}
	defer b.end(f)
	for run := range b.Config.Runs {
		direct, through := &arm{}, &arm{}
		for round := range overheadRounds {
			name := fmt.Sprintf("o%d-%d", run, round)
			direct.add(burstOfStreams(ctx, f.EngineTarget, name+"d"))
			time.Sleep(foreignPause)
			through.add(burstOfStreams(ctx, f.Target, name+"t"))
		}
		if err := through.sound(); err != nil {
			return err
		}
		b.say("   direct:  %s", direct.report)
		b.say("   through: %s", through.report)
		b.add("overhead.ttft.p50.ms", through.report.FirstToken.Ms(50)-direct.report.FirstToken.Ms(50))
		b.add("overhead.ttft.p99.ms", through.report.FirstToken.Ms(99)-direct.report.FirstToken.Ms(99))
		b.add("overhead.itl.p95.ms", through.report.TokenGaps.Ms(95)-direct.report.TokenGaps.Ms(95))
		if run == 0 {
			b.draw("overhead", quantilePicture("First token: engine directly, and through the system",
				named{"directly", direct.report.FirstToken}, named{"through", through.report.FirstToken}))
		}
	}
	return nil
}

func burstOfStreams(ctx context.Context, target func(int) load.Target, name string) *load.Report {
	mix := load.Mix{Model: fleet.Model, UniqueBytes: 200, MinTokens: overheadTokens, Name: name}
	schedule := make([]time.Duration, overheadStreams)
	for i := range schedule {
		schedule[i] = time.Duration(i) * overheadSpacing
	}
	return load.Run(ctx, load.Config{Target: target, Make: mix.Make, Schedule: schedule, Deadline: time.Minute})
}

type named struct {
	name string
	h    *load.Histogram
}

func quantilePicture(title string, histograms ...named) plots.Picture {
	picture := plots.Picture{Title: title, X: "percentile", Y: "milliseconds"}
	for _, one := range histograms {
		line := plots.Line{Name: one.name}
		for q := 1.0; q <= 99; q++ {
			line.Points = append(line.Points, plots.Point{X: q, Y: one.h.Ms(q)})
		}
		picture.Lines = append(picture.Lines, line)
	}
	return picture
}
