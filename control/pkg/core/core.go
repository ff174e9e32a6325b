// Package core implements a control VM, a member of the core. It holds a replica of the
// routing table and the batch jobs and, as the leader, serves the requests of gateways and
// operators.
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
	"toucanhinge.example/control/pkg/callproxy"
	"toucanhinge.example/control/pkg/replica"
	"toucanhinge.example/control/pkg/systemstate"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Group is the ID of the core's consensus group.
const Group = 0

const (
	// checkpointBytes bounds the part of the log that is kept in memory and replayed after a
	// restart. A control VM has about 150 MB of memory in total.
	checkpointBytes = 1 << 20
	retainBytes     = 256 << 10
	logFileBytes    = 4 << 20
	// uncommittedRatio and runningBodiesRatio are the parts of the process's memory that the entries which wait for a majority
	// may have, and the bodies of the items that run. Each is held several times: in the log and in messages.
	uncommittedRatio   = 1.0 / 16
	runningBodiesRatio = 1.0 / 16
	// ringSize is sufficient for some hundred steps in flight. With 4,096 entries the rings
	// of a VM with two peers took 2.5 MB.
	ringSize = 512
	// heartbeatInterval and electionTimeout determine how soon a lost leader is replaced,
	// which jobs and operators wait for. Control VMs are a millisecond apart, and even one
	// that runs eight times slower replies within 50 ms, so three missed heartbeats indicate
	// a lost leader.
	heartbeatInterval clock.Millis = 75
	electionTimeout   clock.Millis = 300
)

// Config configures a control VM.
type Config struct {
	// Name is the name of the VM. Address is the IP:port at which other daemons reach it,
	// and its member name in the group.
	Name       string
	Address    string
	DataCentre string
	Folder     string
	// FoundingMembers are the addresses of the VMs that form the group when the system
	// starts for the first time; empty at every other start.
	FoundingMembers []string
	// ToleratedLosses is the number of VMs whose simultaneous loss the group tolerates.
	ToleratedLosses int
	// DrainNoticeLimit is how long requests may still be sent to a runner after the directory
	// shows that it is draining; 0 if unknown.
	DrainNoticeLimit clock.Millis
	// MemoryLimit is the memory that the process may use, in bytes; 0 if unknown.
	MemoryLimit int64
	// DiskLimit is the size of the disk, in bytes; 0 if unknown.
	DiskLimit int64

	Clock      clock.Clock
	Logger     log.Logger
	Registerer prometheus.Registerer
	Exchange   *digest.Exchange
	// Quota counts the team requests that gateways report, by the boot clock, as initial
	// usage for gateways that start; nil if team requests aren't limited.
	Quota   *quota.Counter
	Boot    clock.Clock
	Runners runner.Client
	// Directory lists all running instances.
	Directory func(context.Context) ([]*toucanhingev1.Runner, error)
	// Core finds and calls the leader.
	Core *control.Client
	// Seeds returns the fallback addresses for when no known control VM replies.
	Seeds func() []string
	// Fatal ends the process after an error that leaves its state inconsistent.
	Fatal func(error)
}

// Core is a control VM.
type Core struct {
	config  Config
	group   *replica.Group
	machine *systemstate.Machine
	driver  *batchrun.Driver
	fleet   *fleet
	// knownMembers are the last known members, stored on disk.
	knownMembers *knownMembers
	// tables wakes calls that wait for a new routing table, and results wakes calls that wait
	// for results of a job.
	tables        *signal.Signal
	results       *topics
	readConfirmer *readConfirmer
	callMemory    *callMemory
	// expiredDeletedAt is the time at which expired jobs were last deleted because the storage was full, 0 for never.
	expiredDeletedAt atomic.Int64
	metrics          *metrics
	// subscribers counts the gateways whose Attend calls are being served.
	subscribers atomic.Int64
	// announcedAt is the time of this VM's last announcement, as Unix time in milliseconds.
	// announceNow requests an immediate announcement; it buffers one request.
	announcedAt atomic.Int64
	announceNow chan struct{}

	identity string
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
}

// Open creates the VM and restores its replica from disk.
func Open(config Config) (*Core, error) {
	initial := ""
	if len(config.FoundingMembers) > 0 {
		initial = replica.FoundingIdentity(config.Address)
	}
	identity, err := replica.Identity(config.Folder, initial)
	if err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	c := &Core{config: config, identity: identity, fleet: newFleet(), tables: signal.New(), results: newTopics(), announceNow: make(chan struct{}, 1), metrics: newMetrics(config.Registerer)}
	c.callMemory = &callMemory{limit: int64(callMemoryRatio * float64(config.MemoryLimit)), refused: c.metrics.callsWithoutMemory}
	c.readConfirmer = newReadConfirmer(func(ctx context.Context) error { return c.group.Read(ctx) })
	c.knownMembers = loadKnownMembers(filepath.Join(config.Folder, "acquaintances"), config.Logger)
	config.Core.SetAddresses(c.knownMembers.withSeeds(config.Seeds()))
	folder := filepath.Join(config.Folder, "core")
	c.machine = systemstate.NewMachine(systemstate.MachineConfig{
		Folder: filepath.Join(folder, "state"), Fatal: config.Fatal, Notify: c.notify,
	})
	proxy := callproxy.New(callproxy.Config{
		Source: config.Name, Gateways: c.fleet.proxyGateways, Direct: config.Runners, HTTP: web.NewClient, Clock: config.Clock, Logger: config.Logger,
		Registerer: config.Registerer,
	})
	c.driver = batchrun.New(batchrun.Config{
		Machine: c.machine, Propose: c.propose, Client: proxy.RunnerClient(), OnLag: proxy.ReportLag, Exchange: config.Exchange,
		Runners: c.fleet.currentRunners, DataCentre: config.DataCentre, Clock: config.Clock, Logger: config.Logger,
		Metrics: batchrun.NewMetrics(config.Registerer), Pace: config.Exchange.Pace, Weights: c.teamWeights,
		MaxBodyBytes: int64(runningBodiesRatio * float64(config.MemoryLimit)),
	})
	var foundingMembers []replica.Peer
	for _, address := range config.FoundingMembers {
		foundingMembers = append(foundingMembers, replica.Peer{Name: address, Address: address, Identity: replica.FoundingIdentity(address), Voter: true})
	}
	c.group, err = replica.Open(replica.Config{
		Group: Group, Name: config.Address, Identity: identity, Address: config.Address, Folder: folder,
		Bootstrap: foundingMembers, Clock: config.Clock, Logger: config.Logger, Registerer: config.Registerer,
		HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout,
		CheckpointBytes: checkpointBytes, RetainBytes: retainBytes, LogFileBytes: logFileBytes, RingSize: ringSize,
		MaxUncommittedBytes: int(uncommittedRatio * float64(config.MemoryLimit)),
	}, replica.Machine{
		Apply: c.machine.Apply, Checkpoint: c.machine.Checkpoint, Load: c.machine.Load,
		Export: c.machine.Export, Import: c.machine.Import,
	})
	if err != nil {
		return nil, fmt.Errorf("replica: %w", err)
	}
	return c, nil
}

// ReplicaServer returns the server for the other members' calls to this replica.
func (c *Core) ReplicaServer() *replica.Server {
	return replica.NewServer(map[uint32]*replica.Group{Group: c.group})
}

// Start starts the VM's background tasks.
func (c *Core) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.startTask(func() { c.lead(ctx) })
	c.startTask(func() { c.announce(ctx) })
	c.startTask(func() {
		select {
		case <-c.group.Failed():
			c.config.Fatal(c.group.Err())
		case <-ctx.Done():
		}
	})
}

// startTask runs a function in the background; Stop waits for its end.
func (c *Core) startTask(run func()) {
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		run()
	}()
}

// Stop transfers the leadership, stops the background tasks and closes the replica.
func (c *Core) Stop(ctx context.Context) {
	if _, _, leads := c.group.Leader(); leads {
		if err := c.group.TransferLeadership(ctx); err != nil {
			level.Warn(c.config.Logger).Log(logs.KeyEvent, "handover-failed", logs.KeyError, err)
		}
	}
	c.cancel()
	c.tasks.Wait()
	if err := c.group.Close(); err != nil {
		level.Error(c.config.Logger).Log(logs.KeyEvent, "close-failed", logs.KeyError, err)
	}
	c.machine.Close()
}

// teamWeights returns the weights of the teams in the routing table, nil if no team has one.
func (c *Core) teamWeights() func(team string) float64 {
	var weights func(team string) float64
	c.machine.View(func(s *systemstate.State) {
		if t := s.Table(); t != nil && t.Weighted() {
			weights = t.Weight
		}
	})
	return weights
}

// DigestReceived has to be called when a load digest of another daemon was received.
func (c *Core) DigestReceived(uint64) { c.driver.Wake() }

// Version returns the version of the active routing table, 0 if there is none.
func (c *Core) Version() uint64 {
	if t := c.activeTable(); t != nil {
		return t.Version
	}
	return 0
}

// HealthPath returns the path at which the runners of a service tell whether they are healthy, empty if unknown.
func (c *Core) HealthPath(service string) string {
	if t := c.activeTable(); t != nil {
		return t.HealthPath(service)
	}
	return ""
}

// activeTable returns the active routing table, nil if there is none.
func (c *Core) activeTable() *routing.Table {
	var table *routing.Table
	c.machine.View(func(s *systemstate.State) { table = s.Table() })
	return table
}

// teamName returns the name of the team that owns a key, for log lines; empty if there is none.
func (c *Core) teamName(key []byte) string {
	table := c.activeTable()
	if table == nil {
		return ""
	}
	team, _ := table.TeamOf(key)
	return team.GetName()
}

// jobName returns the core's name of a caller's job; empty if the job isn't found.
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

// errUnexpectedOutcomes means that a command didn't return one outcome of the expected type for
// each step, for example because another program version applied it.
var errUnexpectedOutcomes = errors.New("the command gave no outcome")

// propose logs steps as one command and returns one outcome per step.
func (c *Core) propose(ctx context.Context, steps ...*toucanhingev1.SystemStep) ([]any, error) {
	data, err := proto.Marshal(&toucanhingev1.SystemCommand{AtMs: int64(c.config.Clock.Now()), Steps: steps})
	if err != nil {
		return nil, fmt.Errorf("encode a command: %w", err)
	}
	result, err := c.group.Propose(ctx, data)
	if err != nil {
		return nil, fmt.Errorf("log a command: %w", err)
	}
	outcomes, ok := result.([]any)
	if !ok || len(outcomes) != len(steps) {
		return nil, errUnexpectedOutcomes
	}
	return outcomes, nil
}

// proposeOne logs one step and returns its outcome.
func proposeOne[T any](ctx context.Context, c *Core, step *toucanhingev1.SystemStep) (T, error) {
	var zero T
	outcomes, err := c.propose(ctx, step)
	if err != nil {
		return zero, err
	}
	outcome, ok := outcomes[0].(T)
	if !ok {
		return zero, errUnexpectedOutcomes
	}
	return outcome, nil
}

// confirmRead confirms with a majority that this VM still leads, so that a read that follows
// sees all acknowledged writes.
func (c *Core) confirmRead(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := c.readConfirmer.join(ctx); err != nil {
		return fmt.Errorf("confirm a read: %w", err)
	}
	return nil
}

// confirmTimeout bounds the confirmation of a read by a majority. It is below the second after
// which callers try another VM.
const confirmTimeout = 800 * time.Millisecond
