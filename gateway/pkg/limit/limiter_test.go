package limit

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
)

// admission is one admitted request in the oracle's history.
type admission struct {
	team    string
	service string
	at      clock.Millis
}

// oracle checks the limits against the complete history of admissions.
type oracle struct {
	limits      map[string]Limits
	maxInFlight int
	history     []admission
	open        []admission
}

func (o *oracle) check(t *rapid.T, now clock.Millis) {
	if len(o.open) > o.maxInFlight {
		t.Fatalf("%d requests in flight, %d allowed", len(o.open), o.maxInFlight)
	}
	for team, limits := range o.limits {
		open := 0
		for _, s := range o.open {
			if s.team == team {
				open++
			}
		}
		if limits.MaxInFlight > 0 && open > limits.MaxInFlight {
			t.Fatalf("%s has %d requests in flight, %d allowed", team, open, limits.MaxInFlight)
		}
		for i, from := range o.history {
			if from.team != team || limits.Rate == 0 {
				continue
			}
			count := 0.0
			for _, s := range o.history[i:] {
				if s.team == team {
					count++
				}
			}
			if allowed := max(limits.Burst, 1) + float64(now-from.at)/1_000*limits.Rate; count > allowed+1e-6 {
				t.Fatalf("%s started %v requests since %d, %v allowed", team, count, from.at, allowed)
			}
		}
	}
}

// Teams send requests at any time for any service, saturated or not. No team may exceed its rate over
// any period or its limit of requests in flight, and all teams together may not exceed the
// gateway's limit. A request refused for its rate must be admitted after the returned delay.
func TestRapidLimiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{limits: map[string]Limits{}, maxInFlight: rapid.IntRange(1, 12).Draw(t, "most")}
		for _, team := range []string{"a", "b", "c"} {
			o.limits[team] = Limits{
				Rate:        rapid.SampledFrom([]float64{0, 0.5, 3, 50}).Draw(t, "rate"),
				Burst:       float64(rapid.IntRange(1, 4).Draw(t, "burst")),
				MaxInFlight: rapid.IntRange(0, 5).Draw(t, "in flight"),
				Weight:      rapid.IntRange(0, 3).Draw(t, "weight"),
			}
		}
		l := New(Config{MaxInFlight: o.maxInFlight})
		now := clock.Millis(1_000)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { o.check(t, now) },
			"ask": func(t *rapid.T) {
				s := admission{team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"), service: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "service"), at: now}
				request := Request{Team: s.team, Service: s.service, Limits: o.limits[s.team], Saturated: rapid.Bool().Draw(t, "short")}
				verdict := l.Admit(now, request)
				if verdict.Reason == ReasonRate {
					now += verdict.RetryAfter
					request.Saturated = false
					s.at = now
					verdict = l.Admit(now, request)
					if !verdict.Admitted {
						t.Fatalf("refused after the returned retry delay: %s", verdict.Reason)
					}
				}
				if verdict.Admitted {
					o.history = append(o.history, s)
					o.open = append(o.open, s)
				}
			},
			"done": func(t *rapid.T) {
				if len(o.open) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(o.open)-1).Draw(t, "which")
				l.Done(now, o.open[i].team, o.open[i].service)
				o.open = append(o.open[:i], o.open[i+1:]...)
			},
			"time": func(t *rapid.T) { now += clock.Millis(rapid.SampledFrom([]int{1, 30, 400, 70_000}).Draw(t, "elapsed")) },
		})
	})
}

// One team resends as fast as it can and holds every slot of a saturated service; another sends few
// requests. As slots become free, the greedy team must be refused until both teams have their weighted
// shares, while the other team is admitted at once. Without saturation, sharing refuses no request.
func TestSaturatedServiceIsShared(t *testing.T) {
	scenarios := []struct {
		name   string
		weight int
		shares [2]int
	}{
		{"equal weights", 1, [2]int{20, 20}},
		{"the other team has weight three", 3, [2]int{10, 30}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			l := New(Config{MaxInFlight: 1_000})
			admit := func(team string, saturated bool) Verdict {
				limits := Limits{Weight: 1}
				if team == "other" {
					limits.Weight = s.weight
				}
				return l.Admit(10, Request{Team: team, Service: "x", Saturated: saturated, Limits: limits})
			}
			for range 40 {
				require.True(t, admit("greedy", false).Admitted)
			}
			counts := map[string]int{"greedy": 40}
			require.True(t, admit("other", true).Admitted)
			counts["other"]++
			// The share tolerance allows a tenth and one request above the exact share.
			for counts["greedy"] > s.shares[0]+4 {
				require.Equal(t, ReasonFairShare, admit("greedy", true).Reason, fmt.Sprint(counts))
				l.Done(10, "greedy", "x")
				counts["greedy"]--
				require.True(t, admit("other", true).Admitted, fmt.Sprint(counts))
				counts["other"]++
			}
			for counts["greedy"] >= s.shares[0] {
				l.Done(10, "greedy", "x")
				counts["greedy"]--
			}
			require.True(t, admit("greedy", true).Admitted, "a team below its share is admitted")
		})
	}
}

func TestSweepRemovesInactiveTeams(t *testing.T) {
	l := New(Config{MaxInFlight: 10_000})
	for i := range 1_000 {
		team := fmt.Sprint(i)
		require.True(t, l.Admit(1, Request{Team: team, Service: "x", Limits: Limits{Rate: 5}}).Admitted)
		l.Done(2, team, "x")
	}
	l.Admit(100_000, Request{Team: "new", Service: "x"})
	require.Len(t, l.accounts, 1)
	require.Len(t, l.shares["x"], 1)
}
