package systemstate

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/seed"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

func TestMain(m *testing.M) { seed.Main(m, 23, seed.Length{Checks: 60}) }

func newTestMachine(t require.TestingT, folder string) *Machine {
	m := NewMachine(MachineConfig{Folder: folder, Fatal: func(err error) { require.NoError(t, err) }})
	require.NoError(t, m.Load(nil))
	return m
}

func apply(t require.TestingT, m *Machine, at int64, steps ...*toucanhingev1.SystemStep) []any {
	data, err := proto.Marshal(&toucanhingev1.SystemCommand{AtMs: at, Steps: steps})
	require.NoError(t, err)
	outcomes, ok := m.Apply(0, data).([]any)
	require.True(t, ok)
	return outcomes
}

func tableStep(version uint64, quota int64) *toucanhingev1.SystemStep {
	return &toucanhingev1.SystemStep{Step: &toucanhingev1.SystemStep_ReplaceTable{ReplaceTable: &toucanhingev1.RoutingTable{
		Version: version, Document: fmt.Appendf(nil, "v%d", version), Services: []*toucanhingev1.RoutedService{{Name: "llm"}},
		Routes: []*toucanhingev1.Route{{
			Name: "jobs", Host: "h", Prefix: "/j/", Kind: toucanhingev1.RouteKind_ROUTE_KIND_BATCH, TimeLimitMs: 100,
			QuotaTokens: quota, Shares: []*toucanhingev1.RouteShare{{Service: "llm", Weight: 1}},
		}},
	}}}
}

func jobStep(id string, items int, tokens int64) *toucanhingev1.SystemStep {
	request := &toucanhingev1.SubmitJobRequest{Job: id, Host: "h", Target: "/j/x"}
	for i := range items {
		request.Items = append(request.Items, &toucanhingev1.JobItem{Id: fmt.Sprintf("%s-%d", id, i), Tokens: tokens, Body: []byte{1, 2, byte(i)}})
	}
	return &toucanhingev1.SystemStep{Step: &toucanhingev1.SystemStep_AcceptJob{AcceptJob: &toucanhingev1.AcceptJobStep{Job: request}}}
}

func finishStep(job string, item uint32, text string) *toucanhingev1.SystemStep {
	return &toucanhingev1.SystemStep{Step: &toucanhingev1.SystemStep_FinishItem{
		FinishItem: &toucanhingev1.FinishItemStep{Job: job, Item: item, Completed: true, Text: []byte(text)},
	}}
}

func progressStep(item uint32, after, last uint64, text string) *toucanhingev1.SystemStep {
	return &toucanhingev1.SystemStep{Step: &toucanhingev1.SystemStep_KeepProgress{
		KeepProgress: &toucanhingev1.KeepProgressStep{Job: "a", Item: item, After: after, Last: last, Text: []byte(text)},
	}}
}

func finishAfterStep(item uint32, after uint64, text string) *toucanhingev1.SystemStep {
	step := finishStep("a", item, text)
	step.GetFinishItem().After = after
	return step
}

// A leader logs an item's partial text and loses its leadership; its successor continues from
// there. Late steps of the old leader, and a result that continues other progress than the logged
// one, must not be appended: the text would have a gap or a duplicated part.
func TestProgressMustFollowStoredText(t *testing.T) {
	m := newTestMachine(t, t.TempDir())
	apply(t, m, 1, tableStep(1, 0), jobStep("a", 3, 1))
	apply(t, m, 2, progressStep(0, 0, 2, "1\n2"), progressStep(0, 2, 3, "\n3"))
	apply(t, m, 2, progressStep(0, 2, 4, "\n3\n4"), progressStep(0, 0, 9, "all"), progressStep(0, 3, 3, ""))
	require.Equal(t, "1\n2\n3", itemText(t, m, "a", 0))
	require.Equal(t, []any{false}, apply(t, m, 3, finishAfterStep(0, 2, "\n3\n4")))
	require.Equal(t, []any{true}, apply(t, m, 3, finishAfterStep(0, 3, "\n4")))
	require.Equal(t, "1\n2\n3\n4", itemText(t, m, "a", 0))
	require.Equal(t, []any{true}, apply(t, m, 4, finishAfterStep(0, 0, "whole")), "only the first result counts")
	require.Equal(t, "1\n2\n3\n4", itemText(t, m, "a", 0))

	apply(t, m, 5, progressStep(1, 0, 2, "1\n2"))
	require.Equal(t, []any{true}, apply(t, m, 5, finishAfterStep(1, 0, "whole")), "a complete text doesn't depend on progress")
	require.Equal(t, "whole", itemText(t, m, "a", 1))

	apply(t, m, 6, progressStep(2, 0, 2, "1\n2"))
	failed := finishStep("a", 2, "")
	failed.GetFinishItem().Completed = false
	apply(t, m, 6, failed)
	require.Empty(t, itemText(t, m, "a", 2), "a failed item has no text")
}

func endStep(job string) *toucanhingev1.SystemStep {
	return &toucanhingev1.SystemStep{Step: &toucanhingev1.SystemStep_EndJob{EndJob: &toucanhingev1.EndJobStep{Job: job}}}
}

// Two operators race, and a table arrives again after a newer one. The table with the highest
// version must stay active; tables with an equal or lower version are acknowledged but have no
// effect.
func TestHighestTableVersionStaysActive(t *testing.T) {
	m := newTestMachine(t, t.TempDir())
	require.Equal(t, []any{uint64(7)}, apply(t, m, 1, tableStep(7, 0)))
	require.Equal(t, []any{uint64(7)}, apply(t, m, 1, tableStep(5, 0)))
	other := tableStep(7, 0)
	other.GetReplaceTable().Document = []byte("other content under the same version")
	require.Equal(t, []any{uint64(7)}, apply(t, m, 1, other))
	m.View(func(s *State) { require.Equal(t, "v7", string(s.Table().Wire().GetDocument())) })
	require.Equal(t, []any{uint64(12)}, apply(t, m, 1, tableStep(12, 0)))
}

func TestSubmitAndEndJobs(t *testing.T) {
	m := newTestMachine(t, t.TempDir())
	accepted, overQuota, noRoute := toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED,
		toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_OVER_QUOTA, toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_NO_ROUTE
	require.Equal(t, []any{noRoute}, apply(t, m, 1, jobStep("a", 2, 10)), "no table yet")
	apply(t, m, 1, tableStep(1, 50))
	require.Equal(t, []any{accepted}, apply(t, m, 2, jobStep("a", 2, 10)))
	require.Equal(t, []any{accepted}, apply(t, m, 9, jobStep("a", 2, 10)), "a resend must have no effect")
	require.Equal(t, []any{overQuota}, apply(t, m, 3, jobStep("b", 4, 10)))
	require.Equal(t, []any{accepted}, apply(t, m, 3, jobStep("b", 3, 10)), "the job uses the quota exactly")
	apply(t, m, 4, finishStep("a", 1, "text"))
	require.Equal(t, []any{accepted}, apply(t, m, 5, jobStep("c", 1, 10)), "finished items don't count against the quota")
	require.Equal(t, []any{EndOutcome{Found: true}}, apply(t, m, 5, endStep("b")))
	require.Equal(t, []any{EndOutcome{Found: true}}, apply(t, m, 5, endStep("b")), "a repeated request must be acknowledged again")
	require.Equal(t, []any{EndOutcome{}}, apply(t, m, 5, endStep("z")))
	require.Equal(t, []any{accepted}, apply(t, m, 6, jobStep("d", 3, 10)), "ended jobs don't count against the quota")
	m.View(func(s *State) {
		require.Equal(t, int64(2), int64(s.Job("a").Accepted), "the time of the first acceptance counts")
		var open []string
		for _, j := range s.OpenJobs() {
			open = append(open, j.ID)
		}
		require.Equal(t, []string{"a", "c", "d"}, open)
	})
}

// A leader finishes an item and loses its leadership, and its successor has run the item too. The
// result that is logged first must be kept, at its position and with its text.
func TestFirstResultIsRetained(t *testing.T) {
	m := newTestMachine(t, t.TempDir())
	apply(t, m, 1, tableStep(1, 0), jobStep("a", 3, 1))
	apply(t, m, 2, finishStep("a", 2, "first"), finishStep("a", 0, "zero"))
	apply(t, m, 3, finishStep("a", 2, "second"), finishStep("a", 9, "no such item"), finishStep("z", 0, "no such job"))
	m.View(func(s *State) { require.Equal(t, []uint32{2, 0}, s.Job("a").Listed) })
	require.Equal(t, "first", itemText(t, m, "a", 2))
}

func itemText(t require.TestingT, m *Machine, job string, item int) string {
	var i Item
	m.View(func(s *State) { i = s.Job(job).Items[item] })
	text, err := m.Text(i.Parts)
	require.NoError(t, err)
	return string(text)
}

func TestClosedJobsAreDeletedAfterRetention(t *testing.T) {
	m := newTestMachine(t, t.TempDir())
	apply(t, m, 1, tableStep(1, 0), jobStep("a", 1, 1), jobStep("open", 1, 1))
	apply(t, m, 2, finishStep("a", 0, "text"))
	apply(t, m, int64(closedJobRetention), jobStep("b", 1, 1))
	m.View(func(s *State) { require.NotNil(t, s.Job("a")) })
	apply(t, m, int64(closedJobRetention)+2, jobStep("c", 1, 1))
	m.View(func(s *State) {
		require.Nil(t, s.Job("a"))
		require.NotNil(t, s.Job("open"))
	})
}

// Guards against a core that refuses jobs for ever, or that takes too many after a restart: the memory of jobs must follow
// their deletion, also when a job without a route or a key is submitted, and a restored state must know it.
func TestMemoryOfJobsFollowsThem(t *testing.T) {
	m := newTestMachine(t, t.TempDir())
	memory := func() (bytes int64) {
		m.View(func(s *State) { bytes = s.JobMemory() })
		return bytes
	}
	apply(t, m, 1, tableStep(1, 0), jobStep("a", 2, 1), jobStep("a", 2, 1))
	one := memory()
	require.Greater(t, one, int64(jobOverhead+2*itemOverhead))
	apply(t, m, 1, jobStep("b", 2, 1))
	require.Equal(t, 2*one, memory())
	manifest, err := m.Checkpoint()
	require.NoError(t, err)
	require.NoError(t, m.Load(manifest))
	require.Equal(t, 2*one, memory())
	apply(t, m, 2, finishStep("a", 0, "text"), finishStep("a", 1, "text"))
	none := &toucanhingev1.SystemStep{Step: &toucanhingev1.SystemStep_AcceptJob{
		AcceptJob: &toucanhingev1.AcceptJobStep{Job: &toucanhingev1.SubmitJobRequest{}},
	}}
	require.Equal(t, []any{toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_NO_ROUTE}, apply(t, m, int64(closedJobRetention)+2, none))
	require.Equal(t, one, memory())
	apply(t, m, 3, endStep("b"), keyedStep(2, 0, "key"))
	require.Equal(t, []any{toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_UNKNOWN_KEY}, apply(t, m, int64(closedJobRetention)+3, none))
	require.Zero(t, memory())
}

func TestRegisterAndRetireVM(t *testing.T) {
	m := newTestMachine(t, t.TempDir())
	register := func(identity string) *toucanhingev1.SystemStep {
		return &toucanhingev1.SystemStep{Step: &toucanhingev1.SystemStep_RegisterVm{
			RegisterVm: &toucanhingev1.RegisterVMStep{Name: "vm", Address: "1", Identity: identity},
		}}
	}
	retire := &toucanhingev1.SystemStep{Step: &toucanhingev1.SystemStep_RetireVm{RetireVm: &toucanhingev1.RetireVMStep{Name: "vm"}}}
	require.Equal(t, []any{false}, apply(t, m, 1, retire))
	apply(t, m, 1, register("x"))
	require.Equal(t, []any{true}, apply(t, m, 1, retire))
	apply(t, m, 1, register("x"))
	m.View(func(s *State) { v, _ := s.VM("vm"); require.True(t, v.Retiring) })
	apply(t, m, 1, register("y"))
	m.View(func(s *State) { v, _ := s.VM("vm"); require.False(t, v.Retiring, "a new member isn't retiring") })
}

// oracle is a simple model of the state.
type oracle struct {
	version uint64
	jobs    map[string]*oracleJob
}

type oracleJob struct {
	items  int
	ended  bool
	listed []uint32
	texts  map[uint32]string
}

// TestRapidStateMatchesOracle runs commands, restarts from a checkpoint with a replay of the log,
// and copies to an empty replica, in random order. The readable state must always match an oracle.
func TestRapidStateMatchesOracle(t *testing.T) {
	folders := 0
	base := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		folders++
		folder := fmt.Sprintf("%s/%d", base, folders)
		m := newTestMachine(t, folder)
		o := &oracle{jobs: map[string]*oracleJob{}}
		var manifest []byte
		var log [][]byte
		applyStep := func(t *rapid.T, step *toucanhingev1.SystemStep) any {
			data, err := proto.Marshal(&toucanhingev1.SystemCommand{AtMs: 1, Steps: []*toucanhingev1.SystemStep{step}})
			require.NoError(t, err)
			log = append(log, data)
			outcomes, ok := m.Apply(0, data).([]any)
			require.True(t, ok)
			return outcomes[0]
		}
		job := rapid.SampledFrom([]string{"a", "b", "c"})
		applyStep(t, tableStep(1, 0))
		o.version = 1
		t.Repeat(map[string]func(*rapid.T){
			"table": func(t *rapid.T) {
				v := rapid.Uint64Range(1, 20).Draw(t, "version")
				o.version = max(o.version, v)
				require.Equal(t, o.version, applyStep(t, tableStep(v, 0)))
			},
			"accept": func(t *rapid.T) {
				id := job.Draw(t, "job")
				n := rapid.IntRange(1, 4).Draw(t, "items")
				require.Equal(t, toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED, applyStep(t, jobStep(id, n, 1)))
				if o.jobs[id] == nil {
					o.jobs[id] = &oracleJob{items: n, texts: map[uint32]string{}}
				}
			},
			"finish": func(t *rapid.T) {
				id := job.Draw(t, "job")
				index := rapid.Uint32Range(0, 4).Draw(t, "item")
				text := rapid.StringMatching(`[a-z]{1,20}`).Draw(t, "text")
				applyStep(t, finishStep(id, index, text))
				if j := o.jobs[id]; j != nil && int(index) < j.items && j.texts[index] == "" {
					j.listed = append(j.listed, index)
					j.texts[index] = text
				}
			},
			"end": func(t *rapid.T) {
				id := job.Draw(t, "job")
				require.Equal(t, EndOutcome{Found: o.jobs[id] != nil}, applyStep(t, endStep(id)))
				if o.jobs[id] != nil {
					o.jobs[id].ended = true
				}
			},
			"checkpoint": func(t *rapid.T) {
				var err error
				manifest, err = m.Checkpoint()
				require.NoError(t, err)
				log = nil
			},
			"restart": func(t *rapid.T) {
				m.Close()
				m = NewMachine(MachineConfig{Folder: folder, Fatal: func(err error) { require.NoError(t, err) }})
				require.NoError(t, m.Load(manifest))
				for _, data := range log {
					m.Apply(0, data)
				}
			},
			"copy to an empty replica": func(t *rapid.T) {
				var err error
				manifest, err = m.Checkpoint()
				require.NoError(t, err)
				log = nil
				var export bytes.Buffer
				require.NoError(t, m.Export(manifest, &export))
				m.Close()
				folders++
				folder = fmt.Sprintf("%s/%d", base, folders)
				m = newTestMachine(t, folder)
				manifest, err = m.Import(&export)
				require.NoError(t, err)
			},
			"": func(t *rapid.T) {
				m.View(func(s *State) {
					require.Equal(t, o.version, s.Table().Version)
					for id, want := range o.jobs {
						got := s.Job(id)
						require.NotNil(t, got)
						require.Len(t, got.Items, want.items)
						require.Equal(t, want.ended, got.Ended)
						require.Equal(t, len(want.listed), len(got.Listed))
						for i := range want.listed {
							require.Equal(t, want.listed[i], got.Listed[i])
						}
					}
				})
				for id, want := range o.jobs {
					for index, text := range want.texts {
						require.Equal(t, text, itemText(t, m, id, int(index)))
					}
				}
			},
		})
		m.Close()
	})
}
