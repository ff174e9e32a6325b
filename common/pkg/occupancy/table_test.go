package occupancy

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/seed"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

func TestMain(m *testing.M) { seed.Main(m, 11) }

func digest(source string, epoch, sequence uint64, online uint32) *toucanhingev1.LoadDigest {
	return &toucanhingev1.LoadDigest{
		Source: source, Epoch: epoch, Sequence: sequence,
		Loads: []*toucanhingev1.RunnerLoad{{Runner: "r", Online: online}},
	}
}

func TestNewestDigestApplies(t *testing.T) {
	for _, c := range []struct {
		name    string
		digests []*toucanhingev1.LoadDigest
		want    int
	}{
		{"one", []*toucanhingev1.LoadDigest{digest("a", 1, 1, 3)}, 3},
		{"newer", []*toucanhingev1.LoadDigest{digest("a", 1, 1, 3), digest("a", 1, 2, 4)}, 4},
		{"late", []*toucanhingev1.LoadDigest{digest("a", 1, 2, 4), digest("a", 1, 1, 3)}, 4},
		{"twice", []*toucanhingev1.LoadDigest{digest("a", 1, 1, 3), digest("a", 1, 1, 3)}, 3},
		{"restarted", []*toucanhingev1.LoadDigest{digest("a", 1, 9, 3), digest("a", 2, 1, 1)}, 1},
		{"from before a restart", []*toucanhingev1.LoadDigest{digest("a", 2, 1, 1), digest("a", 1, 9, 3)}, 1},
		{"two daemons", []*toucanhingev1.LoadDigest{digest("a", 1, 1, 3), digest("b", 1, 1, 2)}, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := New()
			for _, d := range c.digests {
				table.ApplyDigest(0, d)
			}
			require.Equal(t, c.want, table.Load("r").Online)
		})
	}
}

// A gateway loses power during a burst. Its requests end at once, but its last digest still counts
// them. Without an expiry their slots would remain unused forever.
func TestLoadOfFailedDaemonExpires(t *testing.T) {
	table := New()
	table.ApplyDigest(0, digest("a", 1, 1, 3))
	table.Expire(Expiry)
	require.Equal(t, 3, table.Load("r").Online)
	table.Expire(Expiry + 1)
	require.Zero(t, table.Load("r").Online)
	table.ApplyDigest(Expiry+2, digest("a", 1, 2, 2))
	require.Equal(t, 2, table.Load("r").Online)
}

// Compares the table with the sums of the latest digests, after any sequence of digests, own load
// changes and expiry.
func TestRapidTotalsMatchDigests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New()
		now := clock.Millis(0)
		sequence := uint64(0)
		type sent struct {
			at    clock.Millis
			loads map[string]Load
		}
		latest := map[string]sent{}
		own := map[string]Load{}
		runner := rapid.SampledFrom([]string{"r1", "r2", "r3"})
		t.Repeat(map[string]func(*rapid.T){
			"digest": func(t *rapid.T) {
				sequence++
				source := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "source")
				d := &toucanhingev1.LoadDigest{Source: source, Epoch: 1, Sequence: sequence}
				loads := map[string]Load{}
				for _, r := range rapid.SliceOfDistinct(runner, rapid.ID).Draw(t, "runners") {
					l := Load{Online: rapid.IntRange(0, 9).Draw(t, "online"), Batch: rapid.IntRange(0, 9).Draw(t, "batch")}
					loads[r] = l
					d.Loads = append(d.Loads, &toucanhingev1.RunnerLoad{Runner: r, Online: uint32(l.Online), Batch: uint32(l.Batch)})
				}
				table.ApplyDigest(now, d)
				latest[source] = sent{now, loads}
			},
			"own": func(t *rapid.T) {
				r := runner.Draw(t, "runner")
				if own[r].Online > 0 && rapid.Bool().Draw(t, "ends") {
					table.Add(r, Load{Online: -1})
					own[r] = own[r].plus(Load{Online: -1})
					return
				}
				table.Add(r, Load{Online: 1})
				own[r] = own[r].plus(Load{Online: 1})
			},
			"time": func(t *rapid.T) {
				now += clock.Millis(rapid.IntRange(1, 700).Draw(t, "duration"))
				table.Expire(now)
			},
			"": func(t *rapid.T) {
				table.Expire(now)
				for _, r := range []string{"r1", "r2", "r3"} {
					want := own[r]
					for _, s := range latest {
						if now-s.at <= Expiry {
							want = want.plus(s.loads[r])
						}
					}
					require.Equal(t, want, table.Load(r))
					require.Equal(t, own[r], table.Own(r))
				}
			},
		})
	})
}

// A daemon detects that a runner is unresponsive. The others must learn it from the daemon's
// digest, and the state must end when the runner responds again or after a second.
func TestUnresponsiveRunnerIsPublished(t *testing.T) {
	sender, receiver := New(), New()
	sender.SetUnresponsive(0, "r", true)
	require.True(t, sender.Unresponsive(0, "r"))
	receiver.ApplyDigest(0, &toucanhingev1.LoadDigest{Source: "here", Epoch: 1, Sequence: 1, Loads: sender.Loads(0)})
	require.True(t, receiver.Unresponsive(0, "r"))
	require.False(t, receiver.Unresponsive(0, "other"))
	sender.SetUnresponsive(300, "r", false)
	receiver.ApplyDigest(300, &toucanhingev1.LoadDigest{Source: "here", Epoch: 1, Sequence: 2, Loads: sender.Loads(300)})
	require.False(t, receiver.Unresponsive(300, "r"))
	sender.SetUnresponsive(400, "r", true)
	require.True(t, sender.Unresponsive(399+UnresponsiveExpiry, "r"))
	require.False(t, sender.Unresponsive(400+UnresponsiveExpiry, "r"))
	require.Empty(t, sender.Loads(400+UnresponsiveExpiry))
}
