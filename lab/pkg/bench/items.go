package bench

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/job"
	"toucanhinge.example/lab/pkg/fleet"
	"toucanhinge.example/lab/pkg/worker"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	itemsPerJob    = 30_000
	jobsPerGroup   = 4
	workersPerJob  = 8
	itemsPerLease  = 200
	itemsLimit     = 90 * time.Second
	itemBodyBytes  = 100
	teamOfBench    = fleet.TeamName
	serviceOfBench = fleet.ModelService
)

var errItems = errors.New("items are missing")

var itemsExperiment = Experiment{
	Name:    "items",
	Description:   "batch items accepted and completed a second by 3 controls, in one job group and in four, without engines",
	Figures: []string{"items.onegroup", "items.fourgroups", "item.cpu.us", "item.disk.bytes"},
	Run: func(ctx context.Context, b *Bench) error {
		for _, groups := range []int{1, 4} {
			if err := runItems(ctx, b, groups); err != nil {
				return err
			}
		}
		return nil
	},
}

func runItems(ctx context.Context, b *Bench, groups int) error {
	f, err := b.fleet(ctx, fleet.Config{Controls: 3, JobGroups: groups})
	if err != nil {
		return err
	}
	defer b.end(f)
	for run := range b.Config.Runs {
		before, err := usages(f.Controls)
		if err != nil {
			return err
		}
		rate, items, err := completeJobs(ctx, f, groups, run)
		if err != nil {
			return err
		}
		after, err := usages(f.Controls)
		if err != nil {
			return err
		}
		if groups == 4 {
			b.add("items.fourgroups", rate)
			continue
		}
		b.add("items.onegroup", rate)
		processor, disk := 0.0, 0.0
		for i := range after {
			processor += (after[i].CPUTime - before[i].CPUTime).Seconds() * processorUS
			disk += float64(after[i].WrittenBytes - before[i].WrittenBytes)
		}
		b.add("item.cpu.us", processor/float64(items))
		b.add("item.disk.bytes", disk/float64(items))
	}
	return nil
}

// completeJobs uploads jobs to every group, works them off, and says the rate
// from the first upload to the last completion.
func completeJobs(ctx context.Context, f *fleet.Fleet, groups, run int) (rate float64, items int64, err error) {
	ctx, stop := context.WithTimeout(ctx, itemsLimit)
	defer stop()
	items = int64(groups * jobsPerGroup * itemsPerJob)
	counts := &worker.Counts{}
	var duties sync.WaitGroup
	errs := make(chan error, groups*(jobsPerGroup+workersPerJob))
	start := time.Now()
	for group := 1; group <= groups; group++ {
		for n := range jobsPerGroup {
			header := header(fmt.Sprintf("run-%d-job-%d", run, n), uint32(group), uint32(groups+1))
			duties.Go(func() {
				_, err := worker.Upload(ctx, f.Operator.Client(), uint32(group), header, itemsPerJob, benchItem)
				errs <- err
			})
		}
		for n := range workersPerJob {
			config := worker.Config{
				Client: f.Operator.Client(), Name: fmt.Sprintf("worker-%d-%d", group, n), Incarnation: 1,
				Service: serviceOfBench, Group: uint32(group), MaxItems: itemsPerLease, Body: []byte(strings.Repeat("r", itemBodyBytes)),
				ItemLimit: items,
			}
			duties.Go(func() { errs <- worker.Run(ctx, config, counts) })
		}
	}
	duties.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return 0, 0, err
		}
	}
	if counts.Accepted.Load() != items {
		return 0, 0, fmt.Errorf("%d of %d completed: %w", counts.Accepted.Load(), items, errItems)
	}
	return float64(items) / time.Since(start).Seconds(), items, nil
}

// header finds a key that falls into the wanted group.
func header(key string, group, groups uint32) *toucanhingev1.UploadHeader {
	for n := 0; ; n++ {
		tried := fmt.Sprintf("%s-%d", key, n)
		if found, err := job.GroupOf(job.ID(teamOfBench, tried, groups)); err == nil && found == group {
			return &toucanhingev1.UploadHeader{Team: teamOfBench, Key: tried, Service: serviceOfBench, Gateway: "bench"}
		}
	}
}

func benchItem(n int) *toucanhingev1.Item {
	return &toucanhingev1.Item{
		CustomId: fmt.Sprintf("item-%d", n),
		Body:     fmt.Appendf(nil, `{"messages":[{"role":"user","content":"%s"}]}`, strings.Repeat("q", itemBodyBytes-40)),
	}
}
