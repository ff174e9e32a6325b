package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// All VMs lose power, and one of the core its disk. Callers know only that one, and it
// knows nobody any more. The leader still takes it for a member and sends to it: so it can
// tell them who leads, although it mustn't vote.
func TestAVMThatLostItsDiskNamesTheLeader(t *testing.T) {
	s := newSite(t, 3)
	s.startAll()
	s.replace(1)
	for _, v := range s.vms {
		v.kill()
	}
	lost := s.vms[0]
	lost.loseDisk()
	lost.known = []string{lost.address}
	s.startAll()
	s.requireFoundThrough(lost)
}

// A VM outside of the group has seeds that are outside as well by now. All VMs lose power.
// It must find the group by what it knew before, or nobody who asks it ever would.
func TestAVMRemembersTheCore(t *testing.T) {
	s := newSite(t, 5)
	s.startAll()
	s.replace(1)
	outside := s.vms[4]
	require.Eventually(t, func() bool {
		s.leader()
		return len(recall(outside.core.acquaintances.path, outside.core.config.Logger).addresses) > 0
	}, patience, 20*time.Millisecond)
	for _, v := range s.vms {
		v.kill()
	}
	outside.known = []string{outside.address}
	s.startAll()
	s.requireFoundThrough(outside)
}

// requireFoundThrough asks only one VM who leads, until it tells.
func (s *site) requireFoundThrough(v *vm) {
	s.t.Helper()
	leader := s.leader()
	const soon = 3 * time.Second
	require.Eventually(s.t, func() bool { return v.core.Leader() == leader.address }, soon, 10*time.Millisecond)
}
