// Package core is a VM of the core: a replica of the routing table and the batch
// jobs, and, while it leads, what gateways and operators ask of them.
package core

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/digest"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/quota"
	"toucanhinge.example/common/pkg/routing"
	"toucanhinge.example/common/pkg/runner"
	"toucanhinge.example/common/pkg/signal"
	"toucanhinge.example/common/pkg/web"
	"toucanhinge.example/control/pkg/batchrun"
	"toucanhinge.example/control/pkg/carrier"
	"toucanhinge.example/control/pkg/replica"
	"toucanhinge.example/control/pkg/systemstate"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Group is the number of the core's consensus group.
const Group = 0

const (
	// checkpointBytes bounds what the log keeps in memory and a restart replays.
	// A VM of the core has some 150 MB for everything.
	checkpointBytes = 1 << 20
	keepBytes       = 256 << 10
	logFileBytes    = 4 << 20
	// ringSize is enough for some hundred steps on their way; with 4,096 places
	// the rings of a VM with two peers held 2.5 MB.
	ringSize = 512
	// heartbeat and election decide how soon a lost leader is replaced: callers'
	// jobs and the operator wait for it. VMs of the core are a millisecond apart,
	// and even one that runs eight times slower answers within 50 ms, so three
	// missing heartbeats tell.
	heartbeat clock.Millis = 75
	election  clock.Millis = 300
)

// Config sets up a VM of the core.
type Config struct {
	// Name is the VM's; Address is where other daemons reach it, IP:port, and its
	// member name in the group.
	Name       string
	Address    string
	DataCentre string
	Folder     string
	// FoundingMembers are the addresses of the VMs that form the group when the system
	// starts for the first time; empty at every other start.
	FoundingMembers []string
	// Losses is how many VMs may be lost at the same time.
	Losses int
	// DrainNoticeLimit is how long after the directory shows that a runner leaves requests may still be
	// sent there, a span; 0 if that isn't told.
	DrainNoticeLimit clock.Millis

	Clock      clock.Clock
	Logger     log.Logger
	Registerer prometheus.Registerer
	Exchange   *digest.Exchange
	// Quota counts the requests of teams that gateways tell of, by the boot clock, for gateways
	// that start; nil if nobody limits them.
	Quota   *quota.Counter
	Boot    clock.Clock
	Runners runner.Client
	// Directory lists all running instances.
	Directory func(context.Context) ([]*toucanhingev1.Runner, error)
	// Core calls the leader, wherever it is.
	Core *control.Client
	// Seeds lists addresses to fall back on when no known VM of the core answers.
	Seeds func() []string
	// Fatal ends the process: its state can't be trusted any more.
	Fatal func(error)
}

// Core is one VM of the core.
type Core struct {
	config  Config
	group   *replica.Group
	machine *systemstate.Machine
	driver  *batchrun.Driver
	fleet   *fleet
	// acquaintances are the members that this VM knew last.
	acquaintances *acquaintances
	// tables wakes those who wait for a new routing table, and results those who wait for
	// results of a job.
	tables   *signal.Signal
	results  *topics
	confirms *confirms
	metrics  *metrics
	// attending counts the gateways whose calls for news wait here.
	attending atomic.Int64
	// announcedAt is when this VM announced itself last, Unix time in milliseconds, and asked has
	// room for one: someone wants to know who leads.
	announcedAt atomic.Int64
	asked       chan struct{}

	identity string
	cancel   context.CancelFunc
	duties   sync.WaitGroup
}

// Open restores the VM's replica.
func Open(config Config) (*Core, error) {
	identity, err := replica.Identity(config.Folder)
	if err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	c := &Core{config: config, identity: identity, fleet: newFleet(), tables: signal.New(), results: newTopics(), asked: make(chan struct{}, 1), metrics: newMetrics(config.Registerer)}
	c.confirms = newConfirms(func(ctx context.Context) error { return c.group.Read(ctx) })
	c.acquaintances = recall(filepath.Join(config.Folder, "acquaintances"), config.Logger)
	config.Core.SetAddresses(c.acquaintances.withSeeds(config.Seeds()))
	folder := filepath.Join(config.Folder, "core")
	c.machine = systemstate.NewMachine(systemstate.MachineConfig{
		Folder: filepath.Join(folder, "state"), Fatal: config.Fatal, Notify: c.notify,
	})
	carries := carrier.New(carrier.Config{
		Source: config.Name, Gateways: c.fleet.carriers, Direct: config.Runners, HTTP: web.NewClient, Clock: config.Clock, Logger: config.Logger,
		Registerer: config.Registerer,
	})
	c.driver = batchrun.New(batchrun.Config{
		Machine: c.machine, Propose: c.propose, Client: carries.RunnerClient(), OnLag: carries.ReportLag, Exchange: config.Exchange,
		Runners: c.fleet.list, DataCentre: config.DataCentre, Clock: config.Clock, Logger: config.Logger,
		Metrics: batchrun.NewMetrics(config.Registerer),
	})
	var founders []replica.Peer
	for _, address := range config.FoundingMembers {
		founders = append(founders, replica.Peer{Name: address, Address: address, Voter: true})
	}
	c.group, err = replica.Open(replica.Config{
		Group: Group, Name: config.Address, Identity: identity, Address: config.Address, Folder: folder,
		Bootstrap: founders, Clock: config.Clock, Logger: config.Logger, Registerer: config.Registerer,
		HeartbeatInterval: heartbeat, ElectionTimeout: election,
		CheckpointBytes: checkpointBytes, RetainBytes: keepBytes, LogFileBytes: logFileBytes, RingSize: ringSize,
	}, replica.Machine{
		Apply: c.machine.Apply, Checkpoint: c.machine.Checkpoint, Load: c.machine.Load,
		Export: c.machine.Export, Import: c.machine.Import,
	})
	if err != nil {
		return nil, fmt.Errorf("replica: %w", err)
	}
	return c, nil
}

// ReplicaServer hands the calls of other VMs to the replica.
func (c *Core) ReplicaServer() *replica.Server {
	return replica.NewServer(map[uint32]*replica.Group{Group: c.group})
}

// Start begins the VM's duties.
func (c *Core) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.duty(func() { c.lead(ctx) })
	c.duty(func() { c.announce(ctx) })
	c.duty(func() {
		select {
		case <-c.group.Failed():
			c.config.Fatal(c.group.Err())
		case <-ctx.Done():
		}
	})
}

func (c *Core) duty(run func()) {
	c.duties.Add(1)
	go func() {
		defer c.duties.Done()
		run()
	}()
}

// Stop hands the leadership over and closes the replica.
func (c *Core) Stop(ctx context.Context) {
	if _, _, self := c.group.Leader(); self {
		if err := c.group.TransferLeadership(ctx); err != nil {
			level.Warn(c.config.Logger).Log(logs.KeyEvent, "handover-failed", logs.KeyError, err)
		}
	}
	c.cancel()
	c.duties.Wait()
	if err := c.group.Close(); err != nil {
		level.Error(c.config.Logger).Log(logs.KeyEvent, "close-failed", logs.KeyError, err)
	}
	c.machine.Close()
}

// DigestReceived tells that another daemon's load changed.
func (c *Core) DigestReceived(uint64) { c.driver.Wake() }

// Version is the routing table in force here.
func (c *Core) Version() uint64 {
	if t := c.inForce(); t != nil {
		return t.Version
	}
	return 0
}

// inForce is the routing table in force here, nil before the first.
func (c *Core) inForce() *routing.Table {
	var table *routing.Table
	c.machine.View(func(s *systemstate.State) { table = s.Table() })
	return table
}

// teamName is the team that holds a key, for a log line; empty if none does.
func (c *Core) teamName(key []byte) string {
	table := c.inForce()
	if table == nil {
		return ""
	}
	team, _ := table.TeamOf(key)
	return team.GetName()
}

// jobName is the name in the core of a caller's job; empty if there is no such job.
func (c *Core) jobName(key []byte, id string) string {
	name := ""
	c.machine.View(func(s *systemstate.State) {
		if j, _ := s.Find(key, id); j != nil {
			name = j.Name
		}
	})
	return name
}

func (c *Core) notify(change systemstate.Change) {
	c.driver.Notify(change)
	switch change.Kind {
	case systemstate.TableReplaced:
		c.tables.Fire()
	case systemstate.ItemListed, systemstate.JobEnded:
		c.results.fire(change.Job)
	case systemstate.Reloaded:
		c.tables.Fire()
		c.results.fireAll()
	default:
	}
}

// errAnswers tells that a command was logged by a program that counts otherwise.
var errAnswers = errors.New("the command gave no outcome")

// propose logs steps as one command and returns their outcomes.
func (c *Core) propose(ctx context.Context, steps ...*toucanhingev1.SystemStep) ([]any, error) {
	data, err := proto.Marshal(&toucanhingev1.SystemCommand{AtMs: int64(c.config.Clock.Now()), Steps: steps})
	if err != nil {
		return nil, fmt.Errorf("encode a command: %w", err)
	}
	result, err := c.group.Propose(ctx, data)
	if err != nil {
		return nil, fmt.Errorf("log a command: %w", err)
	}
	answers, ok := result.([]any)
	if !ok || len(answers) != len(steps) {
		return nil, errAnswers
	}
	return answers, nil
}

// proposeOne logs one step and returns its outcome.
func proposeOne[T any](ctx context.Context, c *Core, step *toucanhingev1.SystemStep) (T, error) {
	var zero T
	answers, err := c.propose(ctx, step)
	if err != nil {
		return zero, err
	}
	answer, ok := answers[0].(T)
	if !ok {
		return zero, errAnswers
	}
	return answer, nil
}

// confirm makes sure that this VM leads and sees all that was acknowledged.
func (c *Core) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTime)
	defer cancel()
	if err := c.confirms.join(ctx); err != nil {
		return fmt.Errorf("confirm a read: %w", err)
	}
	return nil
}

// confirmTime is how long a majority may take to confirm a read; callers turn to
// another VM after a second.
const confirmTime = 800 * time.Millisecond
