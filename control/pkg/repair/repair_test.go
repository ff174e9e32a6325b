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

func config(losses int) Config {
	return Config{Self: "a", ToleratedLosses: losses, UnresponsiveAfter: 3_000}
}

func voter(name string) Member { return Member{Name: name, Identity: "1", Voter: true} }

func learner(name string, lag uint64) Member {
	return Member{Name: name, Identity: "1", Lag: lag}
}

func inContact(m Member) Member {
	m.InContact = true
	return m
}

func vm(name string) VM { return VM{Name: name, Identity: "1", LastSeen: now} }

func TestNextStep(t *testing.T) {
	unresponsive := func(name string) VM { return VM{Name: name, Identity: "1", LastSeen: now - 3_000} }
	newDisk := func(name string) VM { return VM{Name: name, Identity: "2", LastSeen: now} }
	retiring := func(name string) VM { return VM{Name: name, Identity: "1", LastSeen: now, Retiring: true} }
	three := []Member{voter("a"), voter("b"), voter("c")}
	for _, c := range []struct {
		name    string
		members []Member
		vms     []VM
		kind    Kind
		member  string
	}{
		{"complete group", three, []VM{vm("a"), vm("b"), vm("c")}, NoStep, ""},
		{"one new VM", three, []VM{vm("a"), vm("b"), vm("c"), vm("d")}, AddLearner, "d"},
		{"two new VMs, one already a learner", append(three, learner("d", 0)), []VM{vm("a"), vm("b"), vm("c"), vm("d"), vm("e")}, NoStep, ""},
		{"voter with a lost disk", three, []VM{vm("a"), vm("b"), newDisk("c")}, Remove, "c"},
		{"VM with a new disk after its removal", three[:2], []VM{vm("a"), vm("b"), newDisk("c")}, AddLearner, "c"},
		{"learner with a new disk lags", append(three[:2:2], learner("c", 9)), []VM{vm("a"), vm("b"), vm("c")}, NoStep, ""},
		{"learner with a new disk has caught up", append(three[:2:2], learner("c", 0)), []VM{vm("a"), vm("b"), vm("c")}, Promote, "c"},
		{"unresponsive voter, no other VM", three, []VM{vm("a"), vm("b"), unresponsive("c")}, NoStep, ""},
		{"unresponsive voter, learner lags", append(three, learner("d", 4)), []VM{vm("a"), vm("b"), unresponsive("c"), vm("d")}, NoStep, ""},
		{"unresponsive voter, learner has caught up", append(three, learner("d", 0)), []VM{vm("a"), vm("b"), unresponsive("c"), vm("d")}, Promote, "d"},
		{"unresponsive voter, replacement is a voter", append(three, voter("d")), []VM{vm("a"), vm("b"), unresponsive("c"), vm("d")}, Remove, "c"},
		{"unresponsive learner, another VM available", append(three, learner("d", 0)), []VM{vm("a"), vm("b"), vm("c"), unresponsive("d"), vm("e")}, Remove, "d"},
		{"voter whose VM never announced itself", append(three, learner("d", 0)), []VM{vm("a"), vm("b"), vm("d")}, Promote, "d"},
		{"voter whose VM never announced itself, replacement is a voter", append(three, voter("d")), []VM{vm("a"), vm("b"), vm("d")}, Remove, "c"},
		{"voter in contact whose VM never announced itself", []Member{voter("a"), inContact(voter("b")), voter("c"), learner("d", 0)}, []VM{vm("a"), vm("d"), vm("c")}, NoStep, ""},
		{"voter in contact with old announcements", []Member{voter("a"), inContact(voter("b")), voter("c"), voter("d")}, []VM{vm("a"), unresponsive("b"), unresponsive("c"), vm("d")}, Remove, "c"},
		{"leader is never unresponsive to itself", append(three, learner("d", 0)), []VM{unresponsive("a"), vm("b"), vm("c"), vm("d")}, NoStep, ""},
		{"retiring voter, no other VM", three, []VM{vm("a"), vm("b"), retiring("c")}, NoStep, ""},
		{"retiring voter, new VM available", three, []VM{vm("a"), vm("b"), retiring("c"), vm("d")}, AddLearner, "d"},
		{"retiring voter, learner has caught up", append(three, learner("d", 0)), []VM{vm("a"), vm("b"), retiring("c"), vm("d")}, Promote, "d"},
		{"retiring voter, replacement is a voter", append(three, voter("d")), []VM{vm("a"), vm("b"), retiring("c"), vm("d")}, Remove, "c"},
		{"retiring leader", append(three, voter("d")), []VM{retiring("a"), vm("b"), vm("c"), vm("d")}, TransferLeadership, "a"},
		{"retiring learner", append(three, learner("d", 0)), []VM{vm("a"), vm("b"), vm("c"), retiring("d")}, Remove, "d"},
		{"retiring VM is not added", three, []VM{vm("a"), vm("b"), vm("c"), retiring("d")}, NoStep, ""},
		{"unresponsive VM is not added", three, []VM{vm("a"), vm("b"), vm("c"), unresponsive("d")}, NoStep, ""},
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

// modelGroup simulates a group that executes the steps, and its VMs.
type modelGroup struct {
	members  []Member
	vms      map[string]VM
	down     map[string]bool
	newDisks int // number of disks replaced so far, for unique identities
}

func (g *modelGroup) listVMs() []VM {
	var list []VM
	for name, v := range g.vms {
		if !g.down[name] {
			v.LastSeen = now
		}
		list = append(list, v)
	}
	return list
}

// apply changes the members as the consensus group does for a step.
func (g *modelGroup) apply(step Step) {
	var members []Member
	for _, m := range g.members {
		if m.Name != step.Member.Name {
			members = append(members, m)
		}
	}
	switch step.Kind {
	case AddLearner:
		m := step.Member
		m.Lag = 0
		members = append(members, m)
		g.members = members
	case Promote:
		m := step.Member
		m.Voter = true
		members = append(members, m)
		g.members = members
	case Remove:
		g.members = members
	}
}

func (g *modelGroup) takeDown(name string) {
	v := g.vms[name]
	v.LastSeen = now - 60_000
	g.vms[name] = v
	g.down[name] = true
}

func (g *modelGroup) bringBack(name string) {
	v := g.vms[name]
	v.LastSeen = now
	g.vms[name] = v
	delete(g.down, name)
}

// toleratedLosses returns the number of voters that may be lost as long as all others are sound.
func (g *modelGroup) toleratedLosses() int {
	voters := 0
	for _, m := range g.members {
		if m.Voter {
			voters++
		}
	}
	return (voters - 1) / 2
}

// TestRapidGroupRecovers adds VMs, replaces their disks and takes them down, one at a
// time and never more than the tolerated number at once. After each event the steps
// must end, and leave enough voters, none of them down or with a lost disk.
func TestRapidGroupRecovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		losses := rapid.IntRange(1, 2).Draw(t, "losses")
		c := config(losses)
		g := &modelGroup{vms: map[string]VM{}, down: map[string]bool{}}
		total := c.Voters() + 1
		for i := range total {
			name := string(rune('a' + i))
			g.vms[name] = vm(name)
			if i < 3 {
				g.members = append(g.members, voter(name))
			}
		}
		applySteps := func(t *rapid.T) {
			for range 40 {
				step := c.Next(now, g.members, g.listVMs())
				if step.Kind == NoStep || step.Kind == TransferLeadership {
					return
				}
				before := g.toleratedLosses()
				g.apply(step)
				if step.Reason == "silent" {
					require.GreaterOrEqual(t, g.toleratedLosses(), before, "silent voter removed before its replacement: %v", g.members)
				}
			}
			t.Fatalf("no end of the steps: members %v, VMs %v", g.members, g.vms)
		}
		applySteps(t)
		t.Repeat(map[string]func(*rapid.T){
			"a VM comes": func(t *rapid.T) {
				name := fmt.Sprintf("n%d", len(g.vms))
				g.vms[name] = vm(name)
				applySteps(t)
			},
			"a disk is lost": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"b", "c", "d"}).Draw(t, "name")
				g.newDisks++
				v := g.vms[name]
				v.Identity = fmt.Sprintf("new%d", g.newDisks)
				g.vms[name] = v
				applySteps(t)
			},
			"a VM vanishes and another comes": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"b", "c", "d"}).Draw(t, "name")
				g.takeDown(name)
				added := fmt.Sprintf("n%d", len(g.vms))
				g.vms[added] = vm(added)
				applySteps(t)
				g.bringBack(name)
				applySteps(t)
			},
			"a VM is silent for a while": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"b", "c", "d"}).Draw(t, "name")
				g.takeDown(name)
				applySteps(t)
				g.bringBack(name)
				applySteps(t)
			},
			"": func(t *rapid.T) {
				voters := 0
				for _, m := range g.members {
					if !m.Voter {
						continue
					}
					voters++
					v := g.vms[m.Name]
					require.False(t, g.down[m.Name], "voter %s is down", m.Name)
					require.Equal(t, v.Identity, m.Identity, "voter %s has a lost disk", m.Name)
				}
				require.GreaterOrEqual(t, voters, c.Voters())
			},
		})
	})
}
