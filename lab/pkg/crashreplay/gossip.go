package crashreplay

import "toucanhinge.example/common/pkg/clock"

// gossipInterval is how often a gateway repeats what it knows, startQuery the time from its start until it has asked others.
const (
	gossipInterval clock.Millis = 1_000
	startQuery     clock.Millis = 100
)

// gossipFanout is the number of gateways that each message goes to, maxReports limits the reports in it.
const (
	gossipFanout = 3
	maxReports   = 32
)

// gossip sends what each gateway knows to some others.
func (f *Fleet) gossip() {
	for _, g := range f.gateways {
		if !g.parts.Empty() || !g.requests.Empty() {
			g.parts.Expire(f.now)
			g.requests.Expire(f.now)
			for range gossipFanout {
				g.tell(f.gateways[f.random.IntN(len(f.gateways))])
			}
		}
	}
	f.after(gossipInterval, f.gossip)
}

// tell sends what a gateway knows to another one.
func (g *gateway) tell(other *gateway) {
	if other == g || g.fleet.random.Float64() < g.fleet.config.Loss {
		return
	}
	now := g.fleet.now
	for _, r := range g.requests.Reports(now, maxReports) {
		other.requests.AddReport(now, r)
	}
	for _, q := range g.requests.Quarantines() {
		other.requests.ApplyQuarantine(now, q)
	}
	for _, r := range g.parts.Reports(now, maxReports) {
		other.receiveParts(r, g.parts.KnownAnswers(r))
	}
	for _, q := range g.parts.Quarantines() {
		other.parts.ApplyQuarantine(now, q)
	}
}

// restartGateways replaces a gateway by one that knows nothing and asks others shortly after.
func (f *Fleet) restartGateways() {
	n := f.random.IntN(len(f.gateways))
	g := newGateway(f, n, f.config.Runners)
	g.startedAt = f.now
	f.gateways[n] = g
	f.after(startQuery, func() {
		for range gossipFanout {
			f.gateways[f.random.IntN(len(f.gateways))].tell(g)
		}
	})
	f.after(f.interval(f.config.RestartInterval), f.restartGateways)
}

// isInTouch reports whether a gateway has run long enough to know what the others know.
func (g *gateway) isInTouch() bool {
	return g.startedAt == 0 || g.fleet.now-g.startedAt >= noticeLimit
}
