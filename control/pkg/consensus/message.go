package consensus

// Kind is the kind of a message between replicas. The numbers go over the wire:
// never renumber.
type Kind uint32

const (
	// KindPreVote asks whether a vote would be given in Term, which the asker
	// hasn't entered yet.
	KindPreVote Kind = iota + 1
	// KindPreVoteResponse answers it: granted with the asked term, or rejected
	// with the answerer's own.
	KindPreVoteResponse
	// KindVote asks for a vote in Term.
	KindVote
	// KindTransferVote is KindVote of a replica that the leader itself told to
	// campaign, so the leader's recent contact is no reason to refuse.
	KindTransferVote
	// KindVoteResponse answers either.
	KindVoteResponse
	// KindAppend carries entries that follow entry Index of LogTerm.
	KindAppend
	// KindAppendResponse says that the log is synced up to Index, or rejects what
	// followed Index and hints at the last entry that may match.
	KindAppendResponse
	// KindHeartbeat keeps contact, carries the read round and the commit point,
	// and lets a lost append be noticed.
	KindHeartbeat
	// KindHeartbeatResponse echoes the read round. It promises nothing about syncs.
	KindHeartbeatResponse
	// KindCampaign tells a voter that holds the whole log to campaign at once.
	KindCampaign
	// KindHello carries the identities that a replica of a new group has seen.
	KindHello
)

// Message goes from one replica to another. Both ends are named with the
// identity of their data folder, as the sender knows it.
type Message struct {
	Kind         Kind
	From         string
	FromIdentity string
	To           string
	ToIdentity   string
	Term         uint64
	Index        uint64
	LogTerm      uint64
	Commit       uint64
	Read         uint64
	Reject       bool
	Hint         uint64
	Entries      []Entry
}

// isAnswer tells the messages that count towards a majority.
func (m Message) isAnswer() bool {
	switch m.Kind {
	case KindPreVoteResponse, KindVoteResponse, KindAppendResponse, KindHeartbeatResponse:
		return true
	default:
		return false
	}
}

// wellFormed says whether a replica of this version could have sent the message.
// What is handled after this check can't bring the machine out of step with
// itself, whatever a broken peer sends.
func (m Message) wellFormed() bool {
	if m.Kind < KindPreVote || m.Kind > KindCampaign {
		return false
	}
	term := m.LogTerm
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 || e.Term < term || e.Term > m.Term {
			return false
		}
		if !e.readable() {
			return false
		}
		term = e.Term
	}
	return true
}
