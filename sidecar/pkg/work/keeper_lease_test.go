package work

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/job"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// A job of 100 items stands still with 93 of them leased: control hands out
// several items under one lease number, and a keeper that knows leases by their
// number alone runs the first item of each and forgets the others. They come
// back only when their lease runs out, and most are forgotten again.
func TestEveryItemUnderALeaseIsRun(t *testing.T) {
	k := NewLeaseManager(LeaseManagerConfig{MaxItems: 8, MaxPerRequest: 8, FlushDelay: 5, FlushSize: 2})
	k.SetGroupCount(job.FirstGroup + 1)
	k.SetOpen(true)
	asked := k.Tick(0)
	require.Len(t, asked, 1)
	require.Equal(t, uint32(job.FirstGroup), asked[0].Group, "no items stand in the configuration's group")
	answer := &toucanhingev1.LeaseResponse{LeaseMs: 1_000}
	for index := range uint64(3) {
		answer.Items = append(answer.Items, &toucanhingev1.LeasedItem{Job: "j", Index: index, Lease: 7})
	}
	var ran []Key
	for _, a := range k.Granted(1, 0, job.FirstGroup, answer) {
		if a.Verb == VerbRun {
			ran = append(ran, a.Key)
		}
	}
	require.Len(t, ran, 3)

	completion := &toucanhingev1.Completion{Job: "j", Index: 1, Lease: 7, Outcome: toucanhingev1.Outcome_OUTCOME_DONE}
	_, counted := k.Ended(2, ran[1], completion)
	require.True(t, counted)
	k.Reported(3, job.FirstGroup, []*toucanhingev1.Completion{completion})
	require.Equal(t, 2, k.LeaseCount(), "the other items of the lease are still ours")

	var stopped, renewed int
	for _, a := range k.Tick(600) {
		if a.Verb == VerbRenew {
			renewed = len(a.Leases)
		}
	}
	require.Equal(t, 1, renewed, "a lease is renewed once, not once an item")
	for _, a := range k.Renewed(601, 600, job.FirstGroup, []uint64{7}, &toucanhingev1.RenewResponse{Revoked: []uint64{7}}) {
		if a.Verb == VerbStop {
			stopped++
		}
	}
	require.Equal(t, 2, stopped)
}
