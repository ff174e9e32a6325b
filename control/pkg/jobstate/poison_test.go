package jobstate

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/control/pkg/segment"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// resultsByItem holds the results that a state wrote, by item index.
type resultsByItem map[uint64]*toucanhingev1.Result

// newStateWithoutSegments returns a state for one job that writes no segments, and
// the results that the state appends.
func newStateWithoutSegments(t require.TestingT) (*State, resultsByItem) {
	results := resultsByItem{}
	discard := func([]byte) segment.Ref { return 1 }
	release := func(uint32, uint64) {}
	return New(Config{
		AppendItem: discard, AppendIndex: discard, ReleaseItems: release, ReleaseResults: release,
		AppendResult: func(payload []byte) segment.Ref {
			result := &toucanhingev1.Result{}
			require.NoError(t, proto.Unmarshal(payload, result))
			require.NotContains(t, results, result.GetIndex(), "the item already has a result")
			results[result.GetIndex()] = result
			return 1
		},
	}), results
}

func acceptJob(s *State, id, team string, count, attempts, weight int, deadline clock.Millis) {
	stage := &toucanhingev1.StageStep{Upload: id}
	for range count {
		stage.Items = append(stage.Items, []byte("body"))
	}
	s.Step(s.now, &toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Stage{Stage: stage}})
	s.Step(s.now, &toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Accept{Accept: &toucanhingev1.AcceptStep{
		Upload: id, Id: id, Count: uint64(count), Attempts: uint32(attempts), Weight: uint32(weight),
		Header: &toucanhingev1.UploadHeader{Team: team, Key: id, Service: testService, DeadlineMs: int64(deadline)},
	}}})
}

func leaseFor(s *State, sidecar string, limit int) []Leased {
	return s.Step(s.now, &toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Lease{Lease: &toucanhingev1.LeaseStep{
		Request: &toucanhingev1.LeaseRequest{Sidecar: sidecar, Service: testService, Most: uint32(limit)},
	}}}).(LeaseResult).Items
}

func reportOutcome(s *State, l Leased, outcome toucanhingev1.Outcome, reason string) toucanhingev1.Verdict {
	return s.Step(s.now, &toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Complete{Complete: &toucanhingev1.CompleteRequest{
		Completions: []*toucanhingev1.Completion{{Job: l.Job, Index: uint64(l.Index), Lease: l.Lease, Outcome: outcome, Reason: reason}},
	}}}).(CompleteResult).Verdicts[0]
}

func expireLeases(s *State, leases ...uint64) {
	s.Step(s.now, &toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Expire{Expire: &toucanhingev1.ExpireStep{
		Leases: leases, Cause: toucanhingev1.ExpiryCause_EXPIRY_CAUSE_RUN_OUT,
	}}})
}

// TestRapidPoisonItems runs jobs with items that crash every engine they run on.
// Each poison item must fail at its attempt limit, and every other item must
// succeed. Items that shared a crashed engine must not lose an attempt; otherwise
// a few poison items would fail whole jobs.
func TestRapidPoisonItems(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 3).Draw(rt, "limit")
		s, results := newStateWithoutSegments(rt)
		count := rapid.IntRange(1, 60).Draw(rt, "items")
		acceptJob(s, "j1-a", "agence", count, limit, 1, 0)
		poison := map[uint32]bool{}
		for range rapid.IntRange(0, 4).Draw(rt, "poison") {
			poison[uint32(rapid.IntRange(0, count-1).Draw(rt, "which"))] = true
		}
		sidecars := rapid.IntRange(1, 4).Draw(rt, "sidecars")
		random := rapid.Custom(func(t *rapid.T) int { return rapid.IntRange(0, 1<<20).Draw(t, "choice") })
		survives := rapid.Bool().Draw(rt, "survives")
		runFleet(rt, s, sidecars, poison, survives, func(n int) int { return random.Draw(rt, "step") % n })
		j := s.jobs["j1-a"]
		require.Equal(rt, toucanhingev1.JobState_JOB_STATE_FINISHED, j.state)
		for n := range uint64(count) {
			if poison[uint32(n)] {
				require.Equal(rt, toucanhingev1.Outcome_OUTCOME_FAILED, results[n].GetOutcome(), "item %d", n)
				require.EqualValues(rt, limit, results[n].GetAttempts())
				continue
			}
			require.Equal(rt, toucanhingev1.Outcome_OUTCOME_DONE, results[n].GetOutcome(), "item %d", n)
			require.True(rt, survives || results[n].GetAttempts() == 1, "an item that is not poison lost attempts")
		}
	})
}

// runFleet simulates sidecars that lease items, run them and lose their engines
// until the job has ended.
func runFleet(t *rapid.T, s *State, sidecars int, poison map[uint32]bool, survives bool, choose func(int) int) {
	held := make([][]Leased, sidecars)
	for step := 0; s.jobs["j1-a"].running(); step++ {
		require.Less(t, step, 20_000, "the job does not finish")
		s.now += 500
		n := choose(sidecars)
		name := fmt.Sprintf("s%d", n)
		if len(held[n]) == 0 || (len(held[n]) < 12 && choose(3) == 0) {
			held[n] = append(held[n], leaseFor(s, name, 1+choose(6))...)
			continue
		}
		at := choose(len(held[n]))
		if poison[held[n][at].Index] {
			for _, l := range held[n] {
				if survives {
					reportOutcome(s, l, toucanhingev1.Outcome_OUTCOME_RETRY, "stream broken")
					continue
				}
				expireLeases(s, l.Lease)
			}
			held[n] = nil
			continue
		}
		require.Equal(t, toucanhingev1.Verdict_VERDICT_ACCEPTED, reportOutcome(s, held[n][at], toucanhingev1.Outcome_OUTCOME_DONE, ""))
		held[n] = append(held[n][:at], held[n][at+1:]...)
	}
}

// TestEngineLossCountsLikeLostLease reports items as lost with the engine, by a
// sidecar that survived it. The report must use up no attempts of items that ran
// beside others, and one attempt of an item that ran alone.
func TestEngineLossCountsLikeLostLease(t *testing.T) {
	const engineLost = "engine-lost"
	s, _ := newStateWithoutSegments(t)
	acceptJob(s, "j1-a", "agence", 2, 1, 1, 0)
	for _, l := range leaseFor(s, "s1", 2) {
		require.Equal(t, toucanhingev1.Verdict_VERDICT_ACCEPTED, reportOutcome(s, l, toucanhingev1.Outcome_OUTCOME_RETRY, engineLost))
	}
	for range 2 {
		alone := leaseFor(s, "s1", 2)
		require.Len(t, alone, 1)
		require.True(t, alone[0].Alone)
		require.Empty(t, leaseFor(s, "s1", 2), "leased an item to a sidecar that runs a suspect")
		reportOutcome(s, alone[0], toucanhingev1.Outcome_OUTCOME_RETRY, engineLost)
	}
	require.EqualValues(t, 2, s.jobs["j1-a"].failed)
}

// TestOutcomesUseAttempts checks how many attempts each outcome uses up, and that
// an undecided item has no result.
func TestOutcomesUseAttempts(t *testing.T) {
	done, failed := toucanhingev1.Outcome_OUTCOME_DONE, toucanhingev1.Outcome_OUTCOME_FAILED
	retry, returned := toucanhingev1.Outcome_OUTCOME_RETRY, toucanhingev1.Outcome_OUTCOME_RETURNED
	scenarios := []struct {
		name     string
		outcome  toucanhingev1.Outcome
		repeat   int
		ends     toucanhingev1.Outcome
		attempts uint32
	}{
		{"done at once", done, 1, done, 1},
		{"failed at once", failed, 1, failed, 1},
		{"one retry left", retry, 2, 0, 2},
		{"no retry left, last attempt ran alone", retry, 3, failed, 3},
		{"return uses no attempt", returned, 9, 0, 0},
	}
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			s, results := newStateWithoutSegments(t)
			acceptJob(s, "j1-a", "agence", 1, 3, 1, 0)
			for range c.repeat {
				reportOutcome(s, leaseFor(s, "s1", 1)[0], c.outcome, "why")
			}
			require.Equal(t, c.ends, results[0].GetOutcome())
			if c.ends == 0 {
				require.EqualValues(t, c.attempts, s.jobs["j1-a"].items[0].attempts)
				return
			}
			require.Equal(t, c.attempts, results[0].GetAttempts())
		})
	}
}

// TestTeamsShareByWeight gives one team three times the weight of the other while
// both have enough waiting items. An early deadline moves a job ahead of its own
// team's jobs only.
func TestTeamsShareByWeight(t *testing.T) {
	s, _ := newStateWithoutSegments(t)
	acceptJob(s, "j1-a", "agence", 1_000, 3, 3, 0)
	acceptJob(s, "j1-b", "heredia", 1_000, 3, 1, 0)
	acceptJob(s, "j1-c", "heredia", 20, 3, 1, 50_000)
	got := map[string]int{}
	for range 100 {
		for _, l := range leaseFor(s, "s1", 4) {
			got[l.Job]++
		}
	}
	require.InDelta(t, 300, got["j1-a"], 8)
	require.Equal(t, 20, got["j1-c"], "the team's job with the earliest deadline is leased first")
	require.InDelta(t, 80, got["j1-b"], 8)
}

// TestUrgentJobIncreasesTeamShare has a job that barely meets its deadline at the
// current rate. Its team's share grows without starving the other team.
func TestUrgentJobIncreasesTeamShare(t *testing.T) {
	s, _ := newStateWithoutSegments(t)
	acceptJob(s, "j1-a", "agence", 1_000, 3, 1, 0)
	acceptJob(s, "j1-b", "heredia", 1_000, 3, 1, 70_000)
	s.services[testService].rate = 100
	got := map[string]int{}
	for range 100 {
		for _, l := range leaseFor(s, "s1", 4) {
			got[l.Job]++
		}
	}
	require.InDelta(t, 4, float64(got["j1-b"])/float64(got["j1-a"]), 0.5)
}

// TestIdleTeamGetsNoShareForIdleTime gives a team new items after it was idle. The
// team gets its share from then on, and nothing extra for the idle time.
func TestIdleTeamGetsNoShareForIdleTime(t *testing.T) {
	s, _ := newStateWithoutSegments(t)
	acceptJob(s, "j1-b", "heredia", 1, 3, 1, 0)
	leaseFor(s, "s1", 1)
	acceptJob(s, "j1-a", "agence", 1_000, 3, 1, 0)
	for range 100 {
		leaseFor(s, "s1", 4)
	}
	acceptJob(s, "j1-c", "heredia", 1_000, 3, 1, 0)
	got := map[string]int{}
	for range 20 {
		for _, l := range leaseFor(s, "s1", 4) {
			got[l.Team]++
		}
	}
	require.InDelta(t, got["agence"], got["heredia"], 8)
}
