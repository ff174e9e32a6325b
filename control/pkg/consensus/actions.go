package consensus

// HardState is what a replica must remember over a restart beside its log.
// Vote is the identity of the candidate that got this term's vote: a name would
// let a candidate that lost its disk ask twice.
type HardState struct {
	Term uint64
	Vote string
}

// Base is the entry just before the first one of a log.
type Base struct {
	Index uint64
	Term  uint64
}

// Persist is to be written and synced, in the order of Sequence, and answered by
// Synced. Entries replace whatever the log holds from the first one's index on.
// With Reset the whole log goes first and starts anew after that base.
type Persist struct {
	Sequence uint64
	State    HardState
	Reset    *Base
	Entries  []Entry
}

// Reason tells why something was refused. What is refused wasn't appended.
type Reason string

const (
	// ReasonNotLeader is also given while a handover is under way.
	ReasonNotLeader Reason = "not_leader"
	// ReasonOverloaded tells that too much waits to be committed.
	ReasonOverloaded Reason = "overloaded"
	// ReasonChangePending tells that an earlier change isn't committed, or that
	// the leader has committed nothing in its own term yet.
	ReasonChangePending Reason = "change_pending"
	// ReasonLearnerBehind tells that the learner lacks committed entries.
	ReasonLearnerBehind Reason = "learner_behind"
	// ReasonMemberExists tells that the name is taken.
	ReasonMemberExists Reason = "member_exists"
	// ReasonMemberUnknown tells that no such member, or learner, exists.
	ReasonMemberUnknown Reason = "member_unknown"
	// ReasonIsLeader tells that the leader can't be removed before a handover.
	ReasonIsLeader Reason = "is_leader"
	// ReasonNoTarget tells that no other voter could take over.
	ReasonNoTarget Reason = "no_target"
)

// Refused answers the event of this ID: it had no effect.
type Refused struct {
	ID     uint64
	Reason Reason
}

// LeadershipTransferred tells that the leader gave up its place after the target of this
// Handover had been told to campaign.
type LeadershipTransferred struct{ ID uint64 }

// Accepted tells where the proposal or change of this ID stands in the log. It
// is committed if the entry at Index is delivered with this Term.
type Accepted struct {
	ID    uint64
	Index uint64
	Term  uint64
}

// ReadConfirmed tells that a read that sees all entries up to Index is current.
type ReadConfirmed struct {
	ID    uint64
	Index uint64
}

// InstallSnapshot asks for the latest checkpoint to be sent to a member whose
// next entries are no longer in the log. SnapshotSent answers.
type InstallSnapshot struct{ To Member }

// Actions is what one Step asks for. Messages may be sent at once: what depends
// on a sync is held back in the machine until Synced.
type Actions struct {
	Persist   *Persist
	Messages  []Message
	Committed []Entry
	Accepted  []Accepted
	Refused   []Refused
	Reads     []ReadConfirmed
	Transferred    []LeadershipTransferred
	Snapshots []InstallSnapshot
	// DropBefore, if not 0, lets files go whose entries are all at or below it.
	DropBefore uint64
}
