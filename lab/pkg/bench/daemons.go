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
	daemonsFew      = 20
	daemonsMany     = 220
	daemonsWarmup   = 4 * time.Second
	daemonsDuration = 10 * time.Second
)

var daemonsExperiment = Experiment{
	Name:        "daemons",
	Description: "the controls' CPU and memory per additional idle daemon that watches and sends heartbeats",
	Figures:     []string{"control.daemon.us", "control.daemon.kb"},
	Run:         runDaemons,
}

func runDaemons(ctx context.Context, b *Bench) error {
	for range b.Config.Runs {
		few, err := measureControlUsage(ctx, b, daemonsFew)
		if err != nil {
			return err
		}
		many, err := measureControlUsage(ctx, b, daemonsMany)
		if err != nil {
			return err
		}
		b.addFigure("control.daemon.us", (many.processor-few.processor)*microsPerSecond/(daemonsMany-daemonsFew))
		b.addFigure("control.daemon.kb", (many.resident-few.resident)/1024/(daemonsMany-daemonsFew))
	}
	return nil
}

// controlUsage is the total usage of all controls: CPU seconds per second and
// resident bytes.
type controlUsage struct {
	processor float64
	resident  float64
}

func measureControlUsage(ctx context.Context, b *Bench, count int) (controlUsage, error) {
	f, err := b.startFleet(ctx, fleet.Config{Controls: 3})
	if err != nil {
		return controlUsage{}, err
	}
	defer b.stopFleet(f)
	running, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer func() { stop(); wg.Wait() }()
	for n := range count {
		startDaemon(running, f, n, &wg)
	}
	time.Sleep(daemonsWarmup)
	before, err := nodeUsages(f.Controls)
	if err != nil {
		return controlUsage{}, err
	}
	time.Sleep(daemonsDuration)
	after, err := nodeUsages(f.Controls)
	if err != nil {
		return controlUsage{}, err
	}
	var usage controlUsage
	for i := range after {
		usage.processor += (after[i].CPUTime - before[i].CPUTime).Seconds() / daemonsDuration.Seconds()
		usage.resident += float64(after[i].ResidentBytes)
	}
	return usage, nil
}

// startDaemon starts a watcher and a heartbeater, the control traffic of an idle daemon.
func startDaemon(ctx context.Context, f *fleet.Fleet, n int, wg *sync.WaitGroup) {
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
	wg.Go(func() { watcher.Run(ctx) })
	wg.Go(func() { beater.Run(ctx) })
}
