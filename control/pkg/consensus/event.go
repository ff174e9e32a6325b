package consensus

// Event is one of the types below.
type Event interface{ isEvent() }

// Tick lets time pass. It is due a few times for each heartbeat.
type Tick struct{}

// Received hands over a message of another replica.
type Received struct{ Message Message }

// Proposal is a command with the caller's handle for the outcome.
type Proposal struct {
	ID   uint64
	Data []byte
}

// Propose asks for commands to be appended, in this order. They travel and sync
// together.
type Propose struct{ Proposals []Proposal }

// ReadIndex asks for a read point that a majority confirms.
type ReadIndex struct{ ID uint64 }

// Synced tells that the Persist of this sequence, and all before, are durable.
type Synced struct{ Sequence uint64 }

// TransferLeadership asks the leader to give its place to the most advanced voter.
type TransferLeadership struct{ ID uint64 }

// ChangeKind is the kind of a membership change.
type ChangeKind uint32

const (
	// AddLearner adds a member that receives the log and doesn't vote.
	AddLearner ChangeKind = iota + 1
	// Promote makes a learner that holds all that is committed a voter.
	Promote
	// Remove takes a member out.
	Remove
)

// ChangeMembers asks for one change of the membership. Promote and Remove look
// at the name only.
type ChangeMembers struct {
	ID     uint64
	Kind   ChangeKind
	Member Member
}

// SnapshotSent tells the leader how an InstallSnapshot action ended. Index is
// the last entry that the state covers.
type SnapshotSent struct {
	Name      string
	Identity  string
	Index     uint64
	Installed bool
}

// SnapshotInstalled tells that the state of a peer, up to and with Index, is
// durable and applied here. Only committed entries are ever in such a state, so
// it holds whoever sent it.
type SnapshotInstalled struct {
	Index   uint64
	Term    uint64
	Members Members
}

// FormGroup gives a replica that holds nothing the first entry of a new group. All
// members write the same one, so it counts as committed.
type FormGroup struct{ Members Members }

// Compact lets the machine drop entries up to and with Index: a durable
// checkpoint covers them. It keeps the last KeepEntries of them as long as they
// are at most KeepBytes, and some more that a live member still lacks.
type Compact struct {
	Index       uint64
	RetainEntries uint64
	RetainBytes   int
}

func (Tick) isEvent()              {}
func (Received) isEvent()          {}
func (Propose) isEvent()           {}
func (ReadIndex) isEvent()         {}
func (Synced) isEvent()            {}
func (TransferLeadership) isEvent()          {}
func (ChangeMembers) isEvent()     {}
func (SnapshotSent) isEvent()      {}
func (SnapshotInstalled) isEvent() {}
func (FormGroup) isEvent()              {}
func (Compact) isEvent()           {}
