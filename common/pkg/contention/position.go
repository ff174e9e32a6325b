package contention

import "toucanhinge.example/common/pkg/clock"

// sender identifies a sequence of updates. A relay sends its own report and that of its data centre
// as two sequences, and several daemons may be the relay of a data centre in turn.
type sender struct{ source, dataCentre string }

// position is the last update of a sender that was applied.
type position struct {
	epoch, sequence uint64
}

func (p position) before(other position) bool {
	return p.epoch < other.epoch || p.epoch == other.epoch && p.sequence < other.sequence
}

// seen is the position of a sender and when its last report arrived.
type seen struct {
	position
	at clock.Millis
}
