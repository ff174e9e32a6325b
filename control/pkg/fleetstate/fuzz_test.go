package fleetstate

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/seed"
	"toucanhinge.example/common/pkg/fleetconfig"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// TestMain sets the default seed and number of steps of the fuzz tests. Command line flags
// override them; `make soak` uses them to run new seeds.
func TestMain(m *testing.M) {
	seed.Main(m, 13, seed.Length{Steps: 150})
}

// sentRequest is a request that was sent, with the first response to it.
type sentRequest struct {
	request  *toucanhingev1.ApplyRequest
	response *toucanhingev1.ApplyResponse
}

// watcher is a process that watches the configuration.
type watcher struct {
	fleet *fleetconfig.Fleet
}

// modelClaim is a claimed request in the oracle.
type modelClaim struct {
	token    string
	deadline int64
	ran      bool
	unknown  bool
}

// harness drives a machine and its oracle with the same steps.
type harness struct {
	t       *rapid.T
	machine *Machine
	now     int64

	entries  map[fleetconfig.Key]*toucanhingev1.Entry
	version  uint64
	sent     []sentRequest
	members  map[string]uint64
	claims   map[claimKey]*modelClaim
	watchers []watcher

	manifest []byte
	log      [][]byte
	results  [][]any
}

func newHarness(t *rapid.T) *harness {
	h := &harness{
		t: t, now: 1, entries: map[fleetconfig.Key]*toucanhingev1.Entry{}, members: map[string]uint64{},
		claims: map[claimKey]*modelClaim{}, watchers: []watcher{{fleetconfig.Empty()}, {fleetconfig.Empty()}, {fleetconfig.Empty()}},
	}
	h.machine = h.open(nil)
	return h
}

func (h *harness) open(manifest []byte) *Machine {
	m := NewMachine(MachineConfig{Fatal: func(err error) { require.NoError(h.t, err) }})
	require.NoError(h.t, m.Load(manifest))
	return m
}

func (h *harness) step(step *toucanhingev1.FleetStep) any {
	command, err := proto.Marshal(&toucanhingev1.FleetCommand{AtMs: h.now, Steps: []*toucanhingev1.FleetStep{step}})
	require.NoError(h.t, err)
	results := h.machine.Apply(0, command).([]any)
	h.log, h.results = append(h.log, command), append(h.results, results)
	return results[0]
}

func (h *harness) apply(request *toucanhingev1.ApplyRequest) *toucanhingev1.ApplyResponse {
	return h.step(&toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_Apply{
		Apply: &toucanhingev1.ApplyStep{Request: proto.CloneOf(request), LoadIntervalMs: 100},
	}}).(*toucanhingev1.ApplyResponse)
}

// recordEntry records an accepted change in the oracle.
func (h *harness) recordEntry(e *toucanhingev1.Entry) {
	require.Equal(h.t, h.version+1, e.GetVersion(), "each change increments the version")
	h.version++
	h.entries[fleetconfig.Key{Kind: e.GetKind(), Name: e.GetName()}] = e
}

// Change requests a change that is based on the current version, on an older one, or on
// none. At most one change is accepted for each base version.
func (h *harness) Change(t *rapid.T) {
	key := fleetconfig.Key{Kind: toucanhingev1.Kind_KIND_DATA_CENTRE, Name: rapid.SampledFrom([]string{"agdal", "temara", "hay-riad"}).Draw(t, "name")}
	present := h.entries[key]
	base := rapid.SampledFrom([]uint64{0, present.GetVersion(), present.GetVersion(), h.version}).Draw(t, "base")
	request := &toucanhingev1.ApplyRequest{
		RequestId: fmt.Sprintf("r%d", len(h.sent)), BaseVersion: base, Author: "op",
		Entry: &toucanhingev1.Entry{
			Kind: key.Kind, Name: key.Name, Removed: rapid.IntRange(0, 3).Draw(t, "removed") == 0,
			Body: &toucanhingev1.Entry_DataCentre{DataCentre: &toucanhingev1.DataCentre{Region: fmt.Sprint(h.now)}},
		},
	}
	response := h.apply(request)
	h.sent = append(h.sent, sentRequest{request: request, response: proto.CloneOf(response)})
	gone := present == nil || present.GetRemoved()
	want := base == present.GetVersion() || (gone && base == 0)
	if request.GetEntry().GetRemoved() && gone {
		want = false
	}
	require.Equal(t, want, response.GetAccepted(), response.GetReason())
	if !want {
		require.NotEmpty(t, response.GetReason())
		require.True(t, proto.Equal(present, response.GetEntry()), "a refused change gets the current entry")
		return
	}
	h.recordEntry(response.GetEntry())
}

// Resend sends an earlier request again, sometimes with a different change under its id.
func (h *harness) Resend(t *rapid.T) {
	if len(h.sent) == 0 {
		t.Skip("no request was sent")
	}
	sent := rapid.SampledFrom(h.sent).Draw(t, "request")
	if rapid.IntRange(0, 4).Draw(t, "altered") == 0 {
		other := proto.CloneOf(sent.request)
		other.Entry.Name += "x"
		response := h.apply(other)
		require.False(t, response.GetAccepted())
		require.Contains(t, response.GetReason(), CodeReusedID)
		return
	}
	require.True(t, proto.Equal(sent.response, h.apply(sent.request)), "a resend gets the first response")
}

// Beat sends heartbeats of restarted processes, and of old ones that resume.
func (h *harness) Beat(t *rapid.T) {
	name := rapid.SampledFrom([]string{"s1", "g1"}).Draw(t, "name")
	incarnation := uint64(rapid.IntRange(1, 5).Draw(t, "incarnation"))
	state := rapid.SampledFrom([]toucanhingev1.MemberState{
		toucanhingev1.MemberState_MEMBER_STATE_READY, toucanhingev1.MemberState_MEMBER_STATE_LEAVING,
	}).Draw(t, "state")
	member := &toucanhingev1.Member{Role: toucanhingev1.Role_ROLE_SIDECAR, Incarnation: incarnation, State: state, Address: "10.0.0.1:1"}
	result := h.step(&toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_Member{
		Member: &toucanhingev1.MemberStep{Name: name, Member: proto.CloneOf(member)},
	}}).(MemberResult)
	require.Equal(t, incarnation >= h.members[name], result.Current, "an old process must not replace a newer one")
	if !result.Current {
		return
	}
	h.members[name] = incarnation
	key := fleetconfig.Key{Kind: toucanhingev1.Kind_KIND_MEMBER, Name: name}
	if !proto.Equal(h.entries[key].GetMember(), member) {
		h.recordCurrent(key)
	}
}

// recordCurrent records a change that the machine itself made.
func (h *harness) recordCurrent(key fleetconfig.Key) {
	h.machine.View(func(s *State) { h.recordEntry(s.entries[key]) })
}

// ExpireLease expires a member's lease, sometimes that of an incarnation or state that is
// no longer current.
func (h *harness) ExpireLease(t *rapid.T) {
	name := rapid.SampledFrom([]string{"s1", "g1"}).Draw(t, "name")
	incarnation := uint64(rapid.IntRange(1, 5).Draw(t, "incarnation"))
	forget := rapid.Bool().Draw(t, "forget")
	result := h.step(&toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_MemberEnd{
		MemberEnd: &toucanhingev1.MemberEndStep{Name: name, Incarnation: incarnation, Forget: forget},
	}}).(MemberEndResult)
	key := fleetconfig.Key{Kind: toucanhingev1.Kind_KIND_MEMBER, Name: name}
	e := h.entries[key]
	dead := e.GetMember().GetState() == toucanhingev1.MemberState_MEMBER_STATE_DEAD
	want := e != nil && !e.GetRemoved() && h.members[name] == incarnation && dead == forget
	require.Equal(t, want, result.Changed)
	if want {
		h.recordCurrent(key)
	}
	if want && forget {
		h.members[name] = 0
	}
}

// Order sends an order to an endpoint. Its version, which serves as the fencing number,
// must grow, and loads must be spaced.
func (h *harness) Order(t *rapid.T) {
	key := fleetconfig.Key{Kind: toucanhingev1.Kind_KIND_ORDER, Name: "s1"}
	request := &toucanhingev1.ApplyRequest{
		RequestId: fmt.Sprintf("r%d", len(h.sent)), BaseVersion: h.entries[key].GetVersion(),
		Entry: &toucanhingev1.Entry{Kind: key.Kind, Name: key.Name, Body: &toucanhingev1.Entry_Order{Order: &toucanhingev1.Order{
			Endpoint: "s1", Kind: toucanhingev1.OrderKind_ORDER_KIND_LOAD_MODEL, Model: "m",
		}}},
	}
	response := h.apply(request)
	h.sent = append(h.sent, sentRequest{request: request, response: proto.CloneOf(response)})
	require.Equal(t, h.members["s1"] != 0, response.GetAccepted(), response.GetReason())
	if !response.GetAccepted() {
		return
	}
	last := h.entries[key].GetOrder().GetNotBeforeMs()
	require.GreaterOrEqual(t, response.GetEntry().GetOrder().GetNotBeforeMs(), max(h.now, last+100), "loads must not exceed the rate of the weight store")
	h.recordEntry(response.GetEntry())
}

// Claim claims requests with several tokens. At most one token is granted, until its
// holder reports that the request was certainly not run.
func (h *harness) Claim(t *rapid.T) {
	key := claimKey{team: "agence", request: rapid.SampledFrom([]string{"q1", "q2"}).Draw(t, "request")}
	token := rapid.SampledFrom([]string{"t1", "t2", "t3"}).Draw(t, "token")
	deadline := h.now + 1_000
	result := h.step(&toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_Claim{Claim: &toucanhingev1.ClaimRequest{
		Team: key.team, RequestId: key.request, Token: token, DeadlineMs: deadline,
	}}}).(ClaimResult)
	c := h.claims[key]
	want := toucanhingev1.ClaimState_CLAIM_STATE_GRANTED
	switch {
	case c == nil:
		h.claims[key] = &modelClaim{token: token, deadline: deadline}
	case c.ran:
		want = toucanhingev1.ClaimState_CLAIM_STATE_RUN
	case c.unknown:
		want = toucanhingev1.ClaimState_CLAIM_STATE_UNKNOWN
	case c.token != token && h.now > c.deadline+int64(settleGrace):
		want, c.unknown = toucanhingev1.ClaimState_CLAIM_STATE_UNKNOWN, true
	case c.token != token:
		want = toucanhingev1.ClaimState_CLAIM_STATE_HELD
	}
	require.Equal(t, want, result.State)
}

// Settle settles claims, sometimes with a token that doesn't hold the claim.
func (h *harness) Settle(t *rapid.T) {
	key := claimKey{team: "agence", request: rapid.SampledFrom([]string{"q1", "q2"}).Draw(t, "request")}
	token := rapid.SampledFrom([]string{"t1", "t2", "t3"}).Draw(t, "token")
	state := rapid.SampledFrom([]toucanhingev1.ClaimState{
		toucanhingev1.ClaimState_CLAIM_STATE_RUN, toucanhingev1.ClaimState_CLAIM_STATE_UNKNOWN, toucanhingev1.ClaimState_CLAIM_STATE_UNSPECIFIED,
	}).Draw(t, "state")
	h.step(&toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_Settle{Settle: &toucanhingev1.SettleRequest{
		Team: key.team, RequestId: key.request, Token: token, State: state,
	}}})
	c := h.claims[key]
	switch {
	case c == nil || c.token != token:
	case state == toucanhingev1.ClaimState_CLAIM_STATE_RUN:
		c.ran = true
	case state == toucanhingev1.ClaimState_CLAIM_STATE_UNKNOWN:
		c.unknown = true
	case !c.ran && !c.unknown:
		delete(h.claims, key)
	}
}

// AdvanceTime advances the time, and sweeps claims long after their deadline.
func (h *harness) AdvanceTime(t *rapid.T) {
	h.now += int64(rapid.SampledFrom([]int{1, 500, 100_000}).Draw(t, "elapsed"))
	before := h.now - 200_000
	h.step(&toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_Sweep{
		Sweep: &toucanhingev1.FleetSweepStep{ClaimsBeforeMs: before},
	}})
	for key, c := range h.claims {
		if c.deadline < before {
			delete(h.claims, key)
		}
	}
}

// Watch updates a watcher with a delta, and compares it with the oracle.
func (h *harness) Watch(t *rapid.T) {
	w := &h.watchers[rapid.IntRange(0, len(h.watchers)-1).Draw(t, "watcher")]
	var update *toucanhingev1.WatchResponse
	h.machine.View(func(s *State) { update = s.Delta(w.fleet.Version) })
	require.GreaterOrEqual(t, update.GetVersion(), w.fleet.Version)
	w.fleet = w.fleet.With(update.GetVersion(), update.GetWhole(), update.GetEntries())
	require.Equal(t, h.version, w.fleet.Version)
	for key, e := range h.entries {
		got, found := w.fleet.Entry(key.Kind, key.Name)
		require.Equal(t, !e.GetRemoved(), found, "%v", key)
		require.True(t, !found || proto.Equal(e, got), "%v", key)
	}
}

// Checkpoint makes a manifest, which replaces the log before it.
func (h *harness) Checkpoint(t *rapid.T) {
	manifest, err := h.machine.Checkpoint()
	require.NoError(t, err)
	h.manifest, h.log, h.results = manifest, nil, nil
}

// Crash restarts from the last checkpoint; the replay must return the same results.
func (h *harness) Crash(t *rapid.T) {
	h.machine = h.open(h.manifest)
	for n, command := range h.log {
		results := h.machine.Apply(0, command).([]any)
		require.Equal(t, fmt.Sprint(h.results[n]...), fmt.Sprint(results...), "the replay returned another result")
	}
}

// TransferState exports the state and imports it into a new machine.
func (h *harness) TransferState(t *rapid.T) {
	var wire bytes.Buffer
	manifest, err := h.machine.Checkpoint()
	require.NoError(t, err)
	require.NoError(t, h.machine.Export(manifest, &wire))
	h.machine = h.open(nil)
	h.manifest, err = h.machine.Import(&wire)
	require.NoError(t, err)
	h.log, h.results = nil, nil
}

// TruncateHistory shortens the history, as happens after thousands of changes, so that
// watchers that lag far behind need the whole configuration.
func (h *harness) TruncateHistory(t *rapid.T) {
	h.machine.mu.Lock()
	defer h.machine.mu.Unlock()
	keep := rapid.IntRange(0, len(h.machine.state.recent)).Draw(t, "keep")
	before := h.machine.state.base
	h.machine.state.truncateHistory(keep)
	for key, e := range h.entries {
		if e.GetRemoved() && e.GetVersion() > before && e.GetVersion() <= h.machine.state.base {
			delete(h.entries, key)
		}
	}
	// This truncation isn't a logged command, so a replay must start after it.
	manifest, err := proto.Marshal(h.machine.state.Save())
	require.NoError(t, err)
	h.manifest, h.log, h.results = manifest, nil, nil
}

// check compares the state with the oracle.
func (h *harness) check(t *rapid.T) {
	h.machine.View(func(s *State) {
		require.Equal(t, h.version, s.Version())
		for key, e := range h.entries {
			require.True(t, proto.Equal(e, s.entries[key]), "%v", key)
		}
		require.Len(t, s.entries, len(h.entries))
		require.Len(t, s.claims.byID, len(h.claims))
		require.Len(t, s.claims.byAge, len(h.claims))
	})
}

// TestRapidConfiguration applies concurrent and resent changes, restarts of members,
// claims, lagging watchers and crashes to the machine and to an oracle of plain maps. It
// checks that one of several changes with the same base version is accepted, a resend
// gets the first response, no watcher goes back or misses a change, and a non-idempotent
// request is granted to one attempt.
func TestRapidConfiguration(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"change": h.Change, "change again": h.Change, "resend": h.Resend, "beat": h.Beat, "expire lease": h.ExpireLease, "order": h.Order,
			"claim": h.Claim, "claim again": h.Claim, "settle": h.Settle, "pass time": h.AdvanceTime, "watch": h.Watch, "watch again": h.Watch,
			"checkpoint": h.Checkpoint, "crash": h.Crash, "transfer state": h.TransferState, "forget history": h.TruncateHistory,
			"": h.check,
		})
	})
}
