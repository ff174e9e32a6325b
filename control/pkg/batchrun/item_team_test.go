package batchrun

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/apikey"
	"toucanhinge.example/common/pkg/runner"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// A team submits a job, its only key is revoked, and the leader changes in the middle of an item. The next
// leader must resume the item after its last logged event, and both calls must carry the team.
func TestResumedItemKeepsTeamAfterLeaderChange(t *testing.T) {
	first := true
	f := start(t, func(_ int, call runner.Call) (*runner.Answer, error) {
		if first {
			first = false
			return ok(&hangingBody{source: strings.NewReader(events(1, 3))})
		}
		return ok(completeBody(events(int(call.After)+1, 5)))
	})
	keyed := table(2, "/j/")
	keyed.Keyed = true
	keyed.Teams = []*toucanhingev1.Team{{Name: "a", Keys: [][]byte{apikey.Bytes("k")}}}
	f.apply(&toucanhingev1.SystemStep{Step: &toucanhingev1.SystemStep_ReplaceTable{ReplaceTable: keyed}})
	f.apply(&toucanhingev1.SystemStep{Step: &toucanhingev1.SystemStep_AcceptJob{AcceptJob: &toucanhingev1.AcceptJobStep{Job: &toucanhingev1.SubmitJobRequest{
		Job: "j", Host: "h", Target: "/j/x", Key: apikey.Bytes("k"),
		Items: []*toucanhingev1.JobItem{{Id: "i", Target: "/j/y", Body: []byte("b")}},
	}}}})
	withoutKey := table(3, "/j/")
	withoutKey.Keyed, withoutKey.Teams = true, []*toucanhingev1.Team{{Name: "a"}}
	f.apply(&toucanhingev1.SystemStep{Step: &toucanhingev1.SystemStep_ReplaceTable{ReplaceTable: withoutKey}})
	stop := f.run()
	require.Eventually(t, func() bool { return len(f.sent()) == 1 }, 5*time.Second, 5*time.Millisecond)
	time.Sleep(2 * progressLogInterval.Duration())
	stop()
	f.driver = New(f.driver.config)
	f.run()
	require.Eventually(t, func() bool { return len(f.sent()) == 2 }, 5*time.Second, 5*time.Millisecond)
	for _, call := range f.sent() {
		require.Equal(t, "a", call.Team)
	}
	require.True(t, f.sent()[1].Resume)
	require.Equal(t, uint64(3), f.sent()[1].After)
}
