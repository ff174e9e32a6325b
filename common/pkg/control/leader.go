// Package control is the client of the control VMs for gateways, sidecars and the command line. It
// finds the leader of a consensus group, watches the configuration, and keeps a process registered.
package control

import (
	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// leaderHeader holds the leader's address in a refusal by a replica that isn't the leader.
const leaderHeader = "Toucanhinge-Leader"

// notLeaderHeader marks such a refusal, even if no leader is known.
const notLeaderHeader = "Toucanhinge-Not-Leader"

// NotLeader returns the error of a replica that isn't the leader of the group. The call certainly
// had no effect. The address may be empty.
func NotLeader(address string) *connect.Error {
	err := connect.NewError(connect.CodeFailedPrecondition, errors.New("this replica does not lead the group"))
	err.Meta().Set(notLeaderHeader, "1")
	err.Meta().Set(leaderHeader, address)
	return err
}

// LeaderOf reports whether the error was made by NotLeader, and returns the leader's address in it.
func LeaderOf(err error) (address string, refused bool) {
	var failure *connect.Error
	if !errors.As(err, &failure) || failure.Meta().Get(notLeaderHeader) == "" {
		return "", false
	}
	return failure.Meta().Get(leaderHeader), true
}
