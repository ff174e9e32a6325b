package replay

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// withTeams lets the items of a load come from nine teams in turn, and many more from a tenth
// within some seconds.
func withTeams(c Config, seed uint64) (loaded Config, others int) {
	const burst, until, times = 20_000, 30_000, 4
	for i := range c.Items {
		c.Items[i].Team = fmt.Sprint(i / jobItems % 9)
	}
	others = len(c.Items)
	rate := times * float64(others) / 60
	for _, item := range MixedItems(seed+100, until-burst, rate, c.Run, 18_000) {
		item.At, item.Deadline, item.Team = item.At+burst, item.Deadline+burst, "many"
		c.Items = append(c.Items, item)
	}
	slices.SortStableFunc(c.Items, func(a, b Item) int { return cmp.Compare(a.At, b.At) })
	return c, others
}

// One team hands in four times what all others do together, for ten seconds. Its items come
// before those that others hand in later, and are due before. Without teams, these wait
// behind them, and many of them are late; with teams, the others hardly notice.
func TestATeamWithManyItemsDoesntDrownOthers(t *testing.T) {
	t.Parallel()
	share := func(many, untold bool) float64 {
		inTime, all := 0, 0
		for _, seed := range seeds {
			c := crowded(seed, 0.6)
			others := len(c.Items)
			if many {
				c, others = withTeams(c, seed)
			}
			c.HideTeams = untold
			r := Run(c)
			all += others
			inTime += r.ItemsInTime - r.TeamItems["many"]
		}
		return float64(inTime) / float64(all)
	}
	alone, without, with := share(false, true), share(true, true), share(true, false)
	t.Logf("others' items in time: %.3f alone, %.3f beside many without teams, %.3f with", alone, without, with)
	require.Greater(t, with, without+0.05)
	require.Greater(t, with, 0.9*alone)
}

// A team of a low rank among urgent ones that never pause still gets its items done.
func TestALowRankStarvesNoItem(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		c := crowded(seed, 1)
		for i := range c.Items {
			c.Items[i].Team = "urgent"
			if i/jobItems%10 == 0 {
				c.Items[i].Team, c.Items[i].Priority = "low", 3
			}
		}
		low := 0
		for _, item := range c.Items {
			if item.Team == "low" {
				low++
			}
		}
		r := Run(c)
		part := float64(r.TeamItems["low"]) / float64(low)
		all := float64(r.ItemsInTime) / float64(len(c.Items))
		t.Logf("in time: %.3f of the low rank, %.3f of all", part, all)
		require.Greater(t, part, all/4)
	}
}
