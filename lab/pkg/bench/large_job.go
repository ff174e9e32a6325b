package bench

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"toucanhinge.example/common/pkg/job"
	"toucanhinge.example/lab/pkg/caller"
	"toucanhinge.example/lab/pkg/fleet"
	"toucanhinge.example/lab/pkg/worker"
)

const (
	largeItems = 210_000
	largeLimit = 2 * time.Minute
)

var largeJobExperiment = Experiment{
	Name:    "largejob",
	Description:   "a job of 210,000 items through a gateway: accepted, worked off without engines, read back",
	Figures: []string{"accept210k.s", "results.persec"},
	Run:     runLargeJob,
}

func runLargeJob(ctx context.Context, b *Bench) error {
	ctx, stop := context.WithTimeout(ctx, largeLimit)
	defer stop()
	f, err := b.fleet(ctx, fleet.Config{Controls: 3, Gateways: 1, JobGroups: 1})
	if err != nil {
		return err
	}
	defer b.end(f)
	c := caller.New(caller.Config{URL: f.Gateways[0].URL(), Key: fleet.TeamKey})
	reader, writer := io.Pipe()
	go func() { _ = writer.CloseWithError(writeLarge(writer)) }()
	start := time.Now()
	status, err := c.Upload(ctx, fleet.ModelService, "large", reader)
	if err != nil {
		return err
	}
	b.add("accept210k.s", time.Since(start).Seconds())
	usage, err := f.Gateways[0].Process().Usage()
	if err != nil {
		return err
	}
	b.add("accept210k.gateway.rss.mb", float64(usage.ResidentBytes)/(1<<20))
	if err := workOff(ctx, f, status.ID); err != nil {
		return err
	}
	start = time.Now()
	read := 0
	if err := c.Results(ctx, status.ID, 0, func(caller.Result) error { read++; return nil }); err != nil {
		return err
	}
	if read != largeItems {
		return fmt.Errorf("%d of %d results read: %w", read, largeItems, errItems)
	}
	b.add("results.persec", float64(read)/time.Since(start).Seconds())
	return nil
}

func writeLarge(w io.Writer) error {
	var lines strings.Builder
	for n := range largeItems {
		lines.WriteString(caller.ItemLine(fmt.Sprintf("item-%d", n), fleet.Model, "an agreement", 1))
		if lines.Len() > 1<<16 || n == largeItems-1 {
			if _, err := io.WriteString(w, lines.String()); err != nil {
				return fmt.Errorf("write items: %w", err)
			}
			lines.Reset()
		}
	}
	return nil
}

func workOff(ctx context.Context, f *fleet.Fleet, id string) error {
	group, err := job.GroupOf(id)
	if err != nil {
		return fmt.Errorf("group of the job: %w", err)
	}
	counts := &worker.Counts{}
	errs := make(chan error, workersPerJob)
	var duties sync.WaitGroup
	for n := range workersPerJob {
		config := worker.Config{
			Client: f.Operator.Client(), Name: fmt.Sprintf("worker-%d", n), Incarnation: 1, Service: fleet.ModelService,
			Group: group, MaxItems: itemsPerLease, Body: []byte(`{"choices":[]}`), ItemLimit: largeItems,
		}
		duties.Go(func() { errs <- worker.Run(ctx, config, counts) })
	}
	duties.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	if counts.Accepted.Load() != largeItems {
		return fmt.Errorf("%d of %d completed: %w", counts.Accepted.Load(), largeItems, errItems)
	}
	return nil
}
