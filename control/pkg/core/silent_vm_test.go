package core

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/loopback"
)

// Guards against a group without a leader for good: a sound VM whose announcements didn't arrive was removed while
// another one was lost.
func TestVMWithoutAnnouncementsKeepsItsVote(t *testing.T) {
	cl := newCluster(t, 4)
	nobody := []string{loopback.Address(t, len(cl.vms))}
	for _, v := range cl.vms[:3] {
		v.known = nobody
		v.start()
	}
	leader := cl.leader()
	var others []*vm
	for _, v := range cl.vms[:3] {
		if v != leader {
			others = append(others, v)
		}
	}
	unannounced, lost := others[0], others[1]
	_, err := leader.core.ReplaceTable(t.Context(), testTable(1))
	require.NoError(t, err)
	identity := unannounced.core.identity
	lost.kill()
	cl.vms[3].start()
	cl.waitForVoters(leader, unannounced, cl.vms[3])
	require.Equal(t, identity, unannounced.core.identity)
	cl.requireTable(1)
}
