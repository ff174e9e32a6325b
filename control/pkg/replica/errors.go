package replica

import (
	"fmt"

	"github.com/pkg/errors"

	"toucanhinge.example/control/pkg/consensus"
)

var (
	// ErrOverloaded means that too many commands are already waiting. The command was not
	// proposed.
	ErrOverloaded = errors.New("too much waits to be committed")
	// ErrUnknown means that the command may or may not be committed later.
	ErrUnknown = errors.New("it isn't known whether the command will be committed")
	// ErrStopped means that the replica was closed or its disk failed. The command was
	// not proposed.
	ErrStopped = errors.New("the replica has stopped")
)

// NotLeaderError means that this replica isn't the leader and didn't propose the command.
// Leader and Address are empty while no leader is known.
type NotLeaderError struct {
	Leader  string
	Address string
}

func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader, and no leader is known"
	}
	return fmt.Sprintf("not the leader, that is %s at %s", e.Leader, e.Address)
}

// RefusedError is why a leadership transfer or a membership change had no effect.
type RefusedError struct {
	Reason consensus.Reason
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s", e.Reason)
}
