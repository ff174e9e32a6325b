package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"

	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/web"
	"toucanhinge.example/lab/pkg/fleet"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	daemonsFew    = 20
	daemonsMany   = 220
	daemonsSettle = 4 * time.Second
	daemonsLength = 10 * time.Second
)

var daemonsExperiment = Experiment{
	Name:    "daemons",
	Description:   "the controls' CPU and memory for one more idle daemon that watches and sends heartbeats",
	Figures: []string{"control.daemon.us", "control.daemon.kb"},
	Run:     runDaemons,
}

func runDaemons(ctx context.Context, b *Bench) error {
	for range b.Config.Runs {
		few, err := daemonCost(ctx, b, daemonsFew)
		if err != nil {
			return err
		}
		many, err := daemonCost(ctx, b, daemonsMany)
		if err != nil {
			return err
		}
		b.add("control.daemon.us", (many.processor-few.processor)*processorUS/(daemonsMany-daemonsFew))
		b.add("control.daemon.kb", (many.resident-few.resident)/1024/(daemonsMany-daemonsFew))
	}
	return nil
}

// daemonTotals is what all controls spend together: seconds of CPU in a second,
// and bytes.
type daemonTotals struct {
	processor float64
	resident  float64
}

func daemonCost(ctx context.Context, b *Bench, count int) (daemonTotals, error) {
	f, err := b.fleet(ctx, fleet.Config{Controls: 3})
	if err != nil {
		return daemonTotals{}, err
	}
	defer b.end(f)
	running, stop := context.WithCancel(ctx)
	var duties sync.WaitGroup
	defer func() { stop(); duties.Wait() }()
	for n := range count {
		startDaemon(running, f, n, &duties)
	}
	time.Sleep(daemonsSettle)
	before, err := usages(f.Controls)
	if err != nil {
		return daemonTotals{}, err
	}
	time.Sleep(daemonsLength)
	after, err := usages(f.Controls)
	if err != nil {
		return daemonTotals{}, err
	}
	var totals daemonTotals
	for i := range after {
		totals.processor += (after[i].CPUTime - before[i].CPUTime).Seconds() / daemonsLength.Seconds()
		totals.resident += float64(after[i].ResidentBytes)
	}
	return totals, nil
}

// startDaemon runs what every daemon does with control when it is idle.
func startDaemon(ctx context.Context, f *fleet.Fleet, n int, duties *sync.WaitGroup) {
	name := fmt.Sprintf("daemon-%d", n)
	client := control.New(control.Config{Addresses: f.ControlAddresses(), HTTP: web.NewClient()})
	watcher := control.NewWatcher(control.WatcherConfig{Client: client, Process: name, Logger: log.NewNopLogger()})
	beater := control.NewHeartbeater(control.HeartbeaterConfig{
		Client: client, Logger: log.NewNopLogger(), Accepted: watcher.RaiseMinVersion,
		Request: func() *toucanhingev1.BeatRequest {
			return &toucanhingev1.BeatRequest{
				Name: name, Version: watcher.Fleet().Version,
				Member: &toucanhingev1.Member{
					Role: toucanhingev1.Role_ROLE_GATEWAY, Address: "127.0.0.1:1", Vm: name, Incarnation: 1,
					State: toucanhingev1.MemberState_MEMBER_STATE_READY,
				},
			}
		},
	})
	duties.Go(func() { watcher.Run(ctx) })
	duties.Go(func() { beater.Run(ctx) })
}
