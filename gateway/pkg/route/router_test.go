package route

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
)

const service = "llm"

func testConfig() Config {
	return Config{
		Gateway: "g1", Policy: PolicyDefault, SubsetSize: 40, LoadBound: 1.25, MaxFailures: 3, MinEjection: 1_000, MaxEjection: 60_000,
		OutlierFactor: 4, SlowStart: 10_000, PollInterval: 500, MaxPollRate: 100, Random: rand.New(rand.NewPCG(1, 2)),
	}
}

func newRouter(policy Policy) *Router {
	config := testConfig()
	config.Policy = policy
	return New(config)
}

func fleet(count int) []Endpoint {
	var list []Endpoint
	for i := range count {
		list = append(list, Endpoint{
			Name: fmt.Sprintf("e%02d", i), Address: fmt.Sprintf("127.0.0.1:%d", 1_000+i), DataCentre: "agdal", Incarnation: 1, Slots: 8,
		})
	}
	return list
}

func ask() Request {
	return Request{Service: service, Budget: 60_000, Idempotent: true}
}

func idle() Load {
	return Load{Slots: 8, Healthy: true}
}

// What the endpoints say and do comes in any order. Whoever is chosen must be in
// the service's pool, allowed by the contract, not tried before and not leaving;
// and one that is ejected is chosen only when no other may be.
func TestRapidChoices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policies := []Policy{PolicyDefault, PolicyRandom, PolicyLeastLoaded, PolicyTwoChoices, PolicyAffinity}
		r := newRouter(rapid.SampledFrom(policies).Draw(t, "policy"))
		endpoints := fleet(rapid.IntRange(1, 5).Draw(t, "endpoints"))
		r.SetEndpoints(service, endpoints)
		now := clock.Millis(1_000)
		leaving, own := map[string]bool{}, map[string]int{}
		name := rapid.Custom(func(t *rapid.T) string { return endpoints[rapid.IntRange(0, len(endpoints)-1).Draw(t, "i")].Name })
		t.Repeat(map[string]func(*rapid.T){
			"choose": func(t *rapid.T) {
				a := ask()
				a.Prefix = uint64(rapid.IntRange(0, 3).Draw(t, "prefix"))
				a.Idempotent = rapid.Bool().Draw(t, "idempotent")
				a.Tried = rapid.SliceOfN(name, 0, 2).Draw(t, "tried")
				c := r.Choose(now, a)
				if c.Endpoint == "" {
					if c.Reason == "" || c.RetryAfter <= 0 {
						t.Fatalf("no reason or no time to come back: %+v", c)
					}
					return
				}
				for _, tried := range a.Tried {
					if tried == c.Endpoint {
						t.Fatalf("%s was tried already", tried)
					}
				}
				if leaving[c.Endpoint] {
					t.Fatalf("%s is leaving", c.Endpoint)
				}
				if now < r.states[c.Endpoint].ejectedUntil && c.Rule != RuleAllEjected {
					t.Fatalf("%s is ejected", c.Endpoint)
				}
				r.RecordSent(c.Endpoint)
				own[c.Endpoint]++
			},
			"ended": func(t *rapid.T) {
				n := name.Draw(t, "endpoint")
				if own[n] == 0 {
					t.Skip()
				}
				own[n]--
				outcome := Outcome(rapid.IntRange(int(OutcomeComplete), int(OutcomeNeutral)).Draw(t, "outcome"))
				r.RecordEnd(now, n, outcome, clock.Millis(rapid.IntRange(0, 500).Draw(t, "first")), 50)
				if r.states[n].own != own[n] {
					t.Fatalf("%s has %d under way, %d counted", n, own[n], r.states[n].own)
				}
			},
			"reported": func(t *rapid.T) {
				n := name.Draw(t, "endpoint")
				l := idle()
				l.Queued = rapid.IntRange(0, 20).Draw(t, "queued")
				l.Draining = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
				leaving[n] = l.Draining
				r.RecordLoad(now, n, l)
			},
			"silent": func(t *rapid.T) { r.RecordPoll(now, name.Draw(t, "endpoint"), nil) },
			"time":   func(t *rapid.T) { now += clock.Millis(rapid.IntRange(1, 2_000).Draw(t, "span")) },
		})
	})
}

// An endpoint answers three requests with failures, then works again. Nothing
// goes there while it is ejected; then one request tries it out; then it gets
// little at first, since all gateways return to it in the same moment.
func TestEjectionProbeAndSlowStart(t *testing.T) {
	r := newRouter(PolicyDefault)
	r.SetEndpoints(service, fleet(4))
	for range 3 {
		r.RecordSent("e00")
		r.RecordEnd(1_000, "e00", OutcomeFailed, 0, 0)
	}
	count := func(now clock.Millis) (chosen int) {
		for range 200 {
			c := r.Choose(now, ask())
			r.RecordSent(c.Endpoint)
			if c.Endpoint == "e00" {
				chosen++
			}
			r.RecordEnd(now, c.Endpoint, OutcomeNeutral, 0, 0)
		}
		return chosen
	}
	require.Zero(t, count(1_900))
	probe := r.Choose(2_300, ask())
	require.Equal(t, Choice{Endpoint: "e00", Address: "127.0.0.1:1000", Rule: RuleProbe}, probe)
	r.RecordSent("e00")
	busy := idle()
	busy.Running = 4
	for _, name := range []string{"e01", "e02", "e03"} {
		r.RecordLoad(2_300, name, busy)
	}
	for range 100 {
		require.NotEqual(t, "e00", r.Choose(2_300, ask()).Endpoint, "one request at a time tries it out")
	}
	r.RecordEnd(2_400, "e00", OutcomeComplete, 30, 0)
	for _, name := range []string{"e01", "e02", "e03"} {
		r.RecordLoad(2_400, name, idle())
	}
	early, late := count(2_500), count(20_000)
	require.Less(t, early, 10)
	require.Greater(t, late, 25)
	// A second failure right after is ejected for longer.
	for range 3 {
		r.RecordSent("e00")
		r.RecordEnd(20_000, "e00", OutcomeFailed, 0, 0)
	}
	require.Zero(t, count(21_900))
}

// One endpoint says it is idle and answers ten times later than the others. Its
// reports would draw most of the work; its times give it away.
func TestOutlierThatLiesIsEjected(t *testing.T) {
	r := newRouter(PolicyDefault)
	r.SetEndpoints(service, fleet(4))
	ejected := ""
	for range 300 {
		c := r.Choose(1_000, ask())
		r.RecordSent(c.Endpoint)
		r.RecordLoad(1_000, c.Endpoint, idle())
		first := clock.Millis(60)
		if c.Endpoint == "e02" {
			first = 600
		}
		if reason := r.RecordEnd(1_000, c.Endpoint, OutcomeComplete, first, 0); reason != "" {
			ejected = c.Endpoint + " " + reason
		}
	}
	require.Equal(t, "e02 slow", ejected)
}

// A frozen sidecar keeps its connections; only its silence shows. Three polls
// without an answer eject it, and the first answered one brings it back.
func TestSilentEndpointIsEjectedAndComesBack(t *testing.T) {
	r := newRouter(PolicyDefault)
	r.SetEndpoints(service, fleet(2))
	require.Empty(t, r.RecordPoll(1_000, "e00", nil))
	require.Empty(t, r.RecordPoll(1_500, "e00", nil))
	require.Equal(t, EjectedUnresponsive, r.RecordPoll(2_000, "e00", nil))
	for range 50 {
		require.Equal(t, "e01", r.Choose(2_100, ask()).Endpoint)
	}
	load := idle()
	r.RecordPoll(2_200, "e00", &load)
	require.True(t, r.states["e00"].usable(2_200))
	require.False(t, r.states["e00"].probing)
}

// A prompt's prefix stays at one endpoint while that one has room, goes to its
// second while the first is full, and comes back.
func TestPrefixStaysUntilItsEndpointIsFull(t *testing.T) {
	r := newRouter(PolicyDefault)
	r.SetEndpoints(service, fleet(6))
	a := ask()
	a.Prefix = 99
	home := r.Choose(1_000, a)
	require.Equal(t, RuleAffinity, home.Rule)
	for range 20 {
		require.Equal(t, home, r.Choose(1_000, a))
	}
	full := idle()
	full.Running, full.Queued = 8, 3
	r.RecordLoad(1_000, home.Endpoint, full)
	second := r.Choose(1_000, a)
	require.Equal(t, RuleSecondAffinity, second.Rule)
	r.RecordLoad(1_001, home.Endpoint, idle())
	require.Equal(t, home, r.Choose(1_001, a))
}

// Everything is near in one data centre and far in another region. Work stays
// near until the near ones are full.
func TestNearOnesFirst(t *testing.T) {
	r := newRouter(PolicyDefault)
	endpoints := fleet(4)
	endpoints[2].LatencyUS, endpoints[3].LatencyUS = 15_000, 15_000
	r.SetEndpoints(service, endpoints)
	for range 50 {
		require.Contains(t, []string{"e00", "e01"}, r.Choose(1_000, ask()).Endpoint)
	}
	full := Load{Slots: 8, Healthy: true, Running: 8, Queued: 30}
	r.RecordLoad(1_000, "e00", full)
	r.RecordLoad(1_000, "e01", full)
	require.Equal(t, RuleRemote, r.Choose(1_000, ask()).Rule)
}

// All endpoints refused a moment ago. Asking them again for every request that
// comes would be load on top of the overload, so the answer is final and at once.
func TestAllFullIsRefusedAtOnce(t *testing.T) {
	r := newRouter(PolicyDefault)
	r.SetEndpoints(service, fleet(2))
	for _, name := range []string{"e00", "e01"} {
		r.RecordSent(name)
		r.RecordEnd(1_000, name, OutcomeRefused, 0, 5_000)
	}
	require.Equal(t, Choice{Reason: ReasonOverloaded, RetryAfter: 50}, r.Choose(1_050, ask()))
	require.NotEmpty(t, r.Choose(1_150, ask()).Endpoint)
}

// 380 gateways share 600 endpoints: each uses 40, every endpoint is used by
// about as many gateways, and each data centre is in every subset.
func TestSubsetsSpreadEvenly(t *testing.T) {
	endpoints := fleet(600)
	for i := range endpoints {
		endpoints[i].Name = fmt.Sprint("e", i)
		endpoints[i].DataCentre = fmt.Sprint("d", i%8)
	}
	users := map[string]int{}
	for g := range 380 {
		chosen := Subset(fmt.Sprint("g", g), endpoints, 40)
		require.Len(t, chosen, 40)
		centres := map[string]bool{}
		for _, e := range chosen {
			users[e.Name]++
			centres[e.DataCentre] = true
		}
		require.Len(t, centres, 8)
	}
	for _, e := range endpoints {
		require.Greater(t, users[e.Name], 8)
		require.Less(t, users[e.Name], 50)
	}
}
