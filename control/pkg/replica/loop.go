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
	// maxDrain limits the calls that one iteration of the loop handles at once.
	maxDrain = 1024
)

// inboxItem is a message and the address that its sender reported.
type inboxItem struct {
	message consensus.Message
	address string
}

// view is the state of the machine that other goroutines may read.
type view struct {
	status        consensus.Status
	leaderAddress string
	// oldIdentityLeader is the address of a leader that sends to an old identity of this
	// replica.
	oldIdentityLeader string
}

// loop is the state of the consensus loop.
type loop struct {
	consensus *consensus.Machine
	formation *consensus.Formation
	senders   map[string]*sender
	// addresses contains the address that each replica reported. bootstrapAddresses
	// contains the addresses from this replica's own settings.
	addresses          map[string]string
	bootstrapAddresses map[string]string
	reportedConflicts  map[string]bool
	nextHello          clock.Millis
	pendingCalls       map[uint64][]*call
	lastCallID         uint64
	// leadershipLostAt is when this replica stopped leading. An election timeout later,
	// calls that are still pending fail with ErrUnknown.
	leadershipLostAt clock.Millis
	role             consensus.Role
	// oldIdentityLeader is the address of a leader that sends to this replica's name
	// under another identity, that of a lost disk, and oldIdentityLeaderSeen is the time
	// of its latest message.
	oldIdentityLeader     string
	oldIdentityLeaderSeen clock.Millis
}

func formationPath(folder string) string { return filepath.Join(folder, "formation") }

func (g *Group) restoreLoop(cp checkpoint, content disk.Content) error {
	var persisted consensus.Hello
	if err := readJSON(formationPath(g.config.Folder), &persisted); err != nil {
		return err
	}
	machine, err := consensus.New(consensus.Config{
		Name: g.config.Name, Identity: g.config.Identity,
		HeartbeatInterval: g.config.HeartbeatInterval, ElectionTimeout: g.config.ElectionTimeout,
		Jitter: g.config.Jitter, MaxUncommittedBytes: g.config.MaxUncommittedBytes,
	}, consensus.Restored{
		State: content.State, Base: content.Base, Entries: content.Entries,
		Applied: cp.Index, AppliedMembers: cp.Members,
	})
	if err != nil {
		return fmt.Errorf("restore consensus: %w", err)
	}
	g.loop = loop{
		consensus: machine, senders: map[string]*sender{},
		addresses: map[string]string{}, bootstrapAddresses: map[string]string{},
		reportedConflicts: map[string]bool{}, pendingCalls: map[uint64][]*call{},
		formation: consensus.NewFormation(consensus.FormationConfig{
			Self:             consensus.Member{Name: g.config.Name, Identity: g.config.Identity},
			BootstrapMembers: g.config.bootstrapMembers(), Persisted: persisted, HasLog: content.LastIndex() > 0,
		}),
	}
	for _, p := range g.config.Bootstrap {
		g.loop.bootstrapAddresses[p.Name] = p.Address
	}
	g.publishView()
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
			g.propose(append([]*call{c}, g.proposals.Drain(maxDrain)...))
		case c := <-g.reads.Items():
			g.step(consensus.ReadIndex{ID: g.register(append([]*call{c}, g.reads.Drain(maxDrain)...)...)})
		case o := <-g.adminRequests.Items():
			g.step(o.event(g.register(o.call)))
		case e := <-g.events.Items():
			g.step(e)
		}
	}
}

func (g *Group) tick() {
	g.step(consensus.Tick{})
	if now := g.config.Clock.Now(); !g.loop.formation.Done() && now >= g.loop.nextHello {
		g.loop.nextHello = now + g.config.ElectionTimeout/2
		g.executeFormation(g.loop.formation.Tick())
	}
	if at := g.loop.leadershipLostAt; at != 0 && g.config.Clock.Now()-at >= g.config.ElectionTimeout {
		g.loop.leadershipLostAt = 0
		g.waiters.failUpTo(g.loop.consensus.Status().Last)
	}
	g.publishView()
}

// register stores calls under a new ID until an action reports their outcome.
func (g *Group) register(calls ...*call) uint64 {
	g.loop.lastCallID++
	g.loop.pendingCalls[g.loop.lastCallID] = calls
	return g.loop.lastCallID
}

func (g *Group) unregister(id uint64) []*call {
	calls := g.loop.pendingCalls[id]
	delete(g.loop.pendingCalls, id)
	return calls
}

func (g *Group) propose(calls []*call) {
	backlog := g.loop.consensus.Commit() - min(g.loop.consensus.Commit(), g.waiters.lastApplied())
	var proposals []consensus.Proposal
	for _, c := range calls {
		switch {
		case c.isCanceled():
		case backlog > maxApplyBacklog:
			c.complete(nil, ErrOverloaded)
		default:
			proposals = append(proposals, consensus.Proposal{ID: g.register(c), Data: c.command})
		}
	}
	if len(proposals) > 0 {
		g.step(consensus.Propose{Proposals: proposals})
	}
}

func (g *Group) receive(item inboxItem) {
	m := item.message
	g.recordSender(m, item.address)
	if m.Kind == consensus.KindHello {
		g.executeFormation(g.loop.formation.Receive(m))
		return
	}
	g.step(consensus.Received{Message: m})
	if !g.loop.formation.Done() && g.loop.consensus.Last() > 0 {
		g.loop.formation.MarkJoined()
	}
}

// executeFormation executes the actions of a formation step. Formation happens once in
// the life of a replica, so the loop may wait for the disk.
func (g *Group) executeFormation(actions consensus.FormationActions) {
	if name := actions.Conflict; name != "" && !g.loop.reportedConflicts[name] {
		g.loop.reportedConflicts[name] = true
		g.metrics.dropped.WithLabelValues(dropConflict).Inc()
		_ = level.Error(g.logger).Log("event", "identity_conflict", "peer", name,
			"cause", "identity or settings differ from the pinned ones; a replaced disk must be removed, added and promoted")
	}
	if actions.Persist != nil {
		startedAt := time.Now()
		if err := writeJSON(formationPath(g.config.Folder), actions.Persist); err != nil {
			g.fail(err)
			return
		}
		if took := time.Since(startedAt); took >= slowSyncThreshold {
			_ = level.Warn(g.logger).Log("event", "slow_sync", "took_ms", took.Milliseconds(), "formation", true)
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
	actions := g.loop.consensus.Step(g.config.Clock.Now(), event)
	if role := g.loop.consensus.Role(); role != g.loop.role {
		g.changeRole(role)
	}
	g.execute(actions)
}

func (g *Group) changeRole(role consensus.Role) {
	if g.loop.role == consensus.RoleLeader {
		g.loop.leadershipLostAt = g.config.Clock.Now()
	}
	if role == consensus.RoleLeader {
		g.loop.leadershipLostAt = 0
		g.metrics.leaderships.Inc()
	}
	g.loop.role = role
	g.publishView()
	s := g.view.Load().status
	_ = level.Info(g.logger).Log("event", "role", "role", role, "term", s.Term, "leader", s.Leader, "commit", s.Commit)
}

// execute executes the actions of a step. Callers are registered before their entries can
// be applied.
func (g *Group) execute(actions consensus.Actions) {
	for _, a := range actions.Accepted {
		for _, c := range g.unregister(a.ID) {
			g.waiters.add(c, a.Index, a.Term)
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
		for _, c := range g.unregister(r.ID) {
			g.waiters.addRead(c, r.Index)
		}
	}
	for _, h := range actions.Transferred {
		for _, c := range g.unregister(h.ID) {
			c.complete(nil, nil)
		}
	}
	for _, r := range actions.Refused {
		for _, c := range g.unregister(r.ID) {
			c.complete(nil, g.refusalError(r.Reason))
		}
	}
	for _, s := range actions.Snapshots {
		g.sendSnapshot(s.To)
	}
	if actions.DropBefore > 0 {
		g.dropBefore.put(actions.DropBefore)
	}
}

func (g *Group) refusalError(reason consensus.Reason) error {
	switch reason {
	case consensus.ReasonNotLeader:
		name := g.loop.consensus.Leader()
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

// recordSender records the address of the sender. A sender with the name of a member and
// another identity isn't that member.
func (g *Group) recordSender(m consensus.Message, address string) {
	member, isMember := g.loop.consensus.Members().Find(m.From)
	if address != "" && (!isMember || member.Identity == m.FromIdentity) {
		g.loop.addresses[m.From] = address
	}
	leads := m.Kind == consensus.KindAppend || m.Kind == consensus.KindHeartbeat
	if leads && m.To == g.config.Name && m.ToIdentity != g.config.Identity {
		g.loop.oldIdentityLeader, g.loop.oldIdentityLeaderSeen = address, g.config.Clock.Now()
	}
}

// addressOf returns the address of a replica. The address that the replica reported
// itself has precedence: the replica may have moved since it became a member, or may not
// be a member yet.
func (g *Group) addressOf(name string) string {
	if address := g.loop.addresses[name]; address != "" {
		return address
	}
	if m, ok := g.loop.consensus.Members().Find(name); ok && m.Address != "" {
		return m.Address
	}
	return g.loop.bootstrapAddresses[name]
}

// send passes a message to the sender of the peer. If the address of the peer has
// changed, a new sender is started.
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

func (g *Group) publishView() {
	v := &view{status: g.loop.consensus.Status()}
	if v.status.Leader != "" {
		v.leaderAddress = g.addressOf(v.status.Leader)
	}
	if g.config.Clock.Now()-g.loop.oldIdentityLeaderSeen <= 2*g.config.ElectionTimeout {
		v.oldIdentityLeader = g.loop.oldIdentityLeader
	}
	g.view.Store(v)
}
