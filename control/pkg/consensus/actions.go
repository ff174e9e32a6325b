package consensus

// HardState is the state that a replica must persist in addition to its log. Vote is the
// identity of the candidate that received the vote of this term: with a name, a candidate
// that lost its disk could request a second vote.
type HardState struct {
	Term uint64
	Vote string
}

// Base is the entry just before the first one of a log.
type Base struct {
	Index uint64
	Term  uint64
}

// Persist must be written and synced in the order of Sequence, and be confirmed by
// Synced. Entries replace the entries of the log from the first one's index on. If Reset
// is set, the whole log is removed first and starts again after that base.
type Persist struct {
	Sequence uint64
	State    HardState
	Reset    *Base
	Entries  []Entry
}

// Reason is why an event was refused. A refused proposal or change wasn't appended.
type Reason string

const (
	// ReasonNotLeader also applies while a leadership transfer is in progress.
	ReasonNotLeader Reason = "not_leader"
	// ReasonOverloaded means that too many bytes wait to be committed.
	ReasonOverloaded Reason = "overloaded"
	// ReasonChangePending means that an earlier change isn't committed, or that the
	// leader hasn't committed an entry of its own term yet.
	ReasonChangePending Reason = "change_pending"
	// ReasonLearnerLagging means that the learner lacks committed entries.
	ReasonLearnerLagging Reason = "learner_behind"
	// ReasonMemberExists means that the name is already in use.
	ReasonMemberExists Reason = "member_exists"
	// ReasonMemberUnknown means that no such member, or no such learner, exists.
	ReasonMemberUnknown Reason = "member_unknown"
	// ReasonIsLeader means that the leader can't be removed before a leadership transfer.
	ReasonIsLeader Reason = "is_leader"
	// ReasonNoLiveMajority means that the voters after the change that are in contact aren't a majority.
	ReasonNoLiveMajority Reason = "no_live_majority"
	// ReasonNoTarget means that no other voter became the leader.
	ReasonNoTarget Reason = "no_target"
)

// Refused reports that the event with this ID was refused and had no effect.
type Refused struct {
	ID     uint64
	Reason Reason
}

// LeadershipTransferred reports that the leader stepped down after it had sent
// KindCampaign to the target of the TransferLeadership with this ID.
type LeadershipTransferred struct{ ID uint64 }

// Accepted is the position in the log of the proposal or change with this ID. The command
// is committed if the entry at Index is delivered with this Term.
type Accepted struct {
	ID    uint64
	Index uint64
	Term  uint64
}

// ReadConfirmed reports that a read that reflects all entries up to Index is current.
type ReadConfirmed struct {
	ID    uint64
	Index uint64
}

// InstallSnapshot requests that the latest checkpoint be sent to a member whose next
// entries are no longer in the log. SnapshotSent reports the result.
type InstallSnapshot struct{ To Member }

// Actions is the output of one Step. Messages may be sent at once: the machine withholds
// a message that depends on a sync until it receives Synced.
type Actions struct {
	Persist     *Persist
	Messages    []Message
	Committed   []Entry
	Accepted    []Accepted
	Refused     []Refused
	Reads       []ReadConfirmed
	Transferred []LeadershipTransferred
	Snapshots   []InstallSnapshot
	// DropBefore, if not 0, allows the removal of log files whose entries all are at or
	// below this index.
	DropBefore uint64
}
