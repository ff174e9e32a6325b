package work

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/job"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Control grants several items under one lease number. A LeaseManager that identified
// leases by their number alone ran only the first item of each lease and lost the
// others, so that a job of 100 items stalled with 93 of them leased: lost items became
// available only when their lease expired, and most were lost again.
func TestAllItemsOfSharedLeaseRun(t *testing.T) {
	m := NewLeaseManager(LeaseManagerConfig{MaxItems: 8, MaxPerRequest: 8, FlushDelay: 5, FlushSize: 2})
	m.SetGroupCount(job.FirstGroup + 1)
	m.SetOpen(true)
	requests := m.Tick(0)
	require.Len(t, requests, 1)
	require.Equal(t, uint32(job.FirstGroup), requests[0].Group, "the configuration's group holds no items")
	answer := &toucanhingev1.LeaseResponse{LeaseMs: 1_000}
	for index := range uint64(3) {
		answer.Items = append(answer.Items, &toucanhingev1.LeasedItem{Job: "j", Index: index, Lease: 7})
	}
	var ran []Key
	for _, a := range m.Granted(1, 0, job.FirstGroup, answer) {
		if a.Verb == VerbRun {
			ran = append(ran, a.Key)
		}
	}
	require.Len(t, ran, 3)

	completion := &toucanhingev1.Completion{Job: "j", Index: 1, Lease: 7, Outcome: toucanhingev1.Outcome_OUTCOME_DONE}
	_, valid := m.Ended(2, ran[1], completion)
	require.True(t, valid)
	m.Reported(3, job.FirstGroup, []*toucanhingev1.Completion{completion})
	require.Equal(t, 2, m.LeaseCount(), "the other items of the lease are still leased")

	var stopped, renewed int
	for _, a := range m.Tick(600) {
		if a.Verb == VerbRenew {
			renewed = len(a.Leases)
		}
	}
	require.Equal(t, 1, renewed, "a lease is renewed once, not once per item")
	for _, a := range m.Renewed(601, 600, job.FirstGroup, []uint64{7}, &toucanhingev1.RenewResponse{Revoked: []uint64{7}}) {
		if a.Verb == VerbStop {
			stopped++
		}
	}
	require.Equal(t, 2, stopped)
}
