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

// TestMain fixes the seed and the length of the fuzzing; flags on the command
// line win, as those of `make soak`, which takes new seeds.
func TestMain(m *testing.M) {
	seed.Main(m, 11, seed.Length{Checks: 60, Steps: 150})
}

const testService = "servitudes-llm"

// modelItem is what the oracle knows of an item.
type modelItem struct {
	lease   uint64
	decided bool
	body    string
	outcome toucanhingev1.Outcome
}

// modelJob is what the oracle knows of a job.
type modelJob struct {
	content string
	state   toucanhingev1.JobState
	items   []modelItem
}

// given is an item that was handed out at some time.
type given struct {
	job   string
	index uint64
	lease uint64
}

// trial drives a machine and the oracle side by side.
type trial struct {
	t       *rapid.T
	folders func() string
	machine *Machine
	now     int64

	jobs    map[string]*modelJob
	history []given
	highest uint64
	live    map[uint64]bool
	// manifest and log are the last checkpoint and what was applied since, with
	// the answers that it gave.
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

func newTrial(t *rapid.T, folders func() string) *trial {
	return &trial{
		t: t, folders: folders, machine: openMachine(t, folders(), nil), now: 1,
		jobs: map[string]*modelJob{}, live: map[uint64]bool{},
	}
}

func (r *trial) step(step *toucanhingev1.JobStep) any {
	command, err := proto.Marshal(&toucanhingev1.JobCommand{AtMs: r.now, Steps: []*toucanhingev1.JobStep{step}})
	require.NoError(r.t, err)
	answers := r.machine.Apply(0, command).([]any)
	r.log, r.answers = append(r.log, command), append(r.answers, answers)
	return answers[0]
}

// Upload sends a job, sometimes again, sometimes another one under its key,
// sometimes without a chunk.
func (r *trial) Upload(t *rapid.T) {
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

func (r *trial) stage(upload, content string, first, end int) {
	step := &toucanhingev1.StageStep{Upload: upload, First: uint64(first)}
	for i := first; i < end; i++ {
		payload, err := proto.Marshal(&toucanhingev1.Item{CustomId: fmt.Sprint(i), Body: []byte(itemBody(content, i))})
		require.NoError(r.t, err)
		step.Items = append(step.Items, payload)
	}
	r.step(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Stage{Stage: step}})
}

// Lease hands out items: never one that is out, decided or cancelled.
func (r *trial) Lease(t *rapid.T) {
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
	known := r.highest
	for _, l := range answer.Items {
		j := r.jobs[l.Job]
		require.Equal(t, toucanhingev1.JobState_JOB_STATE_ACCEPTED, j.state, "leased of a job that ended")
		i := &j.items[l.Index]
		require.False(t, i.decided, "leased after its end")
		require.Zero(t, i.lease, "leased twice at a time")
		require.Greater(t, l.Lease, known, "lease numbers must grow")
		require.NotContains(t, excluded, l.Team)
		require.False(t, l.Alone && len(answer.Items) > 1)
		payloads, err := r.machine.ReadItems([]segment.Ref{l.Body})
		require.NoError(t, err)
		item := &toucanhingev1.Item{}
		require.NoError(t, proto.Unmarshal(payloads[0], item))
		require.Equal(t, itemBody(j.content, int(l.Index)), string(item.GetBody()))
		i.lease = l.Lease
		r.live[l.Lease] = true
		r.highest = max(r.highest, l.Lease)
		r.history = append(r.history, given{job: l.Job, index: uint64(l.Index), lease: l.Lease})
	}
}

// Complete reports outcomes of items handed out at any time, also long ago, also
// under a lease that never was.
func (r *trial) Complete(t *rapid.T) {
	if len(r.history) == 0 {
		t.Skip("nothing was handed out")
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
		r.learnLimit(g)
	}
	r.learnEnd(g.job)
}

func (r *trial) expect(g given) toucanhingev1.Verdict {
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

// learnLimit takes over that an item ended at its attempt limit; when that is
// due is checked by the tests of poison items.
func (r *trial) learnLimit(g given) {
	page, err := r.machine.Results("", g.job, g.index)
	require.NoError(r.t, err)
	if len(page.Decided) > 0 && page.Decided[0].Index == g.index {
		r.jobs[g.job].items[g.index] = modelItem{decided: true, outcome: toucanhingev1.Outcome_OUTCOME_FAILED}
	}
}

func (r *trial) learnEnd(id string) {
	j := r.jobs[id]
	if !slices.ContainsFunc(j.items, func(i modelItem) bool { return !i.decided }) {
		j.state = toucanhingev1.JobState_JOB_STATE_FINISHED
	}
}

// Finish reports all that is out as done, so that some jobs get to their end.
func (r *trial) Finish(*rapid.T) {
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
		r.learnEnd(g.job)
	}
}

// Expire ends leases, also some that ended already.
func (r *trial) Expire(t *rapid.T) {
	if len(r.history) == 0 {
		t.Skip("nothing was handed out")
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
		r.learnLimit(h)
		r.learnEnd(h.job)
	}
}

// Cancel ends a job; a finished one stays finished.
func (r *trial) Cancel(t *rapid.T) {
	id := rapid.SampledFrom([]string{"j1-a", "j1-b", "j1-c", "j1-d"}).Draw(t, "job")
	if rapid.IntRange(0, 3).Draw(t, "really") != 0 {
		t.Skip("cancelled seldom, so that jobs get far")
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

// Sweep lets time pass and drops what ended long ago.
func (r *trial) Sweep(t *rapid.T) {
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

// Checkpoint makes a manifest; the log before it is not needed any more.
func (r *trial) Checkpoint(t *rapid.T) {
	manifest, err := r.machine.Checkpoint()
	require.NoError(t, err)
	r.manifest, r.log, r.answers = manifest, nil, nil
}

// Crash loses everything in memory and whatever of the segments was written
// after the checkpoint is there in part; the log is replayed and must give the
// same answers.
func (r *trial) Crash(t *rapid.T) {
	r.machine.Close()
	r.machine = openMachine(t, r.machine.config.Folder, r.manifest)
	r.replay(t)
}

func (r *trial) replay(t *rapid.T) {
	for n, command := range r.log {
		answers := r.machine.Apply(0, command).([]any)
		require.Equal(t, fmt.Sprint(r.answers[n]...), fmt.Sprint(answers...), "a replay gave another answer")
	}
}

// Transfer moves the state to another machine, as to a replica that lost its disk.
func (r *trial) Transfer(t *rapid.T) {
	var wire bytes.Buffer
	manifest, err := r.machine.Checkpoint()
	require.NoError(t, err)
	require.NoError(t, r.machine.Export(manifest, &wire))
	other := openMachine(t, r.folders(), nil)
	r.manifest, err = other.Import(&wire)
	require.NoError(t, err)
	r.machine.Close()
	r.machine, r.log, r.answers = other, nil, nil
}

// LostCheckpoint crashes after a checkpoint was made and before it was noted:
// the one before it must still load.
func (r *trial) LostCheckpoint(t *rapid.T) {
	_, err := r.machine.Checkpoint()
	require.NoError(t, err)
	r.Crash(t)
}

// LostImport crashes after a state was received over the present one and before
// that was noted: the present one must still load.
func (r *trial) LostImport(t *rapid.T) {
	var wire bytes.Buffer
	empty := openMachine(t, r.folders(), nil)
	defer empty.Close()
	manifest, err := empty.Checkpoint()
	require.NoError(t, err)
	require.NoError(t, empty.Export(manifest, &wire))
	_, err = r.machine.Import(&wire)
	require.NoError(t, err)
	r.Crash(t)
}

// check compares all that can be read with the oracle.
func (r *trial) check(t *rapid.T) {
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
			require.Equal(t, j.state == toucanhingev1.JobState_JOB_STATE_FINISHED, s.jobs[id].sealed != nil && len(s.jobs[id].items) == 0, "a finished job leaves the memory")
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
		require.Len(t, page, next, "a result of an undecided item")
		rest, err := r.machine.Results("", id, 1)
		require.NoError(t, err)
		want := slices.DeleteFunc(slices.Clone(page), func(d Decided) bool { return d.Index < 1 })
		require.True(t, slices.Equal(want, rest.Decided), "%v and %v", want, rest.Decided)
	}
}

func (r *trial) checkResult(t *rapid.T, i modelItem, d Decided) {
	payloads, err := r.machine.ReadResults([]segment.Ref{d.Result})
	require.NoError(t, err)
	result := &toucanhingev1.Result{}
	require.NoError(t, proto.Unmarshal(payloads[0], result))
	require.Equal(t, i.outcome, result.GetOutcome())
	require.Equal(t, d.Index, result.GetIndex())
	require.Equal(t, i.body, string(result.GetBody()))
}

// drop ends and drops everything; no segment may then be held by a record that
// nobody can reach any more.
func (r *trial) drop(t *rapid.T) {
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
		require.LessOrEqual(t, len(list), 1, "more than the present segment is kept")
		for _, f := range list {
			require.Zero(t, f.GetLive())
		}
	}
}

// TestRapidJobs steps the machine through uploads and resends, leases, outcomes
// late, doubled and forged, lost leases, cancellations, retention, crashes at
// any moment and moves to another disk, beside an oracle of plain maps. It
// proves: an accepted item has one result, the first under its live lease, and
// the result stays readable; nothing of a cancelled job is leased or counted.
func TestRapidJobs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := 0
		root, err := os.MkdirTemp(t.TempDir(), "trial")
		require.NoError(rt, err)
		defer func() { _ = os.RemoveAll(root) }()
		r := newTrial(rt, func() string { n++; return fmt.Sprintf("%s/%d", root, n) })
		defer func() { r.machine.Close() }()
		rt.Repeat(map[string]func(*rapid.T){
			"upload": r.Upload, "lease": r.Lease, "lease again": r.Lease, "complete": r.Complete, "complete again": r.Complete,
			"finish": r.Finish, "expire": r.Expire, "cancel": r.Cancel, "sweep": r.Sweep, "checkpoint": r.Checkpoint, "crash": r.Crash, "ship": r.Transfer,
			"lost checkpoint": r.LostCheckpoint, "lost import": r.LostImport,
			"": r.check,
		})
		r.drop(rt)
	})
}
