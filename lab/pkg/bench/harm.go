package bench

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"toucanhinge.example/lab/pkg/caller"
	"toucanhinge.example/lab/pkg/fleet"
	"toucanhinge.example/lab/pkg/load"
)

const (
	harmEngines = 4
	harmSlots   = 16
	harmLength  = 8 * time.Second
	// harmShare of the fleet's capacity is asked for by online requests on the average.
	harmShare = 0.4
	// A batch item is shaped like an online request, so that tokens compare.
	harmTokensMin = 16
	harmTokensMax = 80
	harmItems     = 8_000
	// fillSettle lets batch fill the engines before we count.
	fillSettle = 2 * time.Second
	fillLength = 4 * time.Second
)

var harmExperiment = Experiment{
	Name:  "harm",
	Description: "online alone, with batch under our policy, with batch given to the engines at once; and how much batch fills",
	Figures: []string{
		"harm.ttft", "harm.itl", "naive.harm.ttft", "naive.harm.itl", "batch.fill", "naive.batch.fill",
	},
	Run: runHarm,
}

// harmArm is what one policy gave.
type harmArm struct {
	alone, mixed *load.Report
	// capacity is tokens a second with batch alone.
	capacity float64
	// filled is tokens a second of batch beside online.
	filled float64
	// left is tokens a second that online left.
	left float64
}

func runHarm(ctx context.Context, b *Bench) error {
	for run := range b.Config.Runs {
		ours, err := b.harmRun(ctx, fmt.Sprintf("ours%d", run))
		if err != nil {
			return err
		}
		naive, err := b.harmRun(ctx, fmt.Sprintf("naive%d", run), fleet.NaivePolicy()...)
		if err != nil {
			return err
		}
		b.add("harm.ttft", ratio(ours.mixed.FirstToken.Ms(99), ours.alone.FirstToken.Ms(99)))
		b.add("harm.itl", ratio(ours.mixed.TokenGaps.Ms(95), ours.alone.TokenGaps.Ms(95)))
		b.add("naive.harm.ttft", ratio(naive.mixed.FirstToken.Ms(99), naive.alone.FirstToken.Ms(99)))
		b.add("naive.harm.itl", ratio(naive.mixed.TokenGaps.Ms(95), naive.alone.TokenGaps.Ms(95)))
		b.add("batch.fill", ratio(ours.filled, ours.left))
		b.add("naive.batch.fill", ratio(naive.filled, naive.left))
		if run == 0 {
			b.draw("harm", quantilePicture("First token: online alone, with batch, with naive batch",
				named{"alone", ours.alone.FirstToken}, named{"with batch, ours", ours.mixed.FirstToken},
				named{"with batch, naive", naive.mixed.FirstToken}))
		}
	}
	return nil
}

func ratio(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return a / b
}

// harmRun measures one policy on a fleet of its own: online alone, batch alone,
// both together, with the same arrivals.
func (b *Bench) harmRun(ctx context.Context, name string, settings ...fleet.Setting) (*harmArm, error) {
	f, err := b.fleet(ctx, fleet.Config{
		Controls: 1, Gateways: 2, Sidecars: harmEngines, Engine: fleet.Engine{Slots: harmSlots}, SidecarSettings: settings,
	})
	if err != nil {
		return nil, err
	}
	defer b.end(f)
	batch := caller.New(caller.Config{URL: f.Gateways[0].URL(), Key: fleet.OtherTeamKey})
	filler, err := uploadFiller(ctx, batch, name)
	if err != nil {
		return nil, err
	}
	a := &harmArm{}
	if a.capacity, err = tokenRate(ctx, f, fillSettle, fillLength); err != nil {
		return nil, err
	}
	rate := harmShare * a.capacity / ((harmTokensMin + harmTokensMax) / 2)
	a.mixed, a.filled, err = b.onlineWithFill(ctx, f, name+"m", rate)
	if err != nil {
		return nil, err
	}
	if err := batch.Cancel(ctx, filler); err != nil {
		return nil, err
	}
	if err := waitIdle(ctx, f); err != nil {
		return nil, err
	}
	if a.alone, _, err = b.onlineWithFill(ctx, f, name+"a", rate); err != nil {
		return nil, err
	}
	a.left = a.capacity - float64(a.mixed.Tokens)/a.mixed.Duration.Seconds()
	b.say("   %s capacity %.0f tokens/s, batch beside online %.0f of %.0f left", name, a.capacity, a.filled, a.left)
	b.say("   %s alone: %s", name, a.alone)
	b.say("   %s mixed: %s", name, a.mixed)
	return a, nil
}

// onlineWithFill runs the online load and says how many tokens a second the
// engines generated besides.
func (b *Bench) onlineWithFill(ctx context.Context, f *fleet.Fleet, name string, rate float64) (*load.Report, float64, error) {
	mix := load.Mix{
		Model: fleet.Model, Prefixes: 8, PrefixBytes: 512, UniqueBytes: 200,
		MinTokens: harmTokensMin, MaxTokens: harmTokensMax, Name: name, Seed: b.Config.Seed,
	}
	before, err := engineTokens(ctx, f)
	if err != nil {
		return nil, 0, err
	}
	start := time.Now()
	report := load.Run(ctx, load.Config{
		Target: f.Target, Make: mix.Make, Deadline: time.Minute,
		Schedule: load.FrequentBursts.WithMean(rate).Schedule(harmLength, b.Config.Seed),
	})
	after, err := engineTokens(ctx, f)
	if err != nil {
		return nil, 0, err
	}
	if err := (&arm{report: report}).sound(); err != nil {
		return nil, 0, err
	}
	return report, (float64(after-before) - float64(report.Tokens)) / time.Since(start).Seconds(), nil
}

// uploadFiller brings a job that is larger than a run can finish.
func uploadFiller(ctx context.Context, batch *caller.Caller, name string) (id string, err error) {
	var lines strings.Builder
	for n := range harmItems {
		tokens := harmTokensMin + n%(harmTokensMax-harmTokensMin+1)
		lines.WriteString(caller.ItemLine(fmt.Sprintf("%s-%d", name, n), fleet.Model,
			strings.Repeat("summary of an agreement ", 10)+fmt.Sprint(n), tokens))
	}
	job, err := batch.Upload(ctx, fleet.ModelService, name, strings.NewReader(lines.String()))
	return job.ID, err
}

func tokenRate(ctx context.Context, f *fleet.Fleet, settle, length time.Duration) (float64, error) {
	time.Sleep(settle)
	before, err := engineTokens(ctx, f)
	if err != nil {
		return 0, err
	}
	start := time.Now()
	time.Sleep(length)
	after, err := engineTokens(ctx, f)
	if err != nil {
		return 0, err
	}
	return float64(after-before) / time.Since(start).Seconds(), nil
}

func engineTokens(ctx context.Context, f *fleet.Fleet) (int64, error) {
	var mu sync.Mutex
	total := int64(0)
	var first error
	var reads sync.WaitGroup
	for _, n := range f.Engines {
		reads.Go(func() {
			l, err := f.EngineTotals(ctx, n)
			mu.Lock()
			defer mu.Unlock()
			total += l.Tokens
			if err != nil {
				first = err
			}
		})
	}
	reads.Wait()
	return total, first
}

// waitIdle waits until the engines generate nothing more.
func waitIdle(ctx context.Context, f *fleet.Fleet) error {
	for range 200 {
		rate, err := tokenRate(ctx, f, 0, 100*time.Millisecond)
		if err != nil || rate == 0 {
			return err
		}
	}
	return errBusy
}
