package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// All VMs lose power, and one member also loses its disk. Callers know only this VM, and it has
// no known members. The leader still sends to it as a member, so it has to name the leader to
// callers, although it must not vote.
func TestVMWithLostDiskNamesLeader(t *testing.T) {
	cl := newCluster(t, 3)
	cl.startAll()
	cl.replaceTable(1)
	for _, v := range cl.vms {
		v.kill()
	}
	lost := cl.vms[0]
	lost.loseDisk()
	lost.known = []string{lost.address}
	cl.startAll()
	cl.requireNamesLeader(lost)
}

// A VM outside the group has only seeds outside the group. After a power loss of all VMs, it has
// to find the group through the known members on its disk; otherwise its callers would never
// find the leader.
func TestVMFindsCoreThroughKnownMembers(t *testing.T) {
	cl := newCluster(t, 5)
	cl.startAll()
	cl.replaceTable(1)
	outside := cl.vms[4]
	cl.eventually(func(*vm) bool {
		return len(loadKnownMembers(outside.core.knownMembers.path, outside.core.config.Logger).addresses) > 0
	}, "no members are known")
	for _, v := range cl.vms {
		v.kill()
	}
	outside.known = []string{outside.address}
	cl.startAll()
	cl.requireNamesLeader(outside)
}

// requireNamesLeader checks that a VM names the leader within three seconds.
func (cl *cluster) requireNamesLeader(v *vm) {
	cl.t.Helper()
	leader := cl.leader()
	const timeout = 3 * time.Second
	require.Eventually(cl.t, func() bool { return v.core.Leader() == leader.address }, timeout, 10*time.Millisecond)
}
