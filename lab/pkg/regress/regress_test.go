package regress

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const printed = `day                  own/srv  score  worth served refused failed  weakest part
trouble-3              85/49   0.66  0.689  0.904   0.001  0.002  worst windows 0.43

worth 0.689 = whole day 0.904 (weight 0.7), worst windows 0.432 (weight 0.15), worst class 0.887 (weight 0.15) less prices
  -0.0451  2747.8 machine-seconds

class                asked  in aim   late refused failed not owed  worth   p50 ms   p99 ms
tag-long              6110    3924   1160     12     32      982  0.901    183.2   1500.8
digest-lot             870     713     52      0      0      105  0.781   9542.1  18327.1

clients' zone        asked  in aim   late refused failed not owed  worth   p50 ms   p99 ms
guj-west-a            4800    3848    252       7     98      595  0.950     32.4  11335.6
`

func TestWhatTheBenchPrintedOfAPlay(t *testing.T) {
	o, err := Parse(printed)
	require.NoError(t, err)
	require.Equal(t, Outcome{Worth: 0.689, Service: 0.904, Classes: []ClassWorth{{"tag-long", 0.901}, {"digest-lot", 0.781}}}, o)
	o, err = Parse(strings.Replace(printed, "worst windows 0.43\n", "worst windows 0.43  BROKEN: QUOTA 3\n", 1))
	require.NoError(t, err)
	require.Equal(t, "QUOTA 3", o.BrokenRules)
	_, err = Parse("built in 3 s\nthe day was given up\n")
	require.ErrorIs(t, err, errNoFigure)
	require.ErrorContains(t, err, "the day was given up")
}

func TestPairsOfAPlan(t *testing.T) {
	plan := Plan{FirstSeed: 7, Deployments: []Deployment{{Name: "a", Days: []string{"x", "y"}, Seeds: 2}, {Name: "b", Days: []string{"z"}, Seeds: 1}}}
	var names []string
	for _, p := range plan.Pairs() {
		names = append(names, p.String())
	}
	require.Equal(t, []string{"a x --seed 7", "a x --seed 8", "a y --seed 7", "a y --seed 8", "b z --seed 7"}, names)
}

func result(deployment, day string, before, after float64, class ...float64) Result {
	r := Result{Pair: Pair{Deployment: Deployment{Name: deployment}, Day: day}, Before: Outcome{Worth: before}, After: Outcome{Worth: after}}
	if len(class) == 2 {
		r.Before.Classes = []ClassWorth{{"items", class[0]}}
		r.After.Classes = []ClassWorth{{"items", class[1]}}
	}
	return r
}

func TestADeploymentThatFellFailsTheRun(t *testing.T) {
	for _, c := range []struct {
		name    string
		results []Result
		passed  bool
	}{
		{"better", []Result{result("a", "x", 0.8, 0.82)}, true},
		{"a little worse", []Result{result("a", "x", 0.8, 0.76), result("a", "y", 0.8, 0.79)}, true},
		{"worse on the mean", []Result{result("a", "x", 0.8, 0.76), result("a", "y", 0.8, 0.775)}, false},
		{"one of two worse", []Result{result("a", "x", 0.8, 0.9), result("b", "x", 0.8, 0.76)}, false},
		{"broken before only", []Result{{Before: Outcome{BrokenRules: "LOST 1"}}}, true},
		{"broken after", []Result{{After: Outcome{BrokenRules: "LOST 1"}}}, false},
		{"no figure", []Result{{Err: errNoFigure}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.passed, Plan{MaxDrop: 0.03}.Summarize(c.results).Passed())
		})
	}
}

func TestTheTable(t *testing.T) {
	var b strings.Builder
	s := Plan{MaxDrop: 0.03}.Summarize([]Result{
		result("a", "x", 0.70, 0.74, 0.9, 0.8), result("a", "x", 0.72, 0.72, 0.8, 0.8), result("a", "y", 0.80, 0.81),
	})
	require.NoError(t, s.Write(&b))
	for _, row := range []string{
		"| a | all | 3 | 0.740 | 0.757 | +0.0167 | 0.0120 | +0.000 |",
		"| a | x | 2 | 0.710 | 0.730 | +0.0200 | 0.0200 | +0.000 |",
		"| a | items | 2 | 0.850 | 0.800 | -0.0500 | 0.0500 | -0.100 |",
	} {
		require.Contains(t, b.String(), row)
	}
	require.NoError(t, s.Picture().Write(filepath.Join(t.TempDir(), "worth.png")))
}

// A bench that plays by the text that its checkout holds, and fails where a rule is broken.
func TestBothSidesOfAPairArePlayed(t *testing.T) {
	folder := t.TempDir()
	bench := filepath.Join(folder, "bench")
	require.NoError(t, os.WriteFile(bench, []byte("#!/bin/sh\ncat printed 2>/dev/null\ngrep -q BROKEN printed && exit 3\nexit 0\n"), 0o700))
	for side, text := range map[string]string{"before": printed, "after": strings.Replace(printed, "worth 0.689", "BROKEN: LOST 2\nworth 0.700", 1)} {
		require.NoError(t, os.Mkdir(filepath.Join(folder, side), 0o700))
		require.NoError(t, os.WriteFile(filepath.Join(folder, side, "printed"), []byte(text), 0o600))
	}
	played := 0
	players := Runner{
		Bench: bench, Before: filepath.Join(folder, "before"), After: filepath.Join(folder, "after"), Jobs: 2,
		OnResult: func(Result) { played++ },
	}
	plan := Plan{FirstSeed: 1, Deployments: []Deployment{{Name: "a", Days: []string{"x"}, Seeds: 3}}}
	_, err := players.Run(context.Background(), plan.Pairs())
	require.Error(t, err, "it can't even build there")
	require.NoError(t, os.WriteFile(bench, []byte("#!/bin/sh\n[ \"$1\" = build ] && exit 0\ncat printed\ngrep -q BROKEN printed && exit 3\nexit 0\n"), 0o700))
	results, err := players.Run(context.Background(), plan.Pairs())
	require.NoError(t, err)
	require.Equal(t, 3, played)
	for _, r := range results {
		require.NoError(t, r.Err)
		require.Equal(t, []float64{0.689, 0.700}, []float64{r.Before.Worth, r.After.Worth})
		require.Equal(t, "LOST 2", r.After.BrokenRules)
	}
}
