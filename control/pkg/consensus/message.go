package consensus

// Kind is the type of a message between replicas. The numbers are part of the wire
// protocol: never renumber them.
type Kind uint32

const (
	// KindPreVote queries whether the receiver would vote for the sender in Term, which
	// the sender hasn't entered yet.
	KindPreVote Kind = iota + 1
	// KindPreVoteResponse answers KindPreVote: granted with the requested term, or
	// rejected with the term of the responding replica.
	KindPreVoteResponse
	// KindVote requests a vote in Term.
	KindVote
	// KindTransferVote is the KindVote of a replica that campaigns at the leader's
	// request. Recent contact with the leader is then no reason to refuse the vote.
	KindTransferVote
	// KindVoteResponse answers KindVote and KindTransferVote.
	KindVoteResponse
	// KindAppend carries the entries after the entry at Index, whose term is LogTerm.
	KindAppend
	// KindAppendResponse confirms that the log is synced up to Index, or rejects the
	// entries after Index. Hint is then the last entry that may match.
	KindAppendResponse
	// KindHeartbeat maintains contact, carries the read round and the commit index, and
	// reveals a lost append.
	KindHeartbeat
	// KindHeartbeatResponse echoes the read round. It confirms no synced entries.
	KindHeartbeatResponse
	// KindCampaign makes a voter that has the whole log campaign at once.
	KindCampaign
	// KindHello carries the identities that a replica of a new group has pinned.
	KindHello
)

// Message is sent from one replica to another. Sender and receiver are each identified by
// their name and the identity of their data folder, as the sender knows it.
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

// isResponse reports whether the message can count towards a majority.
func (m Message) isResponse() bool {
	switch m.Kind {
	case KindPreVoteResponse, KindVoteResponse, KindAppendResponse, KindHeartbeatResponse:
		return true
	default:
		return false
	}
}

// wellFormed reports whether a replica of this version could have sent the message. A
// message that passes this check can't make the state of the machine inconsistent,
// whatever a faulty peer sends.
func (m Message) wellFormed() bool {
	if m.Kind < KindPreVote || m.Kind > KindCampaign {
		return false
	}
	term := m.LogTerm
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 || e.Term < term || e.Term > m.Term {
			return false
		}
		if !e.decodable() {
			return false
		}
		term = e.Term
	}
	return true
}
