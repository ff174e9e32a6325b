package repair

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/seed"
)

func TestMain(m *testing.M) { seed.Main(m, 21) }

const now clock.Millis = 100_000

func config(losses int) Config { return Config{Self: "a", ToleratedLosses: losses, UnresponsiveAfter: 3_000} }

func voter(name string) Member { return Member{Name: name, Identity: "1", Voter: true} }

func learner(name string, behind uint64) Member {
	return Member{Name: name, Identity: "1", Lag: behind}
}

func vm(name string) VM { return VM{Name: name, Identity: "1", LastSeen: now} }

func TestNextStep(t *testing.T) {
	silent := func(name string) VM { return VM{Name: name, Identity: "1", LastSeen: now - 3_000} }
	wiped := func(name string) VM { return VM{Name: name, Identity: "2", LastSeen: now} }
	retiring := func(name string) VM { return VM{Name: name, Identity: "1", LastSeen: now, Retiring: true} }
	three := []Member{voter("a"), voter("b"), voter("c")}
	for _, c := range []struct {
		name    string
		members []Member
		vms     []VM
		kind    Kind
		member  string
	}{
		{"all is well", three, []VM{vm("a"), vm("b"), vm("c")}, NoStep, ""},
		{"a VM is new", three, []VM{vm("a"), vm("b"), vm("c"), vm("d")}, AddLearner, "d"},
		{"two VMs are new", append(three, learner("d", 0)), []VM{vm("a"), vm("b"), vm("c"), vm("d"), vm("e")}, NoStep, ""},
		{"a disk was lost", three, []VM{vm("a"), vm("b"), wiped("c")}, Remove, "c"},
		{"and its VM comes back", three[:2], []VM{vm("a"), vm("b"), wiped("c")}, AddLearner, "c"},
		{"and holds nothing yet", append(three[:2:2], learner("c", 9)), []VM{vm("a"), vm("b"), vm("c")}, NoStep, ""},
		{"and holds everything", append(three[:2:2], learner("c", 0)), []VM{vm("a"), vm("b"), vm("c")}, Promote, "c"},
		{"a silent voter without a successor", three, []VM{vm("a"), vm("b"), silent("c")}, NoStep, ""},
		{"a silent voter, a successor lags", append(three, learner("d", 4)), []VM{vm("a"), vm("b"), silent("c"), vm("d")}, NoStep, ""},
		{"a silent voter, a successor is ready", append(three, learner("d", 0)), []VM{vm("a"), vm("b"), silent("c"), vm("d")}, Remove, "c"},
		{"a silent learner, another VM is there", append(three, learner("d", 0)), []VM{vm("a"), vm("b"), vm("c"), silent("d"), vm("e")}, Remove, "d"},
		{"a VM that never announced itself", append(three, learner("d", 0)), []VM{vm("a"), vm("b"), vm("d")}, Remove, "c"},
		{"the leader's own silence is none", append(three, learner("d", 0)), []VM{silent("a"), vm("b"), vm("c"), vm("d")}, NoStep, ""},
		{"retiring, nobody can follow", three, []VM{vm("a"), vm("b"), retiring("c")}, NoStep, ""},
		{"retiring, a new VM is there", three, []VM{vm("a"), vm("b"), retiring("c"), vm("d")}, AddLearner, "d"},
		{"retiring, the successor is ready", append(three, learner("d", 0)), []VM{vm("a"), vm("b"), retiring("c"), vm("d")}, Promote, "d"},
		{"retiring, the successor votes", append(three, voter("d")), []VM{vm("a"), vm("b"), retiring("c"), vm("d")}, Remove, "c"},
		{"the leader retires", append(three, voter("d")), []VM{retiring("a"), vm("b"), vm("c"), vm("d")}, TransferLeadership, "a"},
		{"retiring learners leave first", append(three, learner("d", 0)), []VM{vm("a"), vm("b"), vm("c"), retiring("d")}, Remove, "d"},
		{"a retiring VM isn't taken in", three, []VM{vm("a"), vm("b"), vm("c"), retiring("d")}, NoStep, ""},
		{"a silent VM isn't taken in", three, []VM{vm("a"), vm("b"), vm("c"), silent("d")}, NoStep, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			step := config(1).Next(now, c.members, c.vms)
			require.Equal(t, c.kind, step.Kind, "%v", step)
			require.Equal(t, c.member, step.Member.Name)
		})
	}
}

func TestMayRetire(t *testing.T) {
	vms := []VM{vm("a"), vm("b"), vm("c"), vm("d")}
	require.True(t, config(1).MayRetire(now, "d", vms))
	require.False(t, config(1).MayRetire(now, "c", vms[:3]))
	vms[1].Retiring = true
	require.False(t, config(1).MayRetire(now, "d", vms))
	vms[1].Retiring = false
	vms[1].LastSeen = now - 10_000
	require.False(t, config(1).MayRetire(now, "d", vms))
}

// world is a group that follows the steps, with VMs that come, go and lose disks.
type world struct {
	members []Member
	vms     map[string]VM
	gone    map[string]bool
	folders int
}

func (w *world) list() []VM {
	var list []VM
	for name, v := range w.vms {
		if !w.gone[name] {
			v.LastSeen = now
		}
		list = append(list, v)
	}
	return list
}

// carry does what the consensus group does with a step.
func (w *world) carry(step Step) {
	var rest []Member
	for _, m := range w.members {
		if m.Name != step.Member.Name {
			rest = append(rest, m)
		}
	}
	switch step.Kind {
	case AddLearner:
		m := step.Member
		m.Lag = 0
		rest = append(rest, m)
		w.members = rest
	case Promote:
		m := step.Member
		m.Voter = true
		rest = append(rest, m)
		w.members = rest
	case Remove:
		w.members = rest
	}
}

// TestRapidTheGroupRecovers lets VMs vanish, lose their disks, come and retire,
// one at a time and never more than may be lost at once; after each the steps
// come to an end, and leave enough voters, all of them alive, none with a lost
// disk, none retiring.
func TestRapidTheGroupRecovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		losses := rapid.IntRange(1, 2).Draw(t, "losses")
		c := config(losses)
		w := &world{vms: map[string]VM{}, gone: map[string]bool{}}
		total := c.Voters() + 1
		for i := range total {
			name := string(rune('a' + i))
			w.vms[name] = vm(name)
			if i < 3 {
				w.members = append(w.members, voter(name))
			}
		}
		settle := func(t *rapid.T) {
			for range 40 {
				step := c.Next(now, w.members, w.list())
				if step.Kind == NoStep || step.Kind == TransferLeadership {
					return
				}
				w.carry(step)
			}
			t.Fatalf("the steps don't come to an end: %v %v", w.members, w.vms)
		}
		settle(t)
		t.Repeat(map[string]func(*rapid.T){
			"a VM comes": func(t *rapid.T) {
				name := fmt.Sprintf("n%d", len(w.vms))
				w.vms[name] = vm(name)
				settle(t)
			},
			"a disk is lost": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"b", "c", "d"}).Draw(t, "name")
				w.folders++
				v := w.vms[name]
				v.Identity = fmt.Sprintf("new%d", w.folders)
				w.vms[name] = v
				settle(t)
			},
			"a VM vanishes and another comes": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"b", "c", "d"}).Draw(t, "name")
				v := w.vms[name]
				v.LastSeen = now - 60_000
				w.vms[name] = v
				w.gone[name] = true
				fresh := fmt.Sprintf("n%d", len(w.vms))
				w.vms[fresh] = vm(fresh)
				settle(t)
				v.LastSeen = now
				w.vms[name] = v
				delete(w.gone, name)
				settle(t)
			},
			"": func(t *rapid.T) {
				voters := 0
				for _, m := range w.members {
					if !m.Voter {
						continue
					}
					voters++
					v := w.vms[m.Name]
					require.False(t, w.gone[m.Name], "%s votes and is gone", m.Name)
					require.Equal(t, v.Identity, m.Identity, "%s votes with a lost disk", m.Name)
				}
				require.GreaterOrEqual(t, voters, c.Voters())
			},
		})
	})
}
