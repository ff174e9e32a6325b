// Package replica runs the replicas of consensus groups: it joins the machine of
// package consensus to the log on disk, to the other replicas over the network
// and to the state machine that the group drives.
package replica

import (
	"io"
	"math/rand/v2"
	"net/http"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/web"
	"toucanhinge.example/control/pkg/consensus"
	"toucanhinge.example/control/pkg/disk"
)

// Machine is the state machine that one group drives. All functions but Export
// are called from one goroutine.
type Machine struct {
	// Apply takes one committed command, in order, and returns its result. It
	// must depend on nothing but the state and the command.
	Apply func(index uint64, command []byte) any
	// Checkpoint makes durable what the machine keeps in files of its own and
	// returns a manifest from which Load restores the state as of the last Apply.
	// Files of the latest two manifests must stay.
	Checkpoint func() ([]byte, error)
	// Load restores the state as of the manifest when a replica starts; what
	// later commands added to files is cut. Without a checkpoint the manifest is
	// empty and stands for the empty state.
	Load func(manifest []byte) error
	// Export writes the whole state for a peer: the manifest and its files. It
	// runs beside Apply, never beside Checkpoint.
	Export func(manifest []byte, w io.Writer) error
	// Import replaces the state by a peer's export. It is durable when it
	// returns; after an error the old state holds.
	Import func(r io.Reader) (manifest []byte, err error)
}

// Peer is a replica of a group. Identity is the one of its data folder; it stays
// empty in Bootstrap, where it isn't known yet.
type Peer struct {
	Name     string
	Address  string
	Identity string
	Voter    bool
}

// Config sets up one group.
type Config struct {
	Group uint32
	// Name and Identity are this replica's; Identity is what the function of
	// that name returned for the data folder.
	Name     string
	Identity string
	// Address is where the others reach this replica. Empty takes the one that
	// Bootstrap gives under the own name.
	Address string
	// Folder is the group's own, below the data folder.
	Folder string
	// Bootstrap are the members of a new group, this one among them. It is looked
	// at for a group without any entries only, and for addresses.
	Bootstrap []Peer

	// Clock must be set.
	Clock      clock.Clock
	Logger     log.Logger
	Registerer prometheus.Registerer

	HeartbeatInterval  clock.Millis
	ElectionTimeout clock.Millis
	// CheckpointEntries and CheckpointBytes say after how much a checkpoint is
	// due, whichever is reached first.
	CheckpointEntries uint64
	CheckpointBytes   int
	// RetainEntries, at most KeepBytes of them, stay in the log and in memory behind
	// a checkpoint for members that lag.
	RetainEntries uint64
	RetainBytes   int
	// RingSize bounds the messages that wait to be taken in, and to be sent to one
	// peer. A ring holds its memory all the time, about 200 bytes a place.
	RingSize int
	// LogFileBytes is the size after which the log begins a new file.
	LogFileBytes int64

	// Client makes the HTTP client for one peer; nil means HTTP/2 without TLS.
	Client func() *http.Client
	// Jitter returns a number from 0 to below n; nil means a random one.
	Jitter func(n clock.Millis) clock.Millis
	// Disk holds the seams of the log; its folder is set by Open.
	Disk disk.Config
}

const (
	defaultHeartbeat         = 100
	defaultElection          = 400
	defaultCheckpointEntries = 50_000
	defaultCheckpointBytes   = 64 << 20
	defaultKeepEntries       = 5_000
	defaultKeepBytes         = 8 << 20
	defaultRingSize          = 4096
	// maximumBacklog bounds the committed entries that wait to be applied.
	maximumBacklog = 20_000
)

func (c Config) withDefaults() Config {
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = defaultHeartbeat
	}
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = defaultElection
	}
	if c.CheckpointEntries == 0 {
		c.CheckpointEntries = defaultCheckpointEntries
	}
	if c.CheckpointBytes == 0 {
		c.CheckpointBytes = defaultCheckpointBytes
	}
	if c.RetainEntries == 0 {
		c.RetainEntries = defaultKeepEntries
	}
	if c.RetainBytes == 0 {
		c.RetainBytes = defaultKeepBytes
	}
	if c.RingSize == 0 {
		c.RingSize = defaultRingSize
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Registerer == nil {
		c.Registerer = prometheus.NewRegistry()
	}
	if c.Client == nil {
		c.Client = web.NewClient
	}
	if c.Jitter == nil {
		c.Jitter = func(n clock.Millis) clock.Millis { return clock.Millis(rand.Int64N(int64(n))) }
	}
	for _, p := range c.Bootstrap {
		if p.Name == c.Name && c.Address == "" {
			c.Address = p.Address
		}
	}
	return c
}

func (c Config) settings() consensus.Members {
	var members consensus.Members
	for _, p := range c.Bootstrap {
		members = append(members, consensus.Member{Name: p.Name, Address: p.Address, Voter: p.Voter})
	}
	return members
}
