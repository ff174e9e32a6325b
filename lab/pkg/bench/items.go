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
	itemsPerJob   = 30_000
	jobsPerGroup  = 4
	workersPerJob = 8
	itemsPerLease = 200
	itemsTimeout  = 90 * time.Second
	itemBodyBytes = 100
	benchTeam     = fleet.TeamName
	benchService  = fleet.ModelService
)

var errItemsMissing = errors.New("items are missing")

var itemsExperiment = Experiment{
	Name:        "items",
	Description: "batch items accepted and completed per second by 3 controls, in one job group and in four, without engines",
	Figures:     []string{"items.onegroup", "items.fourgroups", "item.cpu.us", "item.disk.bytes"},
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
	f, err := b.startFleet(ctx, fleet.Config{Controls: 3, JobGroups: groups})
	if err != nil {
		return err
	}
	defer b.stopFleet(f)
	for run := range b.Config.Runs {
		before, err := nodeUsages(f.Controls)
		if err != nil {
			return err
		}
		rate, items, err := completeJobs(ctx, f, groups, run)
		if err != nil {
			return err
		}
		after, err := nodeUsages(f.Controls)
		if err != nil {
			return err
		}
		if groups == 4 {
			b.addFigure("items.fourgroups", rate)
			continue
		}
		b.addFigure("items.onegroup", rate)
		processor, disk := 0.0, 0.0
		for i := range after {
			processor += (after[i].CPUTime - before[i].CPUTime).Seconds() * microsPerSecond
			disk += float64(after[i].WrittenBytes - before[i].WrittenBytes)
		}
		b.addFigure("item.cpu.us", processor/float64(items))
		b.addFigure("item.disk.bytes", disk/float64(items))
	}
	return nil
}

// completeJobs uploads jobs to every group and completes their items. It returns the
// rate from the first upload to the last completion.
func completeJobs(ctx context.Context, f *fleet.Fleet, groups, run int) (rate float64, items int64, err error) {
	ctx, stop := context.WithTimeout(ctx, itemsTimeout)
	defer stop()
	items = int64(groups * jobsPerGroup * itemsPerJob)
	counts := &worker.Counts{}
	var wg sync.WaitGroup
	errs := make(chan error, groups*(jobsPerGroup+workersPerJob))
	start := time.Now()
	for group := 1; group <= groups; group++ {
		for n := range jobsPerGroup {
			header := uploadHeader(fmt.Sprintf("run-%d-job-%d", run, n), uint32(group), uint32(groups+1))
			wg.Go(func() {
				_, err := worker.Upload(ctx, f.Operator.Client(), uint32(group), header, itemsPerJob, benchItem)
				errs <- err
			})
		}
		for n := range workersPerJob {
			config := worker.Config{
				Client: f.Operator.Client(), Name: fmt.Sprintf("worker-%d-%d", group, n), Incarnation: 1,
				Service: benchService, Group: uint32(group), MaxItems: itemsPerLease, Body: []byte(strings.Repeat("r", itemBodyBytes)),
				ItemLimit: items,
			}
			wg.Go(func() { errs <- worker.Run(ctx, config, counts) })
		}
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return 0, 0, err
		}
	}
	if counts.Accepted.Load() != items {
		return 0, 0, fmt.Errorf("%d of %d items completed: %w", counts.Accepted.Load(), items, errItemsMissing)
	}
	return float64(items) / time.Since(start).Seconds(), items, nil
}

// uploadHeader returns a header with a job key that maps to the given group.
func uploadHeader(key string, group, groups uint32) *toucanhingev1.UploadHeader {
	for n := 0; ; n++ {
		candidate := fmt.Sprintf("%s-%d", key, n)
		if found, err := job.GroupOf(job.ID(benchTeam, candidate, groups)); err == nil && found == group {
			return &toucanhingev1.UploadHeader{Team: benchTeam, Key: candidate, Service: benchService, Gateway: "bench"}
		}
	}
}

func benchItem(n int) *toucanhingev1.Item {
	return &toucanhingev1.Item{
		CustomId: fmt.Sprintf("item-%d", n),
		Body:     fmt.Appendf(nil, `{"messages":[{"role":"user","content":"%s"}]}`, strings.Repeat("q", itemBodyBytes-40)),
	}
}
