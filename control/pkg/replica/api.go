package replica

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"toucanhinge.example/control/pkg/consensus"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// promoteRetryInterval is the time after which Promote checks again whether the learner
// has all committed entries.
const promoteRetryInterval = 20 * time.Millisecond

// Propose appends a command and returns the result of Apply on this replica, once the
// command is synced on a majority and applied. After *NotLeaderError, ErrOverloaded and
// ErrStopped it will never be committed; after ErrUnknown it may or may not be.
func (g *Group) Propose(ctx context.Context, command []byte) (any, error) {
	if err := g.checkUsable(ctx); err != nil {
		return g.countRefusal(nil, err)
	}
	c := newCall(ctx, command)
	if !g.proposals.Offer(c) {
		return g.countRefusal(nil, ErrOverloaded)
	}
	return g.await(ctx, c)
}

// Read returns once this replica, as the leader, has applied all entries that any replica
// acknowledged before the call, and a majority has confirmed that it leads. Otherwise it
// returns an error like those of Propose, or the error of the context.
func (g *Group) Read(ctx context.Context) error {
	if err := g.checkUsable(ctx); err != nil {
		_, err = g.countRefusal(nil, err)
		return err
	}
	c := newCall(ctx, nil)
	if !g.reads.Offer(c) {
		_, err := g.countRefusal(nil, ErrOverloaded)
		return err
	}
	_, err := g.await(ctx, c)
	return err
}

func (g *Group) checkUsable(ctx context.Context) error {
	if g.ctx.Err() != nil {
		return ErrStopped
	}
	return ctx.Err()
}

// Leader returns the leader as far as this replica knows it, and whether it is this
// replica.
func (g *Group) Leader() (name, address string, self bool) {
	v := g.view.Load()
	return v.status.Leader, v.leaderAddress, v.status.Role == consensus.RoleLeader
}

// OldIdentityLeader returns the address of a leader that still sends messages to the
// identity that this replica had before it lost its disk, or an empty string. This
// replica ignores such messages, but they reveal the leader: if all other replicas have
// just lost power too, no other process may know it.
func (g *Group) OldIdentityLeader() string { return g.view.Load().oldIdentityLeader }

// Term returns the current term of this replica.
func (g *Group) Term() uint64 { return g.view.Load().status.Term }

// roleStopped is the role in the Status of a replica that failed or was closed.
const roleStopped = "stopped"

// Status returns this replica's view of the group, which may be some ticks old.
func (g *Group) Status() *toucanhingev1.GroupState {
	s := g.view.Load().status
	state := &toucanhingev1.GroupState{
		Group: g.config.Group, Leader: s.Leader, Term: s.Term, Commit: s.Commit,
		Applied: g.waiters.lastApplied(), Last: s.Last, First: s.First, Role: string(s.Role),
	}
	if g.ctx.Err() != nil {
		state.Role = roleStopped
	}
	for _, m := range s.Members {
		state.Replicas = append(state.Replicas, &toucanhingev1.ReplicaState{
			Name: m.Member.Name, Address: m.Member.Address, Voter: m.Member.Voter, Match: m.Match,
			Identity: m.Member.Identity, InContact: m.InContact,
		})
	}
	return state
}

// TransferLeadership transfers the leadership to the voter that lacks the fewest entries,
// and returns once this replica no longer leads. No proposal is lost by it.
func (g *Group) TransferLeadership(ctx context.Context) error {
	return g.submit(ctx, func(id uint64) consensus.Event { return consensus.TransferLeadership{ID: id} })
}

// AddLearner adds a replica that receives the log and doesn't vote.
func (g *Group) AddLearner(ctx context.Context, p Peer) error {
	return g.change(ctx, consensus.AddLearner, consensus.Member{Name: p.Name, Address: p.Address, Identity: p.Identity})
}

// Promote makes a learner a voter as soon as it has synced all committed entries. It
// waits for that until the context ends.
func (g *Group) Promote(ctx context.Context, name string) error {
	for {
		err := g.change(ctx, consensus.Promote, consensus.Member{Name: name})
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Reason != consensus.ReasonLearnerLagging {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(promoteRetryInterval):
		}
	}
}

// Remove removes a replica from the group. The leader can't remove itself.
func (g *Group) Remove(ctx context.Context, name string) error {
	return g.change(ctx, consensus.Remove, consensus.Member{Name: name})
}

func (g *Group) change(ctx context.Context, kind consensus.ChangeKind, member consensus.Member) error {
	return g.submit(ctx, func(id uint64) consensus.Event {
		return consensus.ChangeMembers{ID: id, Kind: kind, Member: member}
	})
}

func (g *Group) submit(ctx context.Context, event func(id uint64) consensus.Event) error {
	if err := g.checkUsable(ctx); err != nil {
		_, err = g.countRefusal(nil, err)
		return err
	}
	c := newCall(ctx, nil)
	if !g.adminRequests.Offer(&adminRequest{call: c, event: event}) {
		_, err := g.countRefusal(nil, ErrOverloaded)
		return err
	}
	_, err := g.await(ctx, c)
	return err
}
