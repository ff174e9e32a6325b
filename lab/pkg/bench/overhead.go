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
	// overheadSpacing spreads the starts over more than one step, so that the wait
	// for the engine's next step is sampled evenly in both arms.
	overheadSpacing = 7 * time.Millisecond
	// overheadRounds is the number of rounds per run. The arms alternate within a
	// round, so that other load on the machine affects both.
	overheadRounds = 4
	// foreignLoadCooldown is the wait after calls sent directly to the engines. The
	// sidecars treat such calls as foreign load, which lowers the share in use for a
	// second plus the lag of the load report.
	foreignLoadCooldown = 2 * time.Second
)

var overheadExperiment = Experiment{
	Name:        "overhead",
	Description: "64 streams of 64 tokens through gateway and sidecar, compared with the engine directly",
	Figures:     []string{"overhead.ttft.p50.ms", "overhead.ttft.p99.ms", "overhead.itl.p95.ms"},
	Run:         runOverhead,
}

func runOverhead(ctx context.Context, b *Bench) error {
	f, err := b.startFleet(ctx, fleet.Config{Controls: 1, Gateways: 1, Sidecars: 1, Engine: fleet.Engine{Slots: overheadStreams, Speed: 2}})
	if err != nil {
		return err
	}
	defer b.stopFleet(f)
	for run := range b.Config.Runs {
		direct, through := &arm{}, &arm{}
		for round := range overheadRounds {
			name := fmt.Sprintf("o%d-%d", run, round)
			direct.add(runStreams(ctx, f.EngineTarget, name+"d"))
			time.Sleep(foreignLoadCooldown)
			through.add(runStreams(ctx, f.Target, name+"t"))
		}
		if err := through.checkSuccessShare(); err != nil {
			return err
		}
		b.printf("   direct:  %s", direct.report)
		b.printf("   through: %s", through.report)
		b.addFigure("overhead.ttft.p50.ms", through.report.FirstToken.Ms(50)-direct.report.FirstToken.Ms(50))
		b.addFigure("overhead.ttft.p99.ms", through.report.FirstToken.Ms(99)-direct.report.FirstToken.Ms(99))
		b.addFigure("overhead.itl.p95.ms", through.report.TokenGaps.Ms(95)-direct.report.TokenGaps.Ms(95))
		if run == 0 {
			b.writePicture("overhead", quantilePicture("First token: engine directly, and through the system",
				namedHistogram{"directly", direct.report.FirstToken}, namedHistogram{"through", through.report.FirstToken}))
		}
	}
	return nil
}

func runStreams(ctx context.Context, target func(int) load.Target, name string) *load.Report {
	mix := load.Mix{Model: fleet.Model, UniqueBytes: 200, MinTokens: overheadTokens, Name: name}
	schedule := make([]time.Duration, overheadStreams)
	for i := range schedule {
		schedule[i] = time.Duration(i) * overheadSpacing
	}
	return load.Run(ctx, load.Config{Target: target, Make: mix.Make, Schedule: schedule, Deadline: time.Minute})
}

type namedHistogram struct {
	name string
	h    *load.Histogram
}

func quantilePicture(title string, histograms ...namedHistogram) plots.Picture {
	picture := plots.Picture{Title: title, X: "percentile", Y: "milliseconds"}
	for _, named := range histograms {
		line := plots.Line{Name: named.name}
		for q := 1.0; q <= 99; q++ {
			line.Points = append(line.Points, plots.Point{X: q, Y: named.h.Ms(q)})
		}
		picture.Lines = append(picture.Lines, line)
	}
	return picture
}
