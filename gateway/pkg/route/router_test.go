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

func newEndpoints(count int) []Endpoint {
	var list []Endpoint
	for i := range count {
		list = append(list, Endpoint{
			Name: fmt.Sprintf("e%02d", i), Address: fmt.Sprintf("127.0.0.1:%d", 1_000+i), DataCentre: "agdal", Incarnation: 1, Slots: 8,
		})
	}
	return list
}

func newRequest() Request {
	return Request{Service: service, Budget: 60_000, Idempotent: true}
}

func idleLoad() Load {
	return Load{Slots: 8, Healthy: true}
}

// Endpoints report loads, end attempts and miss polls in any order. A selected endpoint must be
// in the service's pool, not tried before and not draining. An ejected endpoint is selected only
// as a last resort.
func TestRapidChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policies := []Policy{PolicyDefault, PolicyRandom, PolicyLeastLoaded, PolicyTwoChoices, PolicyAffinity}
		r := newRouter(rapid.SampledFrom(policies).Draw(t, "policy"))
		endpoints := newEndpoints(rapid.IntRange(1, 5).Draw(t, "endpoints"))
		r.SetEndpoints(service, endpoints)
		now := clock.Millis(1_000)
		draining, sent := map[string]bool{}, map[string]int{}
		name := rapid.Custom(func(t *rapid.T) string { return endpoints[rapid.IntRange(0, len(endpoints)-1).Draw(t, "i")].Name })
		t.Repeat(map[string]func(*rapid.T){
			"choose": func(t *rapid.T) {
				request := newRequest()
				request.Prefix = uint64(rapid.IntRange(0, 3).Draw(t, "prefix"))
				request.Idempotent = rapid.Bool().Draw(t, "idempotent")
				request.Tried = rapid.SliceOfN(name, 0, 2).Draw(t, "tried")
				c := r.Choose(now, request)
				if c.Endpoint == "" {
					if c.Reason == "" || c.RetryAfter <= 0 {
						t.Fatalf("refused without a reason or a retry delay: %+v", c)
					}
					return
				}
				for _, tried := range request.Tried {
					if tried == c.Endpoint {
						t.Fatalf("selected %s, which was already tried", tried)
					}
				}
				if draining[c.Endpoint] {
					t.Fatalf("selected %s, which is draining", c.Endpoint)
				}
				if now < r.states[c.Endpoint].ejectedUntil && c.Rule != RuleAllEjected {
					t.Fatalf("selected %s, which is ejected", c.Endpoint)
				}
				r.RecordSent(c.Endpoint)
				sent[c.Endpoint]++
			},
			"ended": func(t *rapid.T) {
				n := name.Draw(t, "endpoint")
				if sent[n] == 0 {
					t.Skip()
				}
				sent[n]--
				outcome := Outcome(rapid.IntRange(int(OutcomeComplete), int(OutcomeNeutral)).Draw(t, "outcome"))
				r.RecordEnd(now, n, outcome, clock.Millis(rapid.IntRange(0, 500).Draw(t, "first")), 50)
				if r.states[n].inFlight != sent[n] {
					t.Fatalf("%s has %d requests in flight, the router counts %d", n, sent[n], r.states[n].inFlight)
				}
			},
			"reported": func(t *rapid.T) {
				n := name.Draw(t, "endpoint")
				l := idleLoad()
				l.Queued = rapid.IntRange(0, 20).Draw(t, "queued")
				l.Draining = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
				draining[n] = l.Draining
				r.RecordLoad(now, n, l)
			},
			"silent": func(t *rapid.T) { r.RecordPoll(now, name.Draw(t, "endpoint"), nil) },
			"time":   func(t *rapid.T) { now += clock.Millis(rapid.IntRange(1, 2_000).Draw(t, "elapsed")) },
		})
	})
}

// An endpoint fails three requests and then recovers. It gets no requests while it is ejected,
// then one probe at a time, then a small share at first, because all gateways return to it at
// about the same time.
func TestEjectionProbeAndSlowStart(t *testing.T) {
	r := newRouter(PolicyDefault)
	r.SetEndpoints(service, newEndpoints(4))
	for range 3 {
		r.RecordSent("e00")
		r.RecordEnd(1_000, "e00", OutcomeFailed, 0, 0)
	}
	count := func(now clock.Millis) (chosen int) {
		for range 200 {
			c := r.Choose(now, newRequest())
			r.RecordSent(c.Endpoint)
			if c.Endpoint == "e00" {
				chosen++
			}
			r.RecordEnd(now, c.Endpoint, OutcomeNeutral, 0, 0)
		}
		return chosen
	}
	require.Zero(t, count(1_900))
	probe := r.Choose(2_300, newRequest())
	require.Equal(t, Choice{Endpoint: "e00", Address: "127.0.0.1:1000", Rule: RuleProbe}, probe)
	r.RecordSent("e00")
	busy := idleLoad()
	busy.Running = 4
	for _, name := range []string{"e01", "e02", "e03"} {
		r.RecordLoad(2_300, name, busy)
	}
	for range 100 {
		require.NotEqual(t, "e00", r.Choose(2_300, newRequest()).Endpoint, "only one probe at a time")
	}
	r.RecordEnd(2_400, "e00", OutcomeComplete, 30, 0)
	for _, name := range []string{"e01", "e02", "e03"} {
		r.RecordLoad(2_400, name, idleLoad())
	}
	early, late := count(2_500), count(20_000)
	require.Less(t, early, 10)
	require.Greater(t, late, 25)
	// Failures soon after the return eject the endpoint for longer.
	for range 3 {
		r.RecordSent("e00")
		r.RecordEnd(20_000, "e00", OutcomeFailed, 0, 0)
	}
	require.Zero(t, count(21_900))
}

// One endpoint reports itself idle but answers ten times later than the others. Its reports
// would attract most requests, so it must be ejected for its response times.
func TestSlowOutlierIsEjected(t *testing.T) {
	r := newRouter(PolicyDefault)
	r.SetEndpoints(service, newEndpoints(4))
	ejected := ""
	for range 300 {
		c := r.Choose(1_000, newRequest())
		r.RecordSent(c.Endpoint)
		r.RecordLoad(1_000, c.Endpoint, idleLoad())
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

// A frozen sidecar keeps its connections open, so only missed polls reveal it. Three missed polls
// eject it, and the first answered poll reinstates it.
func TestUnresponsiveEndpointIsEjectedAndReturns(t *testing.T) {
	r := newRouter(PolicyDefault)
	r.SetEndpoints(service, newEndpoints(2))
	require.Empty(t, r.RecordPoll(1_000, "e00", nil))
	require.Empty(t, r.RecordPoll(1_500, "e00", nil))
	require.Equal(t, EjectedUnresponsive, r.RecordPoll(2_000, "e00", nil))
	for range 50 {
		require.Equal(t, "e01", r.Choose(2_100, newRequest()).Endpoint)
	}
	load := idleLoad()
	r.RecordPoll(2_200, "e00", &load)
	require.True(t, r.states["e00"].usable(2_200))
	require.False(t, r.states["e00"].probing)
}

// A prompt's prefix stays at its preferred endpoint while that one has free slots, moves to the
// second one while the first is full, and then returns.
func TestPrefixMovesWhenItsEndpointIsFull(t *testing.T) {
	r := newRouter(PolicyDefault)
	r.SetEndpoints(service, newEndpoints(6))
	request := newRequest()
	request.Prefix = 99
	first := r.Choose(1_000, request)
	require.Equal(t, RuleAffinity, first.Rule)
	for range 20 {
		require.Equal(t, first, r.Choose(1_000, request))
	}
	full := idleLoad()
	full.Running, full.Queued = 8, 3
	r.RecordLoad(1_000, first.Endpoint, full)
	second := r.Choose(1_000, request)
	require.Equal(t, RuleSecondAffinity, second.Rule)
	r.RecordLoad(1_001, first.Endpoint, idleLoad())
	require.Equal(t, first, r.Choose(1_001, request))
}

// Two endpoints are near and two are in another region. Requests go to the near ones until
// those are full.
func TestNearEndpointsArePreferred(t *testing.T) {
	r := newRouter(PolicyDefault)
	endpoints := newEndpoints(4)
	endpoints[2].LatencyUS, endpoints[3].LatencyUS = 15_000, 15_000
	r.SetEndpoints(service, endpoints)
	for range 50 {
		require.Contains(t, []string{"e00", "e01"}, r.Choose(1_000, newRequest()).Endpoint)
	}
	full := Load{Slots: 8, Healthy: true, Running: 8, Queued: 30}
	r.RecordLoad(1_000, "e00", full)
	r.RecordLoad(1_000, "e01", full)
	require.Equal(t, RuleRemote, r.Choose(1_000, newRequest()).Rule)
}

// All endpoints have just refused a request. Sending every new request to them would add to the
// overload, so Choose refuses at once until the retry delay has passed.
func TestChooseRefusesWhenAllEndpointsAreFull(t *testing.T) {
	r := newRouter(PolicyDefault)
	r.SetEndpoints(service, newEndpoints(2))
	for _, name := range []string{"e00", "e01"} {
		r.RecordSent(name)
		r.RecordEnd(1_000, name, OutcomeRefused, 0, 5_000)
	}
	require.Equal(t, Choice{Reason: ReasonOverloaded, RetryAfter: 50}, r.Choose(1_050, newRequest()))
	require.NotEmpty(t, r.Choose(1_150, newRequest()).Endpoint)
}

// 380 gateways share 600 endpoints. Each gateway uses 40, every endpoint is used by a similar
// number of gateways, and every subset covers all data centres.
func TestSubsetSpreadsEndpointsEvenly(t *testing.T) {
	endpoints := newEndpoints(600)
	for i := range endpoints {
		endpoints[i].Name = fmt.Sprint("e", i)
		endpoints[i].DataCentre = fmt.Sprint("d", i%8)
	}
	gateways := map[string]int{}
	for g := range 380 {
		selected := Subset(fmt.Sprint("g", g), endpoints, 40)
		require.Len(t, selected, 40)
		dataCentres := map[string]bool{}
		for _, e := range selected {
			gateways[e.Name]++
			dataCentres[e.DataCentre] = true
		}
		require.Len(t, dataCentres, 8)
	}
	for _, e := range endpoints {
		require.Greater(t, gateways[e.Name], 8)
		require.Less(t, gateways[e.Name], 50)
	}
}
