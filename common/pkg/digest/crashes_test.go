package digest

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/crashes"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// party is some daemons on loopback, in three data centres.
type party struct {
	t       *testing.T
	ctx     context.Context
	duties  sync.WaitGroup
	peers   []Peer
	daemons []*Exchange
}

func newParty(t *testing.T, daemons int) *party {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	p := &party{t: t, ctx: ctx}
	t.Cleanup(func() { cancel(); p.duties.Wait() })
	for range daemons {
		p.add()
	}
	p.introduce()
	return p
}

func (p *party) add() *Exchange {
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(p.t, err)
	address := socket.LocalAddr().String()
	require.NoError(p.t, socket.Close())
	centre := fmt.Sprintf("dc%d", len(p.daemons)%3)
	x, err := Listen(Config{
		Address: address, Source: address, DataCentre: centre, Clock: clock.System(), Logger: log.NewNopLogger(),
		Version: func() uint64 { return 0 },
	})
	require.NoError(p.t, err)
	x.SetRunnerCount(144)
	p.peers = append(p.peers, Peer{Address: address, DataCentre: centre})
	p.daemons = append(p.daemons, x)
	p.duties.Go(func() { x.Run(p.ctx) })
	return x
}

// introduce tells all daemons of one another.
func (p *party) introduce() {
	for _, x := range p.daemons {
		x.SetPeers(p.peers)
	}
}

func (p *party) knowing(content crashes.Fingerprint) int {
	count := 0
	for _, x := range p.daemons {
		if x.CheckRequest(content).Status == crashes.Quarantined {
			count++
		}
	}
	return count
}

// crash lets a request crash three runners, each under a call of another daemon.
func (p *party) crash(content crashes.Fingerprint) {
	for n := range 3 {
		p.daemons[n%len(p.daemons)].ReportCrash(&toucanhingev1.Runner{Id: fmt.Sprint("r", n)}, content, crashes.BeforeFirstEvent)
	}
}

// Three daemons each saw one crash. Within a fraction of a second all daemons refuse the
// request, those that saw none too, in a fleet of 3 and in one of 89; the bound of the
// platform is three seconds.
func TestAllDaemonsLearnOfARequestThatCrashesRunners(t *testing.T) {
	for _, daemons := range []int{3, 89} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			p := newParty(t, daemons)
			bad := crashes.FingerprintOf("POST", "team", "/bad", nil)
			began := time.Now()
			p.crash(bad)
			require.Eventually(t, func() bool { return p.knowing(bad) == daemons }, 2*time.Second, 10*time.Millisecond)
			t.Logf("%d daemons knew after %v", daemons, time.Since(began).Round(time.Millisecond))
			require.Zero(t, p.knowing(crashes.FingerprintOf("POST", "team", "/good", nil)))
		})
	}
}

// A daemon starts, or starts again with nothing remembered, after a request was quarantined.
// It asks the others, and refuses the request before the platform sends it many callers.
func TestADaemonThatStartsLearnsWhatIsQuarantined(t *testing.T) {
	p := newParty(t, 8)
	bad := crashes.FingerprintOf("POST", "team", "/bad", nil)
	p.crash(bad)
	require.Eventually(t, func() bool { return p.knowing(bad) == 8 }, 2*time.Second, 10*time.Millisecond)
	late := p.add()
	late.SetPeers(p.peers)
	began := time.Now()
	require.Eventually(t, func() bool { return late.CheckRequest(bad).Status == crashes.Quarantined }, time.Second, 5*time.Millisecond)
	t.Logf("known after %v", time.Since(began).Round(time.Millisecond))
}

// The others are told of a daemon only after the crashes, as one that was cut off comes back
// knowing the fleet: it hears of them by what is told to some, drawn by lot, each second.
func TestADaemonThatWasCutOffHearsOfQuarantines(t *testing.T) {
	p := newParty(t, 5)
	back := p.add()
	bad := crashes.FingerprintOf("POST", "team", "/bad", nil)
	p.crash(bad)
	require.Eventually(t, func() bool { return p.knowing(bad) >= 5 }, 2*time.Second, 10*time.Millisecond)
	require.False(t, back.HasSuspects())
	p.introduce()
	require.Eventually(t, func() bool { return back.CheckRequest(bad).Status == crashes.Quarantined }, 3*time.Second, 10*time.Millisecond)
}

// A request that was suspected, or quarantined, runs whole somewhere. All daemons let it run.
func TestAllDaemonsLearnThatARequestIsSound(t *testing.T) {
	p := newParty(t, 5)
	suspected := crashes.FingerprintOf("POST", "team", "/suspected", nil)
	p.crash(suspected)
	require.Eventually(t, func() bool { return p.knowing(suspected) == 5 }, 2*time.Second, 10*time.Millisecond)
	p.daemons[4].RecordSuccess(suspected)
	require.Eventually(t, func() bool { return p.knowing(suspected) == 0 }, time.Second, 10*time.Millisecond)
	time.Sleep(1_200 * time.Millisecond)
	require.Zero(t, p.knowing(suspected), "nobody tells it anew")
}

// Datagrams that can't be understood change nothing.
func TestCrashNewsThatAreUnsound(t *testing.T) {
	x := newParty(t, 1).daemons[0]
	x.takeCrashNews("other", x.socket.LocalAddr().(*net.UDPAddr).AddrPort(), &toucanhingev1.CrashNews{
		Sightings:   []*toucanhingev1.CrashSighting{{Runner: "r", Content: []byte("short"), Sign: 2}, {Runner: "s", Content: make([]byte, 40), Sign: 2}},
		Quarantines: []*toucanhingev1.RequestQuarantine{{Content: nil, LeftMs: 60_000}},
		Clearances:  []*toucanhingev1.RequestClearance{{Content: []byte{1}}},
	})
	require.False(t, x.HasSuspects())
}
