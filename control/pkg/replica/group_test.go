package replica

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSingleReplicaRestoresCommandsAfterRestart(t *testing.T) {
	cl := newCluster(t, 1, nil)
	n := cl.leader()
	commands := numberedCommands("x", 20)
	for i, command := range commands {
		result, err := n.group.Propose(context.Background(), []byte(command))
		require.NoError(t, err)
		require.Equal(t, i+1, result)
	}
	cl.stop(n)
	cl.start(n)
	require.Equal(t, n, cl.leader())
	cl.waitForCommands(n, commands)
}

func TestReplicasApplySameCommands(t *testing.T) {
	cl := newCluster(t, 3, nil)
	leader := cl.leader()
	commands := numberedCommands("x", 20)
	for _, command := range commands {
		_, err := leader.group.Propose(context.Background(), []byte(command))
		require.NoError(t, err)
	}
	for _, n := range cl.nodes {
		cl.waitForCommands(n, commands)
		if n != leader {
			_, err := n.group.Propose(context.Background(), []byte("y"))
			var notLeader *NotLeaderError
			require.ErrorAs(t, err, &notLeader)
			require.Equal(t, leader.name, notLeader.Leader)
			require.Equal(t, leader.address, notLeader.Address)
			require.ErrorAs(t, n.group.Read(context.Background()), &notLeader)
		}
	}
}

// The leader's process dies after it acknowledged commands. Callers get errors until the
// other two elect a leader, which has all acknowledged commands since a majority synced
// them. The old leader returns and catches up.
func TestCommandsSurviveLeaderCrash(t *testing.T) {
	cl := newCluster(t, 3, nil)
	old := cl.leader()
	commands := numberedCommands("before", 10)
	for _, command := range commands {
		_, err := old.group.Propose(context.Background(), []byte(command))
		require.NoError(t, err)
	}
	cl.stop(old)
	leader := cl.leader()
	require.NotEqual(t, old.name, leader.name)
	cl.waitForCommands(leader, commands)
	_, err := leader.group.Propose(context.Background(), []byte("after"))
	require.NoError(t, err)
	cl.start(old)
	cl.waitForCommands(old, append(commands, "after"))
}
