package consensus

// EntryKind is the type of a log entry.
type EntryKind uint32

const (
	// EntryCommand is a command for the replicated state machine.
	EntryCommand EntryKind = iota + 1
	// EntryEmpty has no payload. A new leader appends one, so that an entry of its own
	// term can be committed.
	EntryEmpty
	// EntryMembers contains a complete membership. It takes effect as soon as it is in
	// the log.
	EntryMembers
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// decodable reports whether the machine can decode the entry.
func (e Entry) decodable() bool {
	if e.Kind != EntryMembers {
		return true
	}
	_, err := DecodeMembers(e.Data)
	return err == nil
}
