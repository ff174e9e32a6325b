package limit

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
)

// start of one admitted request, for the oracle.
type start struct {
	team    string
	service string
	at      clock.Millis
}

// oracle counts by going through the whole history each time.
type oracle struct {
	terms   map[string]Limits
	most    int
	history []start
	open    []start
}

func (o *oracle) check(t *rapid.T, now clock.Millis) {
	if len(o.open) > o.most {
		t.Fatalf("%d under way, %d allowed", len(o.open), o.most)
	}
	for team, terms := range o.terms {
		open := 0
		for _, s := range o.open {
			if s.team == team {
				open++
			}
		}
		if terms.MaxInFlight > 0 && open > terms.MaxInFlight {
			t.Fatalf("%s has %d under way, %d allowed", team, open, terms.MaxInFlight)
		}
		for i, from := range o.history {
			if from.team != team || terms.Rate == 0 {
				continue
			}
			count := 0.0
			for _, s := range o.history[i:] {
				if s.team == team {
					count++
				}
			}
			if allowed := max(terms.Burst, 1) + float64(now-from.at)/1_000*terms.Rate; count > allowed+1e-6 {
				t.Fatalf("%s started %v since %d, %v allowed", team, count, from.at, allowed)
			}
		}
	}
}

// Teams ask at any times for any services, with and without a shortage. No
// team ever passes its rate over any stretch of time or its requests under way,
// all together never pass the gateway's, and a rate's refusal says truly when to
// come back.
func TestRapidLimiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{terms: map[string]Limits{}, most: rapid.IntRange(1, 12).Draw(t, "most")}
		for _, team := range []string{"a", "b", "c"} {
			o.terms[team] = Limits{
				Rate:     rapid.SampledFrom([]float64{0, 0.5, 3, 50}).Draw(t, "rate"),
				Burst:    float64(rapid.IntRange(1, 4).Draw(t, "burst")),
				MaxInFlight: rapid.IntRange(0, 5).Draw(t, "in flight"),
				Weight:   rapid.IntRange(0, 3).Draw(t, "weight"),
			}
		}
		l := New(Config{MaxInFlight: o.most})
		now := clock.Millis(1_000)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { o.check(t, now) },
			"ask": func(t *rapid.T) {
				s := start{team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"), service: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "service"), at: now}
				ask := Request{Team: s.team, Service: s.service, Limits: o.terms[s.team], Saturated: rapid.Bool().Draw(t, "short")}
				verdict := l.Admit(now, ask)
				if verdict.Reason == ReasonRate {
					now += verdict.RetryAfter
					ask.Saturated = false
					s.at = now
					verdict = l.Admit(now, ask)
					if !verdict.Admitted {
						t.Fatalf("told to come back, and refused: %s", verdict.Reason)
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
			"time": func(t *rapid.T) { now += clock.Millis(rapid.SampledFrom([]int{1, 30, 400, 70_000}).Draw(t, "span")) },
		})
	})
}

// One team resends as fast as it can and holds every slot of a full service; the
// other sends little. As slots end, the greedy one must be refused until each
// has its weight's part, while the other gets in at once. A service with room
// refuses nobody for the sake of sharing.
func TestShortServiceIsShared(t *testing.T) {
	scenarios := []struct {
		name   string
		weight int
		parts  [2]int
	}{
		{"equal weights", 1, [2]int{20, 20}},
		{"the other weighs three", 3, [2]int{10, 30}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			l := New(Config{MaxInFlight: 1_000})
			ask := func(team string, short bool) Verdict {
				terms := Limits{Weight: 1}
				if team == "other" {
					terms.Weight = s.weight
				}
				return l.Admit(10, Request{Team: team, Service: "x", Saturated: short, Limits: terms})
			}
			for range 40 {
				require.True(t, ask("greedy", false).Admitted)
			}
			counts := map[string]int{"greedy": 40}
			require.True(t, ask("other", true).Admitted)
			counts["other"]++
			// A tenth and one more than the exact part is left to rounding.
			for counts["greedy"] > s.parts[0]+4 {
				require.Equal(t, ReasonFairShare, ask("greedy", true).Reason, fmt.Sprint(counts))
				l.Done(10, "greedy", "x")
				counts["greedy"]--
				require.True(t, ask("other", true).Admitted, fmt.Sprint(counts))
				counts["other"]++
			}
			for counts["greedy"] >= s.parts[0] {
				l.Done(10, "greedy", "x")
				counts["greedy"]--
			}
			require.True(t, ask("greedy", true).Admitted, "below its part it is let in")
		})
	}
}

func TestLimiterForgetsTeamsThatAreAway(t *testing.T) {
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
