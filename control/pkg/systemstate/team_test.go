package systemstate

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/apikey"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	accepted   = toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED
	overQuota  = toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_OVER_QUOTA
	noRoute    = toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_NO_ROUTE
	unknownKey = toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_UNKNOWN_KEY
)

// keyedStep returns a step with a table of teams. Each team owns the keys that start with its name.
func keyedStep(version uint64, quota int64, keys ...string) *toucanhingev1.SystemStep {
	step := tableStep(version, quota)
	table := step.GetReplaceTable()
	table.Keyed = true
	teams := map[byte]*toucanhingev1.Team{}
	for _, key := range keys {
		if teams[key[0]] == nil {
			teams[key[0]] = &toucanhingev1.Team{Name: key[:1]}
			table.Teams = append(table.Teams, teams[key[0]])
		}
		teams[key[0]].Keys = append(teams[key[0]].Keys, apikey.Bytes(key))
	}
	return step
}

func keyedJob(id, key string, items int, tokens int64) *toucanhingev1.SystemStep {
	step := jobStep(id, items, tokens)
	step.GetAcceptJob().GetJob().Key = apikey.Bytes(key)
	return step
}

func keyedEnd(id, key string) *toucanhingev1.SystemStep {
	step := endStep(id)
	step.GetEndJob().Key = apikey.Bytes(key)
	return step
}

// A gateway admits a job by its key, but a table without the key is acknowledged before the job is
// logged. The job must not be accepted.
func TestRemovedKeyCannotSubmitJob(t *testing.T) {
	m := newTestMachine(t, t.TempDir())
	apply(t, m, 1, keyedStep(1, 0, "a1", "a2", "b1"))
	require.Equal(t, []any{accepted, uint64(2), unknownKey}, apply(t, m, 2, keyedJob("j", "a1", 1, 1), keyedStep(2, 0, "a2", "b1"), keyedJob("k", "a1", 1, 1)))
	require.Equal(t, []any{unknownKey}, apply(t, m, 3, keyedJob("j", "a1", 1, 1)), "a retry must be refused too")
	require.Equal(t, []any{accepted}, apply(t, m, 3, keyedJob("j", "a2", 1, 1)), "another key of the team must still give access to the job")
	m.View(func(s *State) {
		require.Len(t, s.OpenJobs(), 1)
		require.Equal(t, "a", s.OpenJobs()[0].Team, "removing a key must not end jobs")
	})
}

// A team reads, ends or submits a job under an ID that another team uses. It must not learn that
// the other job exists, nor change it.
func TestTeamCannotAccessJobsOfOtherTeam(t *testing.T) {
	m := newTestMachine(t, t.TempDir())
	apply(t, m, 1, keyedStep(1, 0, "a1", "b1"), keyedJob("j", "a1", 2, 1))
	m.View(func(s *State) {
		for _, c := range []struct {
			key             string
			found, admitted bool
		}{{"a1", true, true}, {"b1", false, true}, {"c1", false, false}, {"", false, false}} {
			j, admitted := s.Find(apikey.Bytes(c.key), "j")
			require.Equal(t, c.found, j != nil, c.key)
			require.Equal(t, c.admitted, admitted, c.key)
		}
	})
	require.Equal(t, []any{EndOutcome{}, EndOutcome{Denied: true}}, apply(t, m, 2, keyedEnd("j", "b1"), keyedEnd("j", "c1")))
	require.Equal(t, []any{accepted}, apply(t, m, 3, keyedJob("j", "b1", 1, 1)), "the ID must be free for another team")
	m.View(func(s *State) {
		require.Len(t, s.OpenJobs(), 2)
		j, _ := s.Find(apikey.Bytes("b1"), "j")
		require.Len(t, j.Items, 1)
	})
	require.Equal(t, []any{EndOutcome{Found: true}}, apply(t, m, 4, keyedEnd("j", "b1")))
	m.View(func(s *State) {
		j, _ := s.Find(apikey.Bytes("a1"), "j")
		require.True(t, j.Open())
	})
}

func TestTokenQuotaIsPerTeam(t *testing.T) {
	m := newTestMachine(t, t.TempDir())
	apply(t, m, 1, keyedStep(1, 50, "a1", "b1"))
	require.Equal(t, []any{accepted, overQuota, accepted, accepted, overQuota}, apply(t, m, 2,
		keyedJob("j", "a1", 4, 10), keyedJob("k", "a1", 2, 10), keyedJob("l", "a1", 1, 10), keyedJob("j", "b1", 5, 10), keyedJob("k", "b1", 1, 1)))
}

func TestJobsWithoutTeam(t *testing.T) {
	m := newTestMachine(t, t.TempDir())
	apply(t, m, 1, tableStep(1, 0), jobStep("before", 1, 1), jobStep("with/slash", 1, 1))
	open := keyedStep(2, 0, "a1")
	open.GetReplaceTable().Routes[0].Open = true
	apply(t, m, 2, open)
	require.Equal(t, []any{accepted, accepted}, apply(t, m, 3, jobStep("open", 1, 1), keyedJob("slash", "a1", 1, 1)))
	m.View(func(s *State) {
		for _, c := range []struct {
			id, key string
			found   bool
		}{
			{"before", "", true},
			{"before", "a1", true},
			{"open", "", true},
			{"with/slash", "a1", true},
			{"slash", "a1", true},
			{"slash", "", false},
			{"a/slash", "", false},
		} {
			j, _ := s.Find(apikey.Bytes(c.key), c.id)
			require.Equal(t, c.found, j != nil, "%s with %q", c.id, c.key)
		}
	})
	apply(t, m, 4, tableStep(3, 0))
	m.View(func(s *State) {
		j, admitted := s.Find(nil, "slash")
		require.NotNil(t, j, "without teams, all callers have access to all jobs")
		require.True(t, admitted)
	})
}

// TestRapidTeamsSeeOnlyTheirJobs runs random table changes, jobs and restarts and compares the
// accessible jobs with an oracle that keeps a list of jobs per team.
func TestRapidTeamsSeeOnlyTheirJobs(t *testing.T) {
	folders := 0
	base := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		folders++
		folder := fmt.Sprintf("%s/%d", base, folders)
		m := newTestMachine(t, folder)
		version := uint64(0)
		keys := map[string]bool{}
		type name struct{ team, id string }
		jobs := map[name]bool{}
		key := rapid.SampledFrom([]string{"a1", "a2", "b1", "b2"})
		id := rapid.SampledFrom([]string{"j", "k", "b/j"})
		apply(t, m, 1, keyedStep(1, 0))
		version = 1
		t.Repeat(map[string]func(*rapid.T){
			"table": func(t *rapid.T) {
				version++
				clear(keys)
				list := rapid.SliceOfDistinct(key, func(k string) string { return k }).Draw(t, "keys")
				for _, k := range list {
					keys[k] = true
				}
				apply(t, m, 1, keyedStep(version, 0, list...))
			},
			"accept": func(t *rapid.T) {
				k, i := key.Draw(t, "key"), id.Draw(t, "job")
				want := unknownKey
				if keys[k] {
					want = accepted
					jobs[name{k[:1], i}] = true
				}
				require.Equal(t, []any{want}, apply(t, m, 1, keyedJob(i, k, 1, 1)))
			},
			"end": func(t *rapid.T) {
				k, i := key.Draw(t, "key"), id.Draw(t, "job")
				want := EndOutcome{Found: keys[k] && jobs[name{k[:1], i}], Denied: !keys[k]}
				require.Equal(t, []any{want}, apply(t, m, 1, keyedEnd(i, k)))
			},
			"restart": func(t *rapid.T) {
				manifest, err := m.Checkpoint()
				require.NoError(t, err)
				m.Close()
				m = NewMachine(MachineConfig{Folder: folder, Fatal: func(err error) { require.NoError(t, err) }})
				require.NoError(t, m.Load(manifest))
			},
			"": func(t *rapid.T) {
				m.View(func(s *State) {
					for _, k := range []string{"a1", "a2", "b1", "b2"} {
						for _, i := range []string{"j", "k", "b/j"} {
							j, admitted := s.Find(apikey.Bytes(k), i)
							require.Equal(t, keys[k], admitted)
							require.Equal(t, keys[k] && jobs[name{k[:1], i}], j != nil, "%s of %s", i, k)
						}
					}
				})
			},
		})
		m.Close()
	})
}
