package fleetview

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// model is the fleet as it is, and the leader that tells it.
type model struct {
	log      *ChangeLog
	term     uint64
	revision uint64
	runners  map[string]*toucanhingev1.Runner
	peers    map[string]*toucanhingev1.DigestPeer
}

func (m *model) whole() *toucanhingev1.FleetView {
	v := &toucanhingev1.FleetView{Revision: m.revision, CoreAddresses: []string{fmt.Sprint("core of ", m.revision)}}
	for _, r := range m.runners {
		v.Runners = append(v.Runners, proto.CloneOf(r))
	}
	for _, p := range m.peers {
		v.DigestPeers = append(v.DigestPeers, proto.CloneOf(p))
	}
	return sorted(v)
}

func sorted(v *toucanhingev1.FleetView) *toucanhingev1.FleetView {
	v = proto.CloneOf(v)
	slices.SortFunc(v.Runners, func(a, b *toucanhingev1.Runner) int { return strings.Compare(a.GetId(), b.GetId()) })
	slices.SortFunc(v.DigestPeers, func(a, b *toucanhingev1.DigestPeer) int { return strings.Compare(a.GetAddress(), b.GetAddress()) })
	return v
}

func newModel() *model {
	return &model{log: &ChangeLog{}, term: 1, revision: 1 << 32, runners: map[string]*toucanhingev1.Runner{}, peers: map[string]*toucanhingev1.DigestPeer{}}
}

func (m *model) ask(have uint64, reads bool) *toucanhingev1.FleetView {
	if m.log.Revision() != m.revision {
		m.log.Apply(m.whole())
	}
	return m.log.Since(have, reads)
}

// Runners start, leave, change and come back, daemons come and go, leaders follow one another,
// and answers get lost or come to a gateway that read an older one meanwhile. Whenever a
// gateway is told the newest, it holds exactly the fleet.
func TestRapidAGatewayHoldsTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		gateways := []*Cache{{}, {}, {}}
		name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
		t.Repeat(map[string]func(*rapid.T){
			"a runner changes": func(t *rapid.T) {
				id := name.Draw(t, "runner")
				m.runners[id] = &toucanhingev1.Runner{Id: id, Slots: rapid.Uint32Range(1, 3).Draw(t, "slots"), Leaving: rapid.Bool().Draw(t, "leaving")}
				m.revision++
			},
			"a runner is gone": func(t *rapid.T) {
				delete(m.runners, name.Draw(t, "runner"))
				m.revision++
			},
			"a daemon changes": func(t *rapid.T) {
				address := name.Draw(t, "daemon")
				m.peers[address] = &toucanhingev1.DigestPeer{Address: address, Core: rapid.Bool().Draw(t, "core")}
				m.revision++
			},
			"a daemon is gone": func(t *rapid.T) {
				delete(m.peers, name.Draw(t, "daemon"))
				m.revision++
			},
			"another leader": func(*rapid.T) {
				m.term++
				m.revision = m.term << 32
				m.log = &ChangeLog{}
			},
			"a gateway asks": func(t *rapid.T) {
				g := rapid.SampledFrom(gateways).Draw(t, "gateway")
				told := m.ask(g.Revision(), true)
				if told == nil || rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
					return
				}
				if rapid.IntRange(0, 5).Draw(t, "late") == 0 {
					// It asked twice, and reads the answers in the other order.
					m.revision++
					_, ok := g.Apply(m.ask(g.Revision(), true))
					require.True(t, ok)
				}
				whole, ok := g.Apply(told)
				if !ok {
					require.Zero(t, g.Revision())
					return
				}
				if whole.GetRevision() == m.revision {
					require.Empty(t, differences(m.whole(), sorted(whole)))
				}
			},
		})
		for n, g := range gateways {
			told := m.ask(g.Revision(), true)
			if told == nil {
				continue
			}
			whole, ok := g.Apply(told)
			require.True(t, ok)
			require.Empty(t, differences(m.whole(), sorted(whole)), "gateway %d", n)
		}
	})
}

func differences(want, got *toucanhingev1.FleetView) string {
	if proto.Equal(want, got) {
		return ""
	}
	return fmt.Sprintf("want %v, got %v", want, got)
}

// A gateway of an earlier program doesn't read differences, and one that holds nothing can't
// use them.
func TestTheWholeIsTold(t *testing.T) {
	m := newModel()
	for n := range 3 {
		m.runners[fmt.Sprint(n)] = &toucanhingev1.Runner{Id: fmt.Sprint(n)}
	}
	first := m.ask(0, true)
	require.Zero(t, first.GetSince())
	m.revision++
	m.runners["3"] = &toucanhingev1.Runner{Id: "3"}
	for _, c := range []struct {
		name  string
		have  uint64
		reads bool
		told  int
	}{
		{"an earlier program", first.GetRevision(), false, 4},
		{"nothing held", 0, true, 4},
		{"a view of an earlier leader", first.GetRevision() - 1, true, 4},
		{"a view of a later leader", m.revision + 1, true, 4},
		{"the view before", first.GetRevision(), true, 1},
	} {
		require.Len(t, m.ask(c.have, c.reads).GetRunners(), c.told, c.name)
	}
	require.Nil(t, m.ask(m.revision, true))
}

// Two entries under one name can't be told as differences.
func TestDoubledNamesAreToldWhole(t *testing.T) {
	log := &ChangeLog{}
	log.Apply(&toucanhingev1.FleetView{Revision: 1, Runners: []*toucanhingev1.Runner{{Id: "a"}}})
	log.Apply(&toucanhingev1.FleetView{Revision: 2, Runners: []*toucanhingev1.Runner{{Id: "a"}, {Id: "a", Slots: 2}}})
	require.Len(t, log.Since(1, true).GetRunners(), 2)
	require.Zero(t, log.Since(1, true).GetSince())
}

// Thousands of runners come and go: what is remembered of them stays bounded, and a gateway that
// missed all of it gets the whole.
func TestWhatIsGoneIsForgotten(t *testing.T) {
	m := newModel()
	m.ask(0, true)
	old := m.revision
	for n := range 3 * mostGone {
		m.runners = map[string]*toucanhingev1.Runner{fmt.Sprint(n): {Id: fmt.Sprint(n)}}
		m.revision++
		m.ask(0, true)
	}
	require.LessOrEqual(t, len(m.log.runners.gone), mostGone)
	require.Len(t, m.log.runners.changed, 1)
	require.Zero(t, m.ask(old, true).GetSince())
}
