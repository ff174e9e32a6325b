package fleetstate

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/seed"
	"toucanhinge.example/common/pkg/world"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// TestMain fixes the seed and the length of the fuzzing; flags on the command
// line win, as those of `make soak`, which takes new seeds.
func TestMain(m *testing.M) {
	seed.Main(m, 13, seed.Length{Steps: 150})
}

// asked is a request that was sent before, with the first answer to it.
type asked struct {
	request *toucanhingev1.ApplyRequest
	answer  *toucanhingev1.ApplyResponse
}

// watcher is a process that follows the configuration, as in package control.
type watcher struct {
	fleet *world.Fleet
}

// modelClaim is what the oracle knows of a claimed request.
type modelClaim struct {
	token    string
	deadline int64
	ran      bool
	unknown  bool
}

// trial drives a machine and the oracle side by side.
type trial struct {
	t       *rapid.T
	machine *Machine
	now     int64

	entries  map[world.Key]*toucanhingev1.Entry
	version  uint64
	asked    []asked
	members  map[string]uint64
	claims   map[claimKey]*modelClaim
	watchers []watcher

	manifest []byte
	log      [][]byte
	answers  [][]any
}

func newTrial(t *rapid.T) *trial {
	r := &trial{
		t: t, now: 1, entries: map[world.Key]*toucanhingev1.Entry{}, members: map[string]uint64{},
		claims: map[claimKey]*modelClaim{}, watchers: []watcher{{world.Empty()}, {world.Empty()}, {world.Empty()}},
	}
	r.machine = r.open(nil)
	return r
}

func (r *trial) open(manifest []byte) *Machine {
	m := NewMachine(MachineConfig{Fatal: func(err error) { require.NoError(r.t, err) }})
	require.NoError(r.t, m.Load(manifest))
	return m
}

func (r *trial) step(step *toucanhingev1.FleetStep) any {
	command, err := proto.Marshal(&toucanhingev1.FleetCommand{AtMs: r.now, Steps: []*toucanhingev1.FleetStep{step}})
	require.NoError(r.t, err)
	answers := r.machine.Apply(0, command).([]any)
	r.log, r.answers = append(r.log, command), append(r.answers, answers)
	return answers[0]
}

func (r *trial) apply(request *toucanhingev1.ApplyRequest) *toucanhingev1.ApplyResponse {
	return r.step(&toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_Apply{
		Apply: &toucanhingev1.ApplyStep{Request: proto.CloneOf(request), LoadIntervalMs: 100},
	}}).(*toucanhingev1.ApplyResponse)
}

// take books an accepted change in the oracle.
func (r *trial) take(e *toucanhingev1.Entry) {
	require.Equal(r.t, r.version+1, e.GetVersion(), "each change makes the next version")
	r.version++
	r.entries[world.Key{Kind: e.GetKind(), Name: e.GetName()}] = e
}

// Change asks for a change that is based on the present version, on an older
// one, or on none. Of those that name one version exactly one can win.
func (r *trial) Change(t *rapid.T) {
	key := world.Key{Kind: toucanhingev1.Kind_KIND_DATA_CENTRE, Name: rapid.SampledFrom([]string{"agdal", "temara", "hay-riad"}).Draw(t, "name")}
	present := r.entries[key]
	base := rapid.SampledFrom([]uint64{0, present.GetVersion(), present.GetVersion(), r.version}).Draw(t, "base")
	request := &toucanhingev1.ApplyRequest{
		RequestId: fmt.Sprintf("r%d", len(r.asked)), BaseVersion: base, Author: "op",
		Entry: &toucanhingev1.Entry{
			Kind: key.Kind, Name: key.Name, Removed: rapid.IntRange(0, 3).Draw(t, "removed") == 0,
			Body: &toucanhingev1.Entry_DataCentre{DataCentre: &toucanhingev1.DataCentre{Region: fmt.Sprint(r.now)}},
		},
	}
	answer := r.apply(request)
	r.asked = append(r.asked, asked{request: request, answer: proto.CloneOf(answer)})
	gone := present == nil || present.GetRemoved()
	want := base == present.GetVersion() || (gone && base == 0)
	if request.GetEntry().GetRemoved() && gone {
		want = false
	}
	require.Equal(t, want, answer.GetAccepted(), answer.GetReason())
	if !want {
		require.NotEmpty(t, answer.GetReason())
		require.True(t, proto.Equal(present, answer.GetEntry()), "the loser is shown the winner")
		return
	}
	r.take(answer.GetEntry())
}

// Resend sends an earlier request again, sometimes with another change in it.
func (r *trial) Resend(t *rapid.T) {
	if len(r.asked) == 0 {
		t.Skip("nothing was asked")
	}
	a := rapid.SampledFrom(r.asked).Draw(t, "request")
	if rapid.IntRange(0, 4).Draw(t, "altered") == 0 {
		other := proto.CloneOf(a.request)
		other.Entry.Name += "x"
		answer := r.apply(other)
		require.False(t, answer.GetAccepted())
		require.Contains(t, answer.GetReason(), CodeReusedID)
		return
	}
	require.True(t, proto.Equal(a.answer, r.apply(a.request)), "a resend gets the first answer")
}

// Beat registers processes that restart, and old ones that thaw.
func (r *trial) Beat(t *rapid.T) {
	name := rapid.SampledFrom([]string{"s1", "g1"}).Draw(t, "name")
	incarnation := uint64(rapid.IntRange(1, 5).Draw(t, "incarnation"))
	state := rapid.SampledFrom([]toucanhingev1.MemberState{
		toucanhingev1.MemberState_MEMBER_STATE_READY, toucanhingev1.MemberState_MEMBER_STATE_LEAVING,
	}).Draw(t, "state")
	member := &toucanhingev1.Member{Role: toucanhingev1.Role_ROLE_SIDECAR, Incarnation: incarnation, State: state, Address: "10.0.0.1:1"}
	answer := r.step(&toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_Member{
		Member: &toucanhingev1.MemberStep{Name: name, Member: proto.CloneOf(member)},
	}}).(MemberResult)
	require.Equal(t, incarnation >= r.members[name], answer.Current, "an old process takes nobody's place")
	if !answer.Current {
		return
	}
	r.members[name] = incarnation
	key := world.Key{Kind: toucanhingev1.Kind_KIND_MEMBER, Name: name}
	if !proto.Equal(r.entries[key].GetMember(), member) {
		r.takePresent(key)
	}
}

// takePresent books a change that the system itself made.
func (r *trial) takePresent(key world.Key) {
	r.machine.View(func(s *State) { r.take(s.entries[key]) })
}

// ExpireLease lets a member's lease run out, also one that was judged by what it was.
func (r *trial) ExpireLease(t *rapid.T) {
	name := rapid.SampledFrom([]string{"s1", "g1"}).Draw(t, "name")
	incarnation := uint64(rapid.IntRange(1, 5).Draw(t, "incarnation"))
	forget := rapid.Bool().Draw(t, "forget")
	answer := r.step(&toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_MemberEnd{
		MemberEnd: &toucanhingev1.MemberEndStep{Name: name, Incarnation: incarnation, Forget: forget},
	}}).(MemberEndResult)
	key := world.Key{Kind: toucanhingev1.Kind_KIND_MEMBER, Name: name}
	e := r.entries[key]
	dead := e.GetMember().GetState() == toucanhingev1.MemberState_MEMBER_STATE_DEAD
	want := e != nil && !e.GetRemoved() && r.members[name] == incarnation && dead == forget
	require.Equal(t, want, answer.Changed)
	if want {
		r.takePresent(key)
	}
	if want && forget {
		r.members[name] = 0
	}
}

// Order tells an endpoint what to be; fencing numbers only grow.
func (r *trial) Order(t *rapid.T) {
	key := world.Key{Kind: toucanhingev1.Kind_KIND_ORDER, Name: "s1"}
	request := &toucanhingev1.ApplyRequest{
		RequestId: fmt.Sprintf("r%d", len(r.asked)), BaseVersion: r.entries[key].GetVersion(),
		Entry: &toucanhingev1.Entry{Kind: key.Kind, Name: key.Name, Body: &toucanhingev1.Entry_Order{Order: &toucanhingev1.Order{
			Endpoint: "s1", Kind: toucanhingev1.OrderKind_ORDER_KIND_LOAD_MODEL, Model: "m",
		}}},
	}
	answer := r.apply(request)
	r.asked = append(r.asked, asked{request: request, answer: proto.CloneOf(answer)})
	require.Equal(t, r.members["s1"] != 0, answer.GetAccepted(), answer.GetReason())
	if !answer.GetAccepted() {
		return
	}
	last := r.entries[key].GetOrder().GetNotBeforeMs()
	require.GreaterOrEqual(t, answer.GetEntry().GetOrder().GetNotBeforeMs(), max(r.now, last+100), "the weight store's rate")
	r.take(answer.GetEntry())
}

// Claim lets tries ask for a request: one token at most is ever granted, until
// its holder says that it certainly did not run.
func (r *trial) Claim(t *rapid.T) {
	key := claimKey{team: "agence", request: rapid.SampledFrom([]string{"q1", "q2"}).Draw(t, "request")}
	token := rapid.SampledFrom([]string{"t1", "t2", "t3"}).Draw(t, "token")
	deadline := r.now + 1_000
	answer := r.step(&toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_Claim{Claim: &toucanhingev1.ClaimRequest{
		Team: key.team, RequestId: key.request, Token: token, DeadlineMs: deadline,
	}}}).(ClaimResult)
	c := r.claims[key]
	want := toucanhingev1.ClaimState_CLAIM_STATE_GRANTED
	switch {
	case c == nil:
		r.claims[key] = &modelClaim{token: token, deadline: deadline}
	case c.ran:
		want = toucanhingev1.ClaimState_CLAIM_STATE_RUN
	case c.unknown:
		want = toucanhingev1.ClaimState_CLAIM_STATE_UNKNOWN
	case c.token != token && r.now > c.deadline+int64(settleGrace):
		want, c.unknown = toucanhingev1.ClaimState_CLAIM_STATE_UNKNOWN, true
	case c.token != token:
		want = toucanhingev1.ClaimState_CLAIM_STATE_HELD
	}
	require.Equal(t, want, answer.State)
}

// Settle ends claims, also by tokens that don't hold them.
func (r *trial) Settle(t *rapid.T) {
	key := claimKey{team: "agence", request: rapid.SampledFrom([]string{"q1", "q2"}).Draw(t, "request")}
	token := rapid.SampledFrom([]string{"t1", "t2", "t3"}).Draw(t, "token")
	state := rapid.SampledFrom([]toucanhingev1.ClaimState{
		toucanhingev1.ClaimState_CLAIM_STATE_RUN, toucanhingev1.ClaimState_CLAIM_STATE_UNKNOWN, toucanhingev1.ClaimState_CLAIM_STATE_UNSPECIFIED,
	}).Draw(t, "state")
	r.step(&toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_Settle{Settle: &toucanhingev1.SettleRequest{
		Team: key.team, RequestId: key.request, Token: token, State: state,
	}}})
	c := r.claims[key]
	switch {
	case c == nil || c.token != token:
	case state == toucanhingev1.ClaimState_CLAIM_STATE_RUN:
		c.ran = true
	case state == toucanhingev1.ClaimState_CLAIM_STATE_UNKNOWN:
		c.unknown = true
	case !c.ran && !c.unknown:
		delete(r.claims, key)
	}
}

// AdvanceTime lets time pass, and forgets claims long after their deadline.
func (r *trial) AdvanceTime(t *rapid.T) {
	r.now += int64(rapid.SampledFrom([]int{1, 500, 100_000}).Draw(t, "passed"))
	before := r.now - 200_000
	r.step(&toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_Sweep{
		Sweep: &toucanhingev1.FleetSweepStep{ClaimsBeforeMs: before},
	}})
	for key, c := range r.claims {
		if c.deadline < before {
			delete(r.claims, key)
		}
	}
}

// Watch brings a process up to date by what it lacks.
func (r *trial) Watch(t *rapid.T) {
	w := &r.watchers[rapid.IntRange(0, len(r.watchers)-1).Draw(t, "watcher")]
	var update *toucanhingev1.WatchResponse
	r.machine.View(func(s *State) { update = s.Delta(w.fleet.Version) })
	require.GreaterOrEqual(t, update.GetVersion(), w.fleet.Version)
	w.fleet = w.fleet.With(update.GetVersion(), update.GetWhole(), update.GetEntries())
	require.Equal(t, r.version, w.fleet.Version)
	for key, e := range r.entries {
		got, found := w.fleet.Entry(key.Kind, key.Name)
		require.Equal(t, !e.GetRemoved(), found, "%v", key)
		require.True(t, !found || proto.Equal(e, got), "%v", key)
	}
}

// Checkpoint makes a manifest; the log before it is not needed any more.
func (r *trial) Checkpoint(t *rapid.T) {
	manifest, err := r.machine.Checkpoint()
	require.NoError(t, err)
	r.manifest, r.log, r.answers = manifest, nil, nil
}

// Crash restarts from the last checkpoint; the replay must give the same answers.
func (r *trial) Crash(t *rapid.T) {
	r.machine = r.open(r.manifest)
	for n, command := range r.log {
		answers := r.machine.Apply(0, command).([]any)
		require.Equal(t, fmt.Sprint(r.answers[n]...), fmt.Sprint(answers...), "a replay gave another answer")
	}
}

// TransferState moves the state to another machine.
func (r *trial) TransferState(t *rapid.T) {
	var wire bytes.Buffer
	manifest, err := r.machine.Checkpoint()
	require.NoError(t, err)
	require.NoError(t, r.machine.Export(manifest, &wire))
	r.machine = r.open(nil)
	r.manifest, err = r.machine.Import(&wire)
	require.NoError(t, err)
	r.log, r.answers = nil, nil
}

// TruncateHistory shortens the history, as happens after thousands of changes, so that
// watchers that are far behind need the whole.
func (r *trial) TruncateHistory(t *rapid.T) {
	r.machine.mu.Lock()
	defer r.machine.mu.Unlock()
	keep := rapid.IntRange(0, len(r.machine.state.recent)).Draw(t, "keep")
	before := r.machine.state.base
	r.machine.state.forgetHistory(keep)
	for key, e := range r.entries {
		if e.GetRemoved() && e.GetVersion() > before && e.GetVersion() <= r.machine.state.base {
			delete(r.entries, key)
		}
	}
	// Shortening isn't a logged command here, so a replay must not need it.
	manifest, err := proto.Marshal(r.machine.state.Save())
	require.NoError(t, err)
	r.manifest, r.log, r.answers = manifest, nil, nil
}

// check compares all entries with the oracle.
func (r *trial) check(t *rapid.T) {
	r.machine.View(func(s *State) {
		require.Equal(t, r.version, s.Version())
		for key, e := range r.entries {
			require.True(t, proto.Equal(e, s.entries[key]), "%v", key)
		}
		require.Len(t, s.entries, len(r.entries))
		require.Len(t, s.claims.byID, len(r.claims))
		require.Len(t, s.claims.byAge, len(r.claims))
	})
}

// TestRapidConfiguration steps the machine through racing and resent changes,
// restarts of members, claims, watchers that lag, and crashes, beside an oracle
// of plain maps. It proves: one of several changes with equal numbers wins, a
// resend gets the first answer, no watcher goes back or misses a change, and a
// non-idempotent request is granted to one try.
func TestRapidConfiguration(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newTrial(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"change": r.Change, "change again": r.Change, "resend": r.Resend, "beat": r.Beat, "end": r.ExpireLease, "order": r.Order,
			"claim": r.Claim, "claim again": r.Claim, "settle": r.Settle, "pass": r.AdvanceTime, "watch": r.Watch, "watch again": r.Watch,
			"checkpoint": r.Checkpoint, "crash": r.Crash, "ship": r.TransferState, "forget": r.TruncateHistory,
			"": r.check,
		})
	})
}
