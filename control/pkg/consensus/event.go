package consensus

// Event is an input of Machine.Step, one of the types below.
type Event interface{ isEvent() }

// Tick advances the time. It is expected several times per heartbeat interval.
type Tick struct{}

// Received contains a message from another replica.
type Received struct{ Message Message }

// Proposal is a command with the caller's ID for its outcome.
type Proposal struct {
	ID   uint64
	Data []byte
}

// Propose appends commands in this order. They are sent and synced together.
type Propose struct{ Proposals []Proposal }

// ReadIndex requests a read index that a majority confirms.
type ReadIndex struct{ ID uint64 }

// Synced reports that the Persist with this sequence number and all earlier ones are
// durable.
type Synced struct{ Sequence uint64 }

// TransferLeadership makes the leader transfer its leadership to the voter with the most
// complete log.
type TransferLeadership struct{ ID uint64 }

// ChangeKind is the kind of a membership change.
type ChangeKind uint32

const (
	// AddLearner adds a member that receives the log and doesn't vote.
	AddLearner ChangeKind = iota + 1
	// Promote makes a learner that has all committed entries a voter.
	Promote
	// Remove removes a member.
	Remove
)

// ChangeMembers requests one change of the membership. Promote and Remove use only the
// name of the member.
type ChangeMembers struct {
	ID     uint64
	Kind   ChangeKind
	Member Member
}

// SnapshotSent reports the result of an InstallSnapshot action to the leader. Index is
// the last entry that the snapshot covers.
type SnapshotSent struct {
	Name      string
	Identity  string
	Index     uint64
	Installed bool
}

// SnapshotInstalled reports that the snapshot of a peer, which covers all entries up to
// and including Index, is durable and applied on this replica. A snapshot contains only
// committed entries, so it is valid whichever replica sent it.
type SnapshotInstalled struct {
	Index   uint64
	Term    uint64
	Members Members
}

// FormGroup gives a replica with an empty log the first entry of a new group. All members
// write the same entry, so it counts as committed.
type FormGroup struct{ Members Members }

// Compact allows the machine to drop the entries up to and including Index, which a
// durable checkpoint covers. The machine retains the last RetainEntries of them as long as
// they have at most RetainBytes, and some more that a live member still lacks.
type Compact struct {
	Index         uint64
	RetainEntries uint64
	RetainBytes   int
}

func (Tick) isEvent()               {}
func (Received) isEvent()           {}
func (Propose) isEvent()            {}
func (ReadIndex) isEvent()          {}
func (Synced) isEvent()             {}
func (TransferLeadership) isEvent() {}
func (ChangeMembers) isEvent()      {}
func (SnapshotSent) isEvent()       {}
func (SnapshotInstalled) isEvent()  {}
func (FormGroup) isEvent()          {}
func (Compact) isEvent()            {}
