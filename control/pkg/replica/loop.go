package replica

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/control/pkg/consensus"
	"toucanhinge.example/control/pkg/disk"
)

const (
	ticksPerHeartbeat = 2
	// drainLimit bounds what one turn of the loop takes at once.
	drainLimit = 1024
)

// inboxItem is a message with the address that its sender gave.
type inboxItem struct {
	message consensus.Message
	address string
}

// view is what other goroutines may know of the machine.
type view struct {
	status        consensus.Status
	leaderAddress string
	// named is the address of a leader that took this replica for another one.
	named string
}

// loop is what the consensus loop keeps.
type loop struct {
	core      *consensus.Machine
	formation *consensus.Formation
	senders   map[string]*sender
	// heard holds where each replica said that it is. settings holds what the own
	// settings say.
	heard     map[string]string
	settings  map[string]string
	conflicts map[string]bool
	helloDue  clock.Millis
	calls     map[uint64][]*call
	lastCall  uint64
	// lostAt is when this replica stopped leading while callers waited.
	lostAt clock.Millis
	role   consensus.Role
	// named is where a leader is that sends to this replica's name under another
	// identity, that of the disk which was lost, and namedAt when it did so last.
	named   string
	namedAt clock.Millis
}

func formationPath(folder string) string { return filepath.Join(folder, "formation") }

func (g *Group) restoreLoop(point checkpoint, content disk.Content) error {
	var kept consensus.Hello
	if err := readJSON(formationPath(g.config.Folder), &kept); err != nil {
		return err
	}
	core, err := consensus.New(consensus.Config{
		Name: g.config.Name, Identity: g.config.Identity,
		HeartbeatInterval: g.config.HeartbeatInterval, ElectionTimeout: g.config.ElectionTimeout,
		Jitter: g.config.Jitter,
	}, consensus.Restored{
		State: content.State, Base: content.Base, Entries: content.Entries,
		Applied: point.Index, AppliedMembers: point.Members,
	})
	if err != nil {
		return fmt.Errorf("restore consensus: %w", err)
	}
	g.loop = loop{
		core: core, senders: map[string]*sender{}, heard: map[string]string{}, settings: map[string]string{},
		conflicts: map[string]bool{}, calls: map[uint64][]*call{},
		formation: consensus.NewFormation(consensus.FormationConfig{
			Self:     consensus.Member{Name: g.config.Name, Identity: g.config.Identity},
			BootstrapMembers: g.config.settings(), Persisted: kept, HasLog: content.Last() > 0,
		}),
	}
	for _, p := range g.config.Bootstrap {
		g.loop.settings[p.Name] = p.Address
	}
	g.publish()
	return nil
}

func (g *Group) runLoop() {
	ticker := time.NewTicker(g.config.HeartbeatInterval.Duration() / ticksPerHeartbeat)
	defer ticker.Stop()
	g.tick()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-ticker.C:
			g.tick()
		case item := <-g.inbox.Items():
			g.receive(item)
		case <-g.syncedWake:
			g.step(consensus.Synced{Sequence: g.synced.Load()})
		case c := <-g.proposals.Items():
			g.propose(append([]*call{c}, g.proposals.Drain(drainLimit)...))
		case c := <-g.reads.Items():
			g.step(consensus.ReadIndex{ID: g.expect(append([]*call{c}, g.reads.Drain(drainLimit)...)...)})
		case o := <-g.orders.Items():
			g.step(o.event(g.expect(o.call)))
		case e := <-g.events.Items():
			g.step(e)
		}
	}
}

func (g *Group) tick() {
	g.step(consensus.Tick{})
	if now := g.config.Clock.Now(); !g.loop.formation.Done() && now >= g.loop.helloDue {
		g.loop.helloDue = now + g.config.ElectionTimeout/2
		g.form(g.loop.formation.Tick())
	}
	if at := g.loop.lostAt; at != 0 && g.config.Clock.Now()-at >= g.config.ElectionTimeout {
		g.loop.lostAt = 0
		g.waiting.giveUp(g.loop.core.Status().Last)
	}
	g.publish()
}

// expect keeps calls under a fresh id until an action tells their outcome.
func (g *Group) expect(calls ...*call) uint64 {
	g.loop.lastCall++
	g.loop.calls[g.loop.lastCall] = calls
	return g.loop.lastCall
}

func (g *Group) take(id uint64) []*call {
	calls := g.loop.calls[id]
	delete(g.loop.calls, id)
	return calls
}

func (g *Group) propose(calls []*call) {
	backlog := g.loop.core.Commit() - min(g.loop.core.Commit(), g.waiting.lastApplied())
	var proposals []consensus.Proposal
	for _, c := range calls {
		switch {
		case c.abandoned():
		case backlog > maximumBacklog:
			c.end(nil, ErrOverloaded)
		default:
			proposals = append(proposals, consensus.Proposal{ID: g.expect(c), Data: c.command})
		}
	}
	if len(proposals) > 0 {
		g.step(consensus.Propose{Proposals: proposals})
	}
}

func (g *Group) receive(item inboxItem) {
	m := item.message
	g.hear(m, item.address)
	if m.Kind == consensus.KindHello {
		g.form(g.loop.formation.Receive(m))
		return
	}
	g.step(consensus.Received{Message: m})
	if !g.loop.formation.Done() && g.loop.core.Last() > 0 {
		g.loop.formation.MarkJoined()
	}
}

// form does what the formation of a new group asks for. It happens once in a
// replica's life, so the loop may wait for the disk.
func (g *Group) form(actions consensus.FormationActions) {
	if name := actions.Conflict; name != "" && !g.loop.conflicts[name] {
		g.loop.conflicts[name] = true
		g.metrics.dropped.WithLabelValues(dropConflict).Inc()
		_ = level.Error(g.logger).Log("event", "identity_conflict", "peer", name,
			"cause", "another identity or other settings than pinned; a replaced disk must be removed, added and promoted")
	}
	if actions.Persist != nil {
		if err := writeJSON(formationPath(g.config.Folder), actions.Persist); err != nil {
			g.fail(err)
			return
		}
	}
	if len(actions.Formed) > 0 {
		_ = level.Info(g.logger).Log("event", "group_formed", "members", len(actions.Formed))
		g.step(consensus.FormGroup{Members: actions.Formed})
	}
	for _, m := range actions.Messages {
		g.send(m)
	}
}

func (g *Group) step(event consensus.Event) {
	actions := g.loop.core.Step(g.config.Clock.Now(), event)
	if role := g.loop.core.Role(); role != g.loop.role {
		g.changeRole(role)
	}
	g.act(actions)
}

func (g *Group) changeRole(role consensus.Role) {
	if g.loop.role == consensus.RoleLeader {
		g.loop.lostAt = g.config.Clock.Now()
	}
	if role == consensus.RoleLeader {
		g.loop.lostAt = 0
		g.metrics.elections.Inc()
	}
	g.loop.role = role
	g.publish()
	s := g.view.Load().status
	_ = level.Info(g.logger).Log("event", "role", "role", role, "term", s.Term, "leader", s.Leader, "commit", s.Commit)
}

// act carries out actions. Callers are registered before their entries can be
// applied.
func (g *Group) act(actions consensus.Actions) {
	for _, a := range actions.Accepted {
		for _, c := range g.take(a.ID) {
			g.waiting.expect(c, a.Index, a.Term)
		}
	}
	if actions.Persist != nil {
		g.persists.put(*actions.Persist)
	}
	for _, m := range actions.Messages {
		g.send(m)
	}
	if len(actions.Committed) > 0 {
		g.committed.put(applyItem{entries: actions.Committed})
	}
	for _, r := range actions.Reads {
		for _, c := range g.take(r.ID) {
			g.waiting.read(c, r.Index)
		}
	}
	for _, h := range actions.Transferred {
		for _, c := range g.take(h.ID) {
			c.end(nil, nil)
		}
	}
	for _, r := range actions.Refused {
		for _, c := range g.take(r.ID) {
			c.end(nil, g.refusal(r.Reason))
		}
	}
	for _, s := range actions.Snapshots {
		g.sendSnapshot(s.To)
	}
	if actions.DropBefore > 0 {
		g.dropBefore.put(actions.DropBefore)
	}
}

func (g *Group) refusal(reason consensus.Reason) error {
	switch reason {
	case consensus.ReasonNotLeader:
		name := g.loop.core.Leader()
		if name == g.config.Name {
			return &NotLeaderError{}
		}
		return &NotLeaderError{Leader: name, Address: g.addressOf(name)}
	case consensus.ReasonOverloaded:
		return ErrOverloaded
	default:
		return &RefusedError{Reason: reason}
	}
}

// hear notes where a replica is. One that goes by a member's name under another
// identity isn't that member.
func (g *Group) hear(m consensus.Message, address string) {
	member, named := g.loop.core.Members().Find(m.From)
	if address != "" && (!named || member.Identity == m.FromIdentity) {
		g.loop.heard[m.From] = address
	}
	leads := m.Kind == consensus.KindAppend || m.Kind == consensus.KindHeartbeat
	if leads && m.To == g.config.Name && m.ToIdentity != g.config.Identity {
		g.loop.named, g.loop.namedAt = address, g.config.Clock.Now()
	}
}

// addressOf prefers what a replica said itself: it may have moved since it became
// a member, or not be one yet.
func (g *Group) addressOf(name string) string {
	if address := g.loop.heard[name]; address != "" {
		return address
	}
	if m, ok := g.loop.core.Members().Find(name); ok && m.Address != "" {
		return m.Address
	}
	return g.loop.settings[name]
}

// send hands a message to the peer's sender, which is started anew when the
// peer's address has changed.
func (g *Group) send(m consensus.Message) {
	address := g.addressOf(m.To)
	if address == "" {
		g.metrics.dropped.WithLabelValues(dropNoAddress).Inc()
		return
	}
	s := g.loop.senders[m.To]
	if s == nil || s.address != address {
		if s != nil {
			s.stop()
		}
		s = g.startSender(m.To, address)
		g.loop.senders[m.To] = s
	}
	s.ring.Offer(m)
}

func (g *Group) publish() {
	v := &view{status: g.loop.core.Status()}
	if v.status.Leader != "" {
		v.leaderAddress = g.addressOf(v.status.Leader)
	}
	if g.config.Clock.Now()-g.loop.namedAt <= 2*g.config.ElectionTimeout {
		v.named = g.loop.named
	}
	g.view.Store(v)
}
