package consensus

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// founder is a replica of a new group with what its disk holds.
type founder struct {
	name      string
	identity  string
	kept      Hello
	log       Members
	formation *Formation
}

type founders struct {
	nodes   []*founder
	network []Message
	lost    int
	// formed are the memberships that replicas took part with.
	formed []Members
	fail   func(format string, arguments ...any)
}

func newFounders(size int) *founders {
	fs := &founders{}
	for i := range size {
		fs.nodes = append(fs.nodes, &founder{name: fmt.Sprintf("n%d", i), identity: fmt.Sprintf("n%d-disk0", i)})
	}
	for _, f := range fs.nodes {
		fs.restart(f)
	}
	return fs
}

func (fs *founders) restart(f *founder) {
	var settings Members
	for _, o := range fs.nodes {
		settings = append(settings, Member{Name: o.name, Voter: true})
	}
	f.formation = NewFormation(FormationConfig{
		Self: Member{Name: f.name, Identity: f.identity}, BootstrapMembers: settings,
		Persisted: f.kept, HasLog: f.log != nil,
	})
}

// act carries actions out; a crash may come after any durable step.
func (fs *founders) act(f *founder, actions FormationActions, crash func() bool) {
	if actions.Persist != nil {
		f.kept = *actions.Persist
		if crash() {
			fs.restart(f)
			return
		}
	}
	if actions.Formed != nil {
		f.log = actions.Formed
		fs.check(f.log)
		if crash() {
			fs.restart(f)
			return
		}
	}
	fs.network = append(fs.network, actions.Messages...)
}

// check compares a membership with those formed before. Only when all disks were
// lost may there be another one; it shares no identity with the first.
func (fs *founders) check(members Members) {
	for _, other := range fs.formed {
		for _, m := range members {
			if other.Has(m.Name, m.Identity) && !slices.Equal(other, members) {
				fs.fail("formed %v and %v", other, members)
			}
		}
	}
	fs.formed = append(fs.formed, members)
}

func (fs *founders) deliver(m Message, crash func() bool) {
	for _, f := range fs.nodes {
		if f.name == m.To {
			fs.act(f, f.formation.Receive(m), crash)
		}
	}
}

// A group is formed for the first time while replicas crash and lose their
// disks. If two replicas started with different identities for the same member,
// the member that lost its disk could vote twice in one term. So all that ever
// take part must have taken the same members.
func TestFuzzFormation(t *testing.T) {
	formed := 0
	rapid.Check(t, func(t *rapid.T) {
		fs := newFounders(rapid.IntRange(1, 4).Draw(t, "replicas"))
		fs.fail = func(format string, arguments ...any) { t.Fatalf(format, arguments...) }
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		crash := func() bool { return choose(8) == 0 }
		tick := func(*rapid.T) {
			f := fs.nodes[choose(len(fs.nodes))]
			fs.act(f, f.formation.Tick(), crash)
		}
		deliver := func(*rapid.T) {
			if len(fs.network) > 0 {
				i := choose(len(fs.network))
				m := fs.network[i]
				if choose(4) > 0 {
					fs.network = append(fs.network[:i:i], fs.network[i+1:]...)
				}
				fs.deliver(m, crash)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"tick": tick, "tick2": tick, "deliver": deliver, "deliver2": deliver, "deliver3": deliver,
			"restart": func(*rapid.T) { fs.restart(fs.nodes[choose(len(fs.nodes))]) },
			"lose disk": func(*rapid.T) {
				f := fs.nodes[choose(len(fs.nodes))]
				if choose(10) > 0 || fs.lost == 2 {
					return
				}
				fs.lost++
				f.identity = fmt.Sprintf("%s-disk%d", f.name, fs.lost)
				f.kept, f.log = Hello{}, nil
				fs.restart(f)
			},
		})
		formed += len(fs.formed)
	})
	require.Positive(t, formed)
}

// All replicas are up once: the group forms, whatever the order of their starts.
func TestFormationEnds(t *testing.T) {
	for size := 1; size <= 5; size++ {
		fs := newFounders(size)
		fs.fail = t.Fatalf
		never := func() bool { return false }
		for range 4 {
			for _, f := range fs.nodes {
				fs.act(f, f.formation.Tick(), never)
			}
			for len(fs.network) > 0 {
				m := fs.network[0]
				fs.network = fs.network[1:]
				fs.deliver(m, never)
			}
		}
		for _, f := range fs.nodes {
			require.Len(t, f.log, size)
		}
	}
}

// A replica that lost its disk comes back into a formed group under its old
// name. It is told apart by its identity and doesn't take part.
func TestLostDiskDoesntFormAgain(t *testing.T) {
	fs := newFounders(3)
	fs.fail = t.Fatalf
	never := func() bool { return false }
	run := func() (conflicts int) {
		for range 4 {
			for _, f := range fs.nodes {
				fs.act(f, f.formation.Tick(), never)
			}
			for len(fs.network) > 0 {
				m := fs.network[0]
				fs.network = fs.network[1:]
				for _, f := range fs.nodes {
					if f.name == m.To {
						actions := f.formation.Receive(m)
						fs.act(f, actions, never)
						if actions.Conflict != "" {
							conflicts++
						}
					}
				}
			}
		}
		return conflicts
	}
	require.Zero(t, run())
	lost := fs.nodes[1]
	lost.identity, lost.kept, lost.log = "n1-disk1", Hello{}, nil
	fs.restart(lost)
	require.Positive(t, run())
	require.Nil(t, lost.log)
	require.False(t, lost.formation.Done())
}

// A replica of a replaced disk pinned others during its lonely start, and then
// got the log from a leader. What it pinned isn't what the group was formed with;
// another replaced replica that pinned the same must not start from it.
func TestJoinedReplicaVouchesForNothing(t *testing.T) {
	pins := Members{{Name: "a", Identity: "a1", Voter: true}, {Name: "b", Identity: "b1", Voter: true}}
	hello := Message{Kind: KindHello, From: "b", FromIdentity: "b1", To: "a"}
	other := NewFormation(FormationConfig{Self: Member{Name: "b", Identity: "b1"}, Persisted: Hello{Pins: pins}})
	hello.Entries = other.Tick().Messages[0].Entries
	scenarios := []struct {
		name    string
		kept    Hello
		answers int
	}{
		{name: "formed", kept: Hello{Pins: pins, Formed: true}, answers: 1},
		{name: "joined", kept: Hello{Pins: pins}},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			f := NewFormation(FormationConfig{Self: Member{Name: "a", Identity: "a1"}, Persisted: sc.kept, HasLog: true})
			require.Len(t, f.Receive(hello).Messages, sc.answers)
		})
	}
}
