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
	m := NewMachine(MachineConfig{Folder: folder, Roll: 2_000, Fatal: func(err error) { require.NoError(t, err) }})
	require.NoError(t, m.Load(manifest))
	return m
}

func newModelTest(t *rapid.T, newFolder func() string) *modelTest {
	return &modelTest{
		t: t, newFolder: newFolder, machine: openMachine(t, newFolder(), nil), now: 1,
		jobs: map[string]*modelJob{}, knownLeases: map[uint64]bool{},
	}
}

func (r *modelTest) step(step *toucanhingev1.JobStep) any {
	command, err := proto.Marshal(&toucanhingev1.JobCommand{AtMs: r.now, Steps: []*toucanhingev1.JobStep{step}})
	require.NoError(r.t, err)
	answers := r.machine.Apply(0, command).([]any)
	r.log, r.answers = append(r.log, command), append(r.answers, answers)
	return answers[0]
}

// Upload uploads a job. Some uploads are resends, some reuse the key of another
// job, and some lack a chunk.
func (r *modelTest) Upload(t *rapid.T) {
	id := rapid.SampledFrom([]string{"j1-a", "j1-b", "j1-c", "j1-d"}).Draw(t, "job")
	content := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "content")
	lost := rapid.IntRange(0, 9).Draw(t, "lost") == 0
	team := map[string]string{"j1-a": "agence", "j1-b": "agence", "j1-c": "heredia", "j1-d": "heredia"}[id]
	r.uploads++
	upload := fmt.Sprintf("u%d", r.uploads)
	const count, chunk = 3, 2
	for first := 0; first < count; first += chunk {
		if lost && first == chunk {
			continue
		}
		r.stage(upload, content, first, min(first+chunk, count))
		if rapid.Bool().Draw(t, "twice") {
			r.stage(upload, content, first, min(first+chunk, count))
		}
	}
	answer := r.step(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Accept{Accept: &toucanhingev1.AcceptStep{
		Upload: upload, Id: id, Count: count, Digest: []byte(content), Attempts: 2,
		Header: &toucanhingev1.UploadHeader{Team: team, Key: id, Service: testService, DeadlineMs: r.now + int64(len(id))},
	}}}).(AcceptAnswer)
	known := r.jobs[id]
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
		r.jobs[id] = &modelJob{content: content, state: toucanhingev1.JobState_JOB_STATE_ACCEPTED, items: make([]modelItem, count)}
	}
}

func itemBody(content string, index int) string { return fmt.Sprintf("%s-%d", content, index) }

func (r *modelTest) stage(upload, content string, first, end int) {
	step := &toucanhingev1.StageStep{Upload: upload, First: uint64(first)}
	for i := first; i < end; i++ {
		payload, err := proto.Marshal(&toucanhingev1.Item{CustomId: fmt.Sprint(i), Body: []byte(itemBody(content, i))})
		require.NoError(r.t, err)
		step.Items = append(step.Items, payload)
	}
	r.step(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Stage{Stage: step}})
}

// Lease leases items and checks that none is leased already, decided or cancelled.
func (r *modelTest) Lease(t *rapid.T) {
	sidecar := rapid.SampledFrom([]string{"s1", "s2", "s3"}).Draw(t, "sidecar")
	var excluded []string
	if rapid.IntRange(0, 5).Draw(t, "restricted") == 0 {
		excluded = []string{"agence"}
	}
	answer := r.step(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Lease{Lease: &toucanhingev1.LeaseStep{
		Request: &toucanhingev1.LeaseRequest{
			Sidecar: sidecar, Incarnation: 1, Service: testService, Most: uint32(rapid.IntRange(1, 5).Draw(t, "most")),
		},
		Excluded: excluded,
	}}}).(LeaseAnswer)
	known := r.highestLease
	for _, l := range answer.Items {
		j := r.jobs[l.Job]
		require.Equal(t, toucanhingev1.JobState_JOB_STATE_ACCEPTED, j.state, "leased an item of a job that has ended")
		i := &j.items[l.Index]
		require.False(t, i.decided, "leased a decided item")
		require.Zero(t, i.lease, "leased an item that is already leased")
		require.Greater(t, l.Lease, known, "lease numbers must grow")
		require.NotContains(t, excluded, l.Team)
		require.False(t, l.Alone && len(answer.Items) > 1)
		payloads, err := r.machine.ReadItems([]segment.Ref{l.Body})
		require.NoError(t, err)
		item := &toucanhingev1.Item{}
		require.NoError(t, proto.Unmarshal(payloads[0], item))
		require.Equal(t, itemBody(j.content, int(l.Index)), string(item.GetBody()))
		i.lease = l.Lease
		r.knownLeases[l.Lease] = true
		r.highestLease = max(r.highestLease, l.Lease)
		r.history = append(r.history, leasedItem{job: l.Job, index: uint64(l.Index), lease: l.Lease})
	}
}

// Complete reports outcomes of items that were leased at any time before, some of
// them under a lease that never existed.
func (r *modelTest) Complete(t *rapid.T) {
	if len(r.history) == 0 {
		t.Skip("nothing was leased")
	}
	g := rapid.SampledFrom(r.history).Draw(t, "item")
	if rapid.IntRange(0, 15).Draw(t, "forged") == 0 {
		g.lease += uint64(rapid.IntRange(1, 3).Draw(t, "by"))
	}
	outcome := rapid.SampledFrom([]toucanhingev1.Outcome{
		toucanhingev1.Outcome_OUTCOME_DONE, toucanhingev1.Outcome_OUTCOME_DONE, toucanhingev1.Outcome_OUTCOME_FAILED,
		toucanhingev1.Outcome_OUTCOME_RETRY, toucanhingev1.Outcome_OUTCOME_RETURNED,
	}).Draw(t, "outcome")
	body := fmt.Sprintf("result-%d", len(r.log))
	want := r.expect(g)
	answer := r.step(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Complete{Complete: &toucanhingev1.CompleteRequest{
		Completions: []*toucanhingev1.Completion{{
			Job: g.job, Index: g.index, Lease: g.lease, Outcome: outcome, Body: []byte(body), Reason: "a reason",
		}},
	}}}).(CompleteAnswer)
	require.Equal(t, []toucanhingev1.Verdict{want}, answer.Verdicts)
	if want != toucanhingev1.Verdict_VERDICT_ACCEPTED {
		return
	}
	i := &r.jobs[g.job].items[g.index]
	i.lease = 0
	switch outcome {
	case toucanhingev1.Outcome_OUTCOME_DONE, toucanhingev1.Outcome_OUTCOME_FAILED:
		*i = modelItem{decided: true, body: body, outcome: outcome}
	case toucanhingev1.Outcome_OUTCOME_RETRY:
		r.applyAttemptLimit(g)
	}
	r.updateJobState(g.job)
}

func (r *modelTest) expect(g leasedItem) toucanhingev1.Verdict {
	j := r.jobs[g.job]
	switch {
	case j == nil:
		return toucanhingev1.Verdict_VERDICT_STALE
	case j.items[g.index].decided:
		return toucanhingev1.Verdict_VERDICT_DECIDED
	case j.state == toucanhingev1.JobState_JOB_STATE_CANCELLED:
		return toucanhingev1.Verdict_VERDICT_CANCELLED
	case j.items[g.index].lease != g.lease:
		return toucanhingev1.Verdict_VERDICT_STALE
	default:
		return toucanhingev1.Verdict_VERDICT_ACCEPTED
	}
}

// applyAttemptLimit marks an item in the model as failed if the machine ended it at
// its attempt limit. The tests of poison items check when this has to happen.
func (r *modelTest) applyAttemptLimit(g leasedItem) {
	page, err := r.machine.Results("", g.job, g.index)
	require.NoError(r.t, err)
	if len(page.Decided) > 0 && page.Decided[0].Index == g.index {
		r.jobs[g.job].items[g.index] = modelItem{decided: true, outcome: toucanhingev1.Outcome_OUTCOME_FAILED}
	}
}

func (r *modelTest) updateJobState(id string) {
	j := r.jobs[id]
	if !slices.ContainsFunc(j.items, func(i modelItem) bool { return !i.decided }) {
		j.state = toucanhingev1.JobState_JOB_STATE_FINISHED
	}
}

// Finish reports all leased items as done, so that some jobs finish.
func (r *modelTest) Finish(*rapid.T) {
	for _, g := range slices.Clone(r.history) {
		if r.expect(g) != toucanhingev1.Verdict_VERDICT_ACCEPTED {
			continue
		}
		body := fmt.Sprintf("result-%d", len(r.log))
		r.step(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Complete{Complete: &toucanhingev1.CompleteRequest{
			Completions: []*toucanhingev1.Completion{{
				Job: g.job, Index: g.index, Lease: g.lease, Outcome: toucanhingev1.Outcome_OUTCOME_DONE, Body: []byte(body),
			}},
		}}})
		r.jobs[g.job].items[g.index] = modelItem{decided: true, body: body, outcome: toucanhingev1.Outcome_OUTCOME_DONE}
		r.updateJobState(g.job)
	}
}

// Expire ends a lease, possibly one that has ended already.
func (r *modelTest) Expire(t *rapid.T) {
	if len(r.history) == 0 {
		t.Skip("nothing was leased")
	}
	g := rapid.SampledFrom(r.history).Draw(t, "lease")
	cause := rapid.SampledFrom([]toucanhingev1.ExpiryCause{
		toucanhingev1.ExpiryCause_EXPIRY_CAUSE_RUN_OUT, toucanhingev1.ExpiryCause_EXPIRY_CAUSE_RESTARTED,
		toucanhingev1.ExpiryCause_EXPIRY_CAUSE_UNKNOWN_TO_HOLDER,
	}).Draw(t, "cause")
	r.step(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Expire{
		Expire: &toucanhingev1.ExpireStep{Leases: []uint64{g.lease}, Cause: cause},
	}})
	for _, h := range r.history {
		j := r.jobs[h.job]
		if h.lease != g.lease || j == nil || j.items[h.index].lease != h.lease {
			continue
		}
		j.items[h.index].lease = 0
		r.applyAttemptLimit(h)
		r.updateJobState(h.job)
	}
}

// Cancel cancels a job. A finished job stays finished.
func (r *modelTest) Cancel(t *rapid.T) {
	id := rapid.SampledFrom([]string{"j1-a", "j1-b", "j1-c", "j1-d"}).Draw(t, "job")
	if rapid.IntRange(0, 3).Draw(t, "really") != 0 {
		t.Skip("jobs are cancelled rarely, so that some make progress")
	}
	answer := r.step(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Cancel{Cancel: &toucanhingev1.CancelJobRequest{Id: id}}}).(CancelAnswer)
	j := r.jobs[id]
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
func (r *modelTest) Sweep(t *rapid.T) {
	r.now += int64(rapid.IntRange(0, 3_000).Draw(t, "passed"))
	before := r.now - int64(rapid.IntRange(0, 20_000).Draw(t, "kept"))
	r.step(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Sweep{
		Sweep: &toucanhingev1.JobSweepStep{UploadsBeforeMs: before, JobsBeforeMs: before},
	}})
	r.machine.View(func(s *State) {
		for id, j := range r.jobs {
			if s.jobs[id] == nil {
				require.NotEqual(t, toucanhingev1.JobState_JOB_STATE_ACCEPTED, j.state, "a running job was dropped")
				delete(r.jobs, id)
			}
		}
	})
}

// Checkpoint creates a manifest and discards the log before it.
func (r *modelTest) Checkpoint(t *rapid.T) {
	manifest, err := r.machine.Checkpoint()
	require.NoError(t, err)
	r.manifest, r.log, r.answers = manifest, nil, nil
}

// Crash discards the state in memory. Segment records written after the checkpoint
// may remain in part. Replaying the log must give the same answers.
func (r *modelTest) Crash(t *rapid.T) {
	r.machine.Close()
	r.machine = openMachine(t, r.machine.config.Folder, r.manifest)
	r.replay(t)
}

func (r *modelTest) replay(t *rapid.T) {
	for n, command := range r.log {
		answers := r.machine.Apply(0, command).([]any)
		require.Equal(t, fmt.Sprint(r.answers[n]...), fmt.Sprint(answers...), "the replay returned another answer")
	}
}

// Transfer exports the state to another machine, as to a replica that lost its disk.
func (r *modelTest) Transfer(t *rapid.T) {
	var wire bytes.Buffer
	manifest, err := r.machine.Checkpoint()
	require.NoError(t, err)
	require.NoError(t, r.machine.Export(manifest, &wire))
	other := openMachine(t, r.newFolder(), nil)
	r.manifest, err = other.Import(&wire)
	require.NoError(t, err)
	r.machine.Close()
	r.machine, r.log, r.answers = other, nil, nil
}

// LostCheckpoint crashes after a checkpoint was created and before its manifest was
// stored. The previous checkpoint must still load.
func (r *modelTest) LostCheckpoint(t *rapid.T) {
	_, err := r.machine.Checkpoint()
	require.NoError(t, err)
	r.Crash(t)
}

// LostImport crashes after another state was imported and before its manifest was
// stored. The state before the import must still load.
func (r *modelTest) LostImport(t *rapid.T) {
	var wire bytes.Buffer
	empty := openMachine(t, r.newFolder(), nil)
	defer empty.Close()
	manifest, err := empty.Checkpoint()
	require.NoError(t, err)
	require.NoError(t, empty.Export(manifest, &wire))
	_, err = r.machine.Import(&wire)
	require.NoError(t, err)
	r.Crash(t)
}

// check compares all readable state with the model.
func (r *modelTest) check(t *rapid.T) {
	for id, j := range r.jobs {
		whole, err := r.machine.Results("", id, 0)
		require.NoError(t, err)
		page := whole.Decided
		r.machine.View(func(s *State) {
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
			r.checkResult(t, i, page[next])
			next++
		}
		require.Len(t, page, next, "an undecided item has a result")
		rest, err := r.machine.Results("", id, 1)
		require.NoError(t, err)
		wantRest := slices.DeleteFunc(slices.Clone(page), func(d Decided) bool { return d.Index < 1 })
		require.True(t, slices.Equal(wantRest, rest.Decided), "want %v, got %v", wantRest, rest.Decided)
	}
}

func (r *modelTest) checkResult(t *rapid.T, i modelItem, d Decided) {
	payloads, err := r.machine.ReadResults([]segment.Ref{d.Result})
	require.NoError(t, err)
	result := &toucanhingev1.Result{}
	require.NoError(t, proto.Unmarshal(payloads[0], result))
	require.Equal(t, i.outcome, result.GetOutcome())
	require.Equal(t, d.Index, result.GetIndex())
	require.Equal(t, i.body, string(result.GetBody()))
}

// checkAllReleased cancels and drops all jobs and uploads. No segment may then count
// a live record: such a record would be unreachable and keep its file forever.
func (r *modelTest) checkAllReleased(t *rapid.T) {
	for id := range r.jobs {
		r.step(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Cancel{Cancel: &toucanhingev1.CancelJobRequest{Id: id}}})
	}
	r.now++
	r.step(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Sweep{
		Sweep: &toucanhingev1.JobSweepStep{UploadsBeforeMs: r.now + 1, JobsBeforeMs: r.now + 1},
	}})
	manifest, err := r.machine.Checkpoint()
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
		r := newModelTest(rt, func() string { n++; return fmt.Sprintf("%s/%d", root, n) })
		defer func() { r.machine.Close() }()
		rt.Repeat(map[string]func(*rapid.T){
			"upload": r.Upload, "lease": r.Lease, "lease again": r.Lease, "complete": r.Complete, "complete again": r.Complete,
			"finish": r.Finish, "expire": r.Expire, "cancel": r.Cancel, "sweep": r.Sweep, "checkpoint": r.Checkpoint, "crash": r.Crash, "ship": r.Transfer,
			"lost checkpoint": r.LostCheckpoint, "lost import": r.LostImport,
			"": r.check,
		})
		r.checkAllReleased(rt)
	})
}
