package replica

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"toucanhinge.example/control/pkg/consensus"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// promoteRetry is how long Promote waits before it looks again whether the
// learner holds everything.
const promoteRetry = 20 * time.Millisecond

// Propose appends a command and returns what Apply returned for it here, once it
// is synced on a majority and applied. *NotLeaderError, ErrOverloaded and ErrStopped
// tell that it will never be committed; after ErrUnknown it may or may not be.
func (g *Group) Propose(ctx context.Context, command []byte) (any, error) {
	if err := g.usable(ctx); err != nil {
		return g.counted(nil, err)
	}
	c := newCall(ctx, command)
	if !g.proposals.Offer(c) {
		return g.counted(nil, ErrOverloaded)
	}
	return g.await(ctx, c)
}

// Read returns once this replica, as the leader, has applied everything that was
// acknowledged anywhere before the call, and a majority confirmed it. Else the
// error is *NotLeaderError, or the context's.
func (g *Group) Read(ctx context.Context) error {
	if err := g.usable(ctx); err != nil {
		_, err = g.counted(nil, err)
		return err
	}
	c := newCall(ctx, nil)
	if !g.reads.Offer(c) {
		_, err := g.counted(nil, ErrOverloaded)
		return err
	}
	_, err := g.await(ctx, c)
	return err
}

func (g *Group) usable(ctx context.Context) error {
	if g.ctx.Err() != nil {
		return ErrStopped
	}
	return ctx.Err()
}

// Leader tells the leader as far as it is known here, and whether it is this
// replica.
func (g *Group) Leader() (name, address string, self bool) {
	v := g.view.Load()
	return v.status.Leader, v.leaderAddress, v.status.Role == consensus.RoleLeader
}

// OldIdentityLeader is the address of a leader that still takes this replica for the one that it was
// before it lost its disk; empty if there is none. The leader's messages aren't obeyed, but
// they tell who leads: when all others have just lost power too, nobody else may know.
func (g *Group) OldIdentityLeader() string { return g.view.Load().named }

// Term is the term that this replica is in.
func (g *Group) Term() uint64 { return g.view.Load().status.Term }

// roleStopped is the role of a replica that failed or was closed.
const roleStopped = "stopped"

// Status tells the replica's view of the group; it may be some ticks old.
func (g *Group) Status() *toucanhingev1.GroupState {
	s := g.view.Load().status
	state := &toucanhingev1.GroupState{
		Group: g.config.Group, Leader: s.Leader, Term: s.Term, Commit: s.Commit,
		Applied: g.waiting.lastApplied(), Last: s.Last, First: s.First, Role: string(s.Role),
	}
	if g.ctx.Err() != nil {
		state.Role = roleStopped
	}
	for _, m := range s.Members {
		state.Replicas = append(state.Replicas, &toucanhingev1.ReplicaState{
			Name: m.Member.Name, Address: m.Member.Address, Voter: m.Member.Voter, Match: m.Match,
			Identity: m.Member.Identity,
		})
	}
	return state
}

// TransferLeadership gives the leadership to the voter that lacks least, and returns once
// this replica no longer leads. No proposal is lost by it.
func (g *Group) TransferLeadership(ctx context.Context) error {
	return g.order(ctx, func(id uint64) consensus.Event { return consensus.TransferLeadership{ID: id} })
}

// AddLearner adds a replica that gets the log and doesn't vote.
func (g *Group) AddLearner(ctx context.Context, p Peer) error {
	return g.change(ctx, consensus.AddLearner, consensus.Member{Name: p.Name, Address: p.Address, Identity: p.Identity})
}

// Promote makes a learner a voter, as soon as it holds, synced, all that is
// committed. It waits for that until the context ends.
func (g *Group) Promote(ctx context.Context, name string) error {
	for {
		err := g.change(ctx, consensus.Promote, consensus.Member{Name: name})
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Reason != consensus.ReasonLearnerBehind {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(promoteRetry):
		}
	}
}

// Remove takes a replica out of the group. The leader can't remove itself.
func (g *Group) Remove(ctx context.Context, name string) error {
	return g.change(ctx, consensus.Remove, consensus.Member{Name: name})
}

func (g *Group) change(ctx context.Context, kind consensus.ChangeKind, member consensus.Member) error {
	return g.order(ctx, func(id uint64) consensus.Event {
		return consensus.ChangeMembers{ID: id, Kind: kind, Member: member}
	})
}

func (g *Group) order(ctx context.Context, event func(id uint64) consensus.Event) error {
	if err := g.usable(ctx); err != nil {
		_, err = g.counted(nil, err)
		return err
	}
	c := newCall(ctx, nil)
	if !g.orders.Offer(&order{call: c, event: event}) {
		_, err := g.counted(nil, ErrOverloaded)
		return err
	}
	_, err := g.await(ctx, c)
	return err
}
