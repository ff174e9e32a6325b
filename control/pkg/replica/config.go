// Package replica runs the replicas of consensus groups. It connects the state machine of
// package consensus to the log on disk, to the other replicas over the network and to the
// state machine that the group replicates.
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

// Machine is the state machine that a group replicates. All functions except Export are
// called from one goroutine.
type Machine struct {
	// Apply executes one committed command, in order, and returns its result. It must
	// depend only on the state and the command.
	Apply func(index uint64, command []byte) any
	// Checkpoint makes the machine's own files durable and returns a manifest from which
	// Load restores the state as of the last Apply. The files of the latest two manifests
	// must be retained.
	Checkpoint func() ([]byte, error)
	// Load restores the state as of the manifest when a replica starts. It removes from
	// the files what later commands added. Without a checkpoint the manifest is empty and
	// means the empty state.
	Load func(manifest []byte) error
	// Export writes the whole state for a peer: the manifest and its files. It runs
	// concurrently with Apply, but never with Checkpoint.
	Export func(manifest []byte, w io.Writer) error
	// Import replaces the state with the export of a peer. The new state is durable when
	// Import returns; after an error the old state remains.
	Import func(r io.Reader) (manifest []byte, err error)
}

// Peer is a replica of a group. Identity is the identity of its data folder. In Bootstrap it is empty unless it is
// known in advance.
type Peer struct {
	Name     string
	Address  string
	Identity string
	Voter    bool
}

// Config configures one group.
type Config struct {
	Group uint32
	// Name and Identity are those of this replica. Identity is the result of the function
	// Identity for the data folder.
	Name     string
	Identity string
	// Address is the address at which the other replicas reach this replica. If it is
	// empty, the address in Bootstrap under this replica's name is used.
	Address string
	// Folder is the folder of the group, below the data folder.
	Folder string
	// Bootstrap lists the members of a new group, including this replica. It is used to form
	// a group without any entries, and as the fallback for the addresses of members.
	Bootstrap []Peer

	// Clock is required.
	Clock      clock.Clock
	Logger     log.Logger
	Registerer prometheus.Registerer

	HeartbeatInterval clock.Millis
	ElectionTimeout   clock.Millis
	// CheckpointEntries and CheckpointBytes are the number and size of applied entries
	// after which a checkpoint is taken, whichever is reached first.
	CheckpointEntries uint64
	CheckpointBytes   int
	// RetainEntries is the number of entries, limited to RetainBytes, that remain in the log
	// and in memory after a checkpoint has covered them, for members that lag.
	RetainEntries uint64
	RetainBytes   int
	// MaxUncommittedBytes limits the size of the entries that wait to be committed; 0 means 64 MiB.
	MaxUncommittedBytes int
	// RingSize limits the messages that wait to be handled, and the messages that wait to
	// be sent to one peer. A ring always occupies its full memory, about 200 bytes per
	// element.
	RingSize int
	// LogFileBytes is the size after which the log starts a new file.
	LogFileBytes int64

	// Client creates the HTTP client for one peer; nil means HTTP/2 without TLS.
	Client func() *http.Client
	// Jitter returns a number in [0, n); nil means a random one.
	Jitter func(n clock.Millis) clock.Millis
	// Disk contains hooks of the log for tests. Open sets its folder and file size.
	Disk disk.Config
}

const (
	defaultHeartbeat         = 100
	defaultElection          = 400
	defaultCheckpointEntries = 50_000
	defaultCheckpointBytes   = 64 << 20
	defaultRetainEntries     = 5_000
	defaultRetainBytes       = 8 << 20
	defaultRingSize          = 4096
	// maxApplyBacklog limits the committed entries that wait to be applied.
	maxApplyBacklog = 20_000
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
		c.RetainEntries = defaultRetainEntries
	}
	if c.RetainBytes == 0 {
		c.RetainBytes = defaultRetainBytes
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

func (c Config) bootstrapMembers() consensus.Members {
	var members consensus.Members
	for _, p := range c.Bootstrap {
		members = append(members, consensus.Member{Name: p.Name, Address: p.Address, Identity: p.Identity, Voter: p.Voter})
	}
	return members
}
