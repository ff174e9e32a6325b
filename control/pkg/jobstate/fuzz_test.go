package jobstate

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/seed"
	"toucanhinge.example/control/pkg/segment"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// TestMain sets the default seed and length of the fuzzing. Command line flags
// override them; `make soak` passes new seeds.
func TestMain(m *testing.M) {
	seed.Main(m, 11, seed.Length{Checks: 60, Steps: 150})
}

const testService = "servitudes-llm"

// modelItem is the expected state of an item.
type modelItem struct {
	lease   uint64
	decided bool
	body    string
	outcome toucanhingev1.Outcome
}

// modelJob is the expected state of a job.
type modelJob struct {
	content string
	state   toucanhingev1.JobState
	items   []modelItem
}

// leasedItem is an item that was leased at some time.
type leasedItem struct {
	job   string
	index uint64
	lease uint64
}

// modelTest runs the same operations on a machine and on a model of plain maps.
type modelTest struct {
	t         *rapid.T
	newFolder func() string
	machine   *Machine
	now       int64

	jobs         map[string]*modelJob
	history      []leasedItem
	highestLease uint64
	knownLeases  map[uint64]bool
	// manifest is the last checkpoint. log and answers are the commands applied
	// since then and their answers.
	manifest []byte
	log      [][]byte
	answers  [][]any
	uploads  int
}

func openMachine(t require.TestingT, folder string, manifest []byte) *Machine {
	m := NewMachine(MachineConfig{Folder: folder, MaxFileBytes: 2_000, Fatal: func(err error) { require.NoError(t, err) }})
	require.NoError(t, m.Load(manifest))
	return m
}

func newModelTest(t *rapid.T, newFolder func() string) *modelTest {
	return &modelTest{
		t: t, newFolder: newFolder, machine: openMachine(t, newFolder(), nil), now: 1,
		jobs: map[string]*modelJob{}, knownLeases: map[uint64]bool{},
	}
}

func (m *modelTest) step(step *toucanhingev1.JobStep) any {
	command, err := proto.Marshal(&toucanhingev1.JobCommand{AtMs: m.now, Steps: []*toucanhingev1.JobStep{step}})
	require.NoError(m.t, err)
	answers := m.machine.Apply(0, command).([]any)
	m.log, m.answers = append(m.log, command), append(m.answers, answers)
	return answers[0]
}

// Upload uploads a job. Some uploads are resends, some reuse the key of another
// job, and some lack a chunk.
func (m *modelTest) Upload(t *rapid.T) {
	id := rapid.SampledFrom([]string{"j1-a", "j1-b", "j1-c", "j1-d"}).Draw(t, "job")
	content := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "content")
	lost := rapid.IntRange(0, 9).Draw(t, "lost") == 0
	team := map[string]string{"j1-a": "agence", "j1-b": "agence", "j1-c": "heredia", "j1-d": "heredia"}[id]
	m.uploads++
	upload := fmt.Sprintf("u%d", m.uploads)
	const count, chunk = 3, 2
	for first := 0; first < count; first += chunk {
		if lost && first == chunk {
			continue
		}
		m.stage(upload, content, first, min(first+chunk, count))
		if rapid.Bool().Draw(t, "twice") {
			m.stage(upload, content, first, min(first+chunk, count))
		}
	}
	answer := m.step(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Accept{Accept: &toucanhingev1.AcceptStep{
		Upload: upload, Id: id, Count: count, Digest: []byte(content), Attempts: 2,
		Header: &toucanhingev1.UploadHeader{Team: team, Key: id, Service: testService, DeadlineMs: m.now + int64(len(id))},
	}}}).(AcceptResult)
	known := m.jobs[id]
	switch {
	case known != nil && known.content != content:
		require.ErrorIs(t, answer.Err, ErrConflict)
	case known != nil:
		require.NoError(t, answer.Err)
		require.True(t, answer.Resend)
		require.Equal(t, known.state, answer.Status.GetState())
	case lost:
		require.ErrorIs(t, answer.Err, ErrIncomplete)
	default:
		require.NoError(t, answer.Err)
		require.False(t, answer.Resend)
		m.jobs[id] = &modelJob{content: content, state: toucanhingev1.JobState_JOB_STATE_ACCEPTED, items: make([]modelItem, count)}
	}
}

func itemBody(content string, index int) string { return fmt.Sprintf("%s-%d", content, index) }

func (m *modelTest) stage(upload, content string, first, end int) {
	step := &toucanhingev1.StageStep{Upload: upload, First: uint64(first)}
	for i := first; i < end; i++ {
		payload, err := proto.Marshal(&toucanhingev1.Item{CustomId: fmt.Sprint(i), Body: []byte(itemBody(content, i))})
		require.NoError(m.t, err)
		step.Items = append(step.Items, payload)
	}
	m.step(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Stage{Stage: step}})
}

// Lease leases items and checks that none is leased already, decided or cancelled.
func (m *modelTest) Lease(t *rapid.T) {
	sidecar := rapid.SampledFrom([]string{"s1", "s2", "s3"}).Draw(t, "sidecar")
	var excluded []string
	if rapid.IntRange(0, 5).Draw(t, "restricted") == 0 {
		excluded = []string{"agence"}
	}
	answer := m.step(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Lease{Lease: &toucanhingev1.LeaseStep{
		Request: &toucanhingev1.LeaseRequest{
			Sidecar: sidecar, Incarnation: 1, Service: testService, Most: uint32(rapid.IntRange(1, 5).Draw(t, "most")),
		},
		Excluded: excluded,
	}}}).(LeaseResult)
	known := m.highestLease
	for _, l := range answer.Items {
		j := m.jobs[l.Job]
		require.Equal(t, toucanhingev1.JobState_JOB_STATE_ACCEPTED, j.state, "leased an item of a job that has ended")
		i := &j.items[l.Index]
		require.False(t, i.decided, "leased a decided item")
		require.Zero(t, i.lease, "leased an item that is already leased")
		require.Greater(t, l.Lease, known, "lease numbers must grow")
		require.NotContains(t, excluded, l.Team)
		require.False(t, l.Alone && len(answer.Items) > 1)
		payloads, err := m.machine.ReadItems([]segment.Ref{l.Body})
		require.NoError(t, err)
		item := &toucanhingev1.Item{}
		require.NoError(t, proto.Unmarshal(payloads[0], item))
		require.Equal(t, itemBody(j.content, int(l.Index)), string(item.GetBody()))
		i.lease = l.Lease
		m.knownLeases[l.Lease] = true
		m.highestLease = max(m.highestLease, l.Lease)
		m.history = append(m.history, leasedItem{job: l.Job, index: uint64(l.Index), lease: l.Lease})
	}
}

// Complete reports outcomes of items that were leased at any time before, some of
// them under a lease that never existed.
func (m *modelTest) Complete(t *rapid.T) {
	if len(m.history) == 0 {
		t.Skip("nothing was leased")
	}
	li := rapid.SampledFrom(m.history).Draw(t, "item")
	if rapid.IntRange(0, 15).Draw(t, "forged") == 0 {
		li.lease += uint64(rapid.IntRange(1, 3).Draw(t, "by"))
	}
	outcome := rapid.SampledFrom([]toucanhingev1.Outcome{
		toucanhingev1.Outcome_OUTCOME_DONE, toucanhingev1.Outcome_OUTCOME_DONE, toucanhingev1.Outcome_OUTCOME_FAILED,
		toucanhingev1.Outcome_OUTCOME_RETRY, toucanhingev1.Outcome_OUTCOME_RETURNED,
	}).Draw(t, "outcome")
	body := fmt.Sprintf("result-%d", len(m.log))
	want := m.expect(li)
	answer := m.step(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Complete{Complete: &toucanhingev1.CompleteRequest{
		Completions: []*toucanhingev1.Completion{{
			Job: li.job, Index: li.index, Lease: li.lease, Outcome: outcome, Body: []byte(body), Reason: "a reason",
		}},
	}}}).(CompleteResult)
	require.Equal(t, []toucanhingev1.Verdict{want}, answer.Verdicts)
	if want != toucanhingev1.Verdict_VERDICT_ACCEPTED {
		return
	}
	i := &m.jobs[li.job].items[li.index]
	i.lease = 0
	switch outcome {
	case toucanhingev1.Outcome_OUTCOME_DONE, toucanhingev1.Outcome_OUTCOME_FAILED:
		*i = modelItem{decided: true, body: body, outcome: outcome}
	case toucanhingev1.Outcome_OUTCOME_RETRY:
		m.applyAttemptLimit(li)
	}
	m.updateJobState(li.job)
}

func (m *modelTest) expect(li leasedItem) toucanhingev1.Verdict {
	j := m.jobs[li.job]
	switch {
	case j == nil:
		return toucanhingev1.Verdict_VERDICT_STALE
	case j.items[li.index].decided:
		return toucanhingev1.Verdict_VERDICT_DECIDED
	case j.state == toucanhingev1.JobState_JOB_STATE_CANCELLED:
		return toucanhingev1.Verdict_VERDICT_CANCELLED
	case j.items[li.index].lease != li.lease:
		return toucanhingev1.Verdict_VERDICT_STALE
	default:
		return toucanhingev1.Verdict_VERDICT_ACCEPTED
	}
}

// applyAttemptLimit marks an item in the model as failed if the machine ended it at
// its attempt limit. The tests of poison items check when this has to happen.
func (m *modelTest) applyAttemptLimit(li leasedItem) {
	page, err := m.machine.Results("", li.job, li.index)
	require.NoError(m.t, err)
	if len(page.Decided) > 0 && page.Decided[0].Index == li.index {
		m.jobs[li.job].items[li.index] = modelItem{decided: true, outcome: toucanhingev1.Outcome_OUTCOME_FAILED}
	}
}

func (m *modelTest) updateJobState(id string) {
	j := m.jobs[id]
	if !slices.ContainsFunc(j.items, func(i modelItem) bool { return !i.decided }) {
		j.state = toucanhingev1.JobState_JOB_STATE_FINISHED
	}
}

// Finish reports all leased items as done, so that some jobs finish.
func (m *modelTest) Finish(*rapid.T) {
	for _, li := range slices.Clone(m.history) {
		if m.expect(li) != toucanhingev1.Verdict_VERDICT_ACCEPTED {
			continue
		}
		body := fmt.Sprintf("result-%d", len(m.log))
		m.step(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Complete{Complete: &toucanhingev1.CompleteRequest{
			Completions: []*toucanhingev1.Completion{{
				Job: li.job, Index: li.index, Lease: li.lease, Outcome: toucanhingev1.Outcome_OUTCOME_DONE, Body: []byte(body),
			}},
		}}})
		m.jobs[li.job].items[li.index] = modelItem{decided: true, body: body, outcome: toucanhingev1.Outcome_OUTCOME_DONE}
		m.updateJobState(li.job)
	}
}

// Expire ends a lease, possibly one that has ended already.
func (m *modelTest) Expire(t *rapid.T) {
	if len(m.history) == 0 {
		t.Skip("nothing was leased")
	}
	li := rapid.SampledFrom(m.history).Draw(t, "lease")
	cause := rapid.SampledFrom([]toucanhingev1.ExpiryCause{
		toucanhingev1.ExpiryCause_EXPIRY_CAUSE_RUN_OUT, toucanhingev1.ExpiryCause_EXPIRY_CAUSE_RESTARTED,
		toucanhingev1.ExpiryCause_EXPIRY_CAUSE_UNKNOWN_TO_HOLDER,
	}).Draw(t, "cause")
	m.step(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Expire{
		Expire: &toucanhingev1.ExpireStep{Leases: []uint64{li.lease}, Cause: cause},
	}})
	for _, h := range m.history {
		j := m.jobs[h.job]
		if h.lease != li.lease || j == nil || j.items[h.index].lease != h.lease {
			continue
		}
		j.items[h.index].lease = 0
		m.applyAttemptLimit(h)
		m.updateJobState(h.job)
	}
}

// Cancel cancels a job. A finished job stays finished.
func (m *modelTest) Cancel(t *rapid.T) {
	id := rapid.SampledFrom([]string{"j1-a", "j1-b", "j1-c", "j1-d"}).Draw(t, "job")
	if rapid.IntRange(0, 3).Draw(t, "really") != 0 {
		t.Skip("jobs are cancelled rarely, so that some make progress")
	}
	answer := m.step(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Cancel{Cancel: &toucanhingev1.CancelJobRequest{Id: id}}}).(CancelResult)
	j := m.jobs[id]
	if j == nil {
		require.ErrorIs(t, answer.Err, ErrNoJob)
		return
	}
	if j.state == toucanhingev1.JobState_JOB_STATE_ACCEPTED {
		j.state = toucanhingev1.JobState_JOB_STATE_CANCELLED
		for n := range j.items {
			j.items[n].lease = 0
		}
	}
	require.Equal(t, j.state, answer.Status.GetState())
}

// Sweep advances the time and drops jobs that ended long ago.
func (m *modelTest) Sweep(t *rapid.T) {
	m.now += int64(rapid.IntRange(0, 3_000).Draw(t, "passed"))
	before := m.now - int64(rapid.IntRange(0, 20_000).Draw(t, "kept"))
	m.step(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Sweep{
		Sweep: &toucanhingev1.JobSweepStep{UploadsBeforeMs: before, JobsBeforeMs: before},
	}})
	m.machine.View(func(s *State) {
		for id, j := range m.jobs {
			if s.jobs[id] == nil {
				require.NotEqual(t, toucanhingev1.JobState_JOB_STATE_ACCEPTED, j.state, "a running job was dropped")
				delete(m.jobs, id)
			}
		}
	})
}

// Checkpoint creates a manifest and discards the log before it.
func (m *modelTest) Checkpoint(t *rapid.T) {
	manifest, err := m.machine.Checkpoint()
	require.NoError(t, err)
	m.manifest, m.log, m.answers = manifest, nil, nil
}

// Crash discards the state in memory. Segment records written after the checkpoint
// may remain in part. Replaying the log must give the same answers.
func (m *modelTest) Crash(t *rapid.T) {
	m.machine.Close()
	m.machine = openMachine(t, m.machine.config.Folder, m.manifest)
	m.replay(t)
}

func (m *modelTest) replay(t *rapid.T) {
	for n, command := range m.log {
		answers := m.machine.Apply(0, command).([]any)
		require.Equal(t, fmt.Sprint(m.answers[n]...), fmt.Sprint(answers...), "the replay returned another answer")
	}
}

// Transfer exports the state to another machine, as to a replica that lost its disk.
func (m *modelTest) Transfer(t *rapid.T) {
	var wire bytes.Buffer
	manifest, err := m.machine.Checkpoint()
	require.NoError(t, err)
	require.NoError(t, m.machine.Export(manifest, &wire))
	other := openMachine(t, m.newFolder(), nil)
	m.manifest, err = other.Import(&wire)
	require.NoError(t, err)
	m.machine.Close()
	m.machine, m.log, m.answers = other, nil, nil
}

// LostCheckpoint crashes after a checkpoint was created and before its manifest was
// stored. The previous checkpoint must still load.
func (m *modelTest) LostCheckpoint(t *rapid.T) {
	_, err := m.machine.Checkpoint()
	require.NoError(t, err)
	m.Crash(t)
}

// LostImport crashes after another state was imported and before its manifest was
// stored. The state before the import must still load.
func (m *modelTest) LostImport(t *rapid.T) {
	var wire bytes.Buffer
	empty := openMachine(t, m.newFolder(), nil)
	defer empty.Close()
	manifest, err := empty.Checkpoint()
	require.NoError(t, err)
	require.NoError(t, empty.Export(manifest, &wire))
	_, err = m.machine.Import(&wire)
	require.NoError(t, err)
	m.Crash(t)
}

// check compares all readable state with the model.
func (m *modelTest) check(t *rapid.T) {
	for id, j := range m.jobs {
		whole, err := m.machine.Results("", id, 0)
		require.NoError(t, err)
		page := whole.Decided
		m.machine.View(func(s *State) {
			status := s.jobs[id].status()
			require.Equal(t, j.state, status.GetState())
			leased := 0
			for _, i := range j.items {
				if i.lease != 0 {
					leased++
				}
			}
			require.EqualValues(t, leased, status.GetLeased())
			require.Equal(t, j.state == toucanhingev1.JobState_JOB_STATE_FINISHED, s.jobs[id].sealed != nil && len(s.jobs[id].items) == 0, "only a finished job is sealed and has no items in memory")
		})
		next := 0
		for index, i := range j.items {
			if !i.decided {
				continue
			}
			require.Less(t, next, len(page), "a decided item has no result")
			require.EqualValues(t, index, page[next].Index)
			m.checkResult(t, i, page[next])
			next++
		}
		require.Len(t, page, next, "an undecided item has a result")
		rest, err := m.machine.Results("", id, 1)
		require.NoError(t, err)
		wantRest := slices.DeleteFunc(slices.Clone(page), func(d Decided) bool { return d.Index < 1 })
		require.True(t, slices.Equal(wantRest, rest.Decided), "want %v, got %v", wantRest, rest.Decided)
	}
}

func (m *modelTest) checkResult(t *rapid.T, i modelItem, d Decided) {
	payloads, err := m.machine.ReadResults([]segment.Ref{d.Result})
	require.NoError(t, err)
	result := &toucanhingev1.Result{}
	require.NoError(t, proto.Unmarshal(payloads[0], result))
	require.Equal(t, i.outcome, result.GetOutcome())
	require.Equal(t, d.Index, result.GetIndex())
	require.Equal(t, i.body, string(result.GetBody()))
}

// checkAllReleased cancels and drops all jobs and uploads. No segment may then count
// a live record: such a record would be unreachable and keep its file forever.
func (m *modelTest) checkAllReleased(t *rapid.T) {
	for id := range m.jobs {
		m.step(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Cancel{Cancel: &toucanhingev1.CancelJobRequest{Id: id}}})
	}
	m.now++
	m.step(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Sweep{
		Sweep: &toucanhingev1.JobSweepStep{UploadsBeforeMs: m.now + 1, JobsBeforeMs: m.now + 1},
	}})
	manifest, err := m.machine.Checkpoint()
	require.NoError(t, err)
	snapshot := &toucanhingev1.JobSnapshot{}
	require.NoError(t, proto.Unmarshal(manifest, snapshot))
	for _, list := range [][]*toucanhingev1.Segment{snapshot.GetItems(), snapshot.GetResults()} {
		require.LessOrEqual(t, len(list), 1, "only the current segment may remain")
		for _, f := range list {
			require.Zero(t, f.GetLive())
		}
	}
}

// TestRapidJobs compares the machine with a model of plain maps during uploads and
// resends, leases, late, duplicate and forged outcomes, lost leases, cancellations,
// retention, crashes and transfers to another disk. It checks that an accepted item
// has one result, the first one reported under its live lease, that the result stays
// readable, and that no item of a cancelled job is leased or counted.
func TestRapidJobs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := 0
		root, err := os.MkdirTemp(t.TempDir(), "trial")
		require.NoError(rt, err)
		defer func() { _ = os.RemoveAll(root) }()
		m := newModelTest(rt, func() string { n++; return fmt.Sprintf("%s/%d", root, n) })
		defer func() { m.machine.Close() }()
		rt.Repeat(map[string]func(*rapid.T){
			"upload": m.Upload, "lease": m.Lease, "lease again": m.Lease, "complete": m.Complete, "complete again": m.Complete,
			"finish": m.Finish, "expire": m.Expire, "cancel": m.Cancel, "sweep": m.Sweep, "checkpoint": m.Checkpoint, "crash": m.Crash, "ship": m.Transfer,
			"lost checkpoint": m.LostCheckpoint, "lost import": m.LostImport,
			"": m.check,
		})
		m.checkAllReleased(rt)
	})
}
