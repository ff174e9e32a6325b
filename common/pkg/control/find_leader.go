package control

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// findTimeout is how long one search waits before it queries other control VMs. A control VM
	// usually answers within a millisecond, and a VM without power never does.
	findTimeout = 200 * time.Millisecond
	// queryTimeout is the time limit of the query of one control VM. It is shorter than
	// unresponsivePeriod.
	queryTimeout = 600 * time.Millisecond
	// maxQueries limits the concurrent queries of one control VM. Each search starts one, since an
	// earlier one may be lost.
	maxQueries = int32(queryTimeout / findTimeout)
	// maxFindBackoff is the longest delay between two searches.
	maxFindBackoff = 100 * time.Millisecond
	// maxQueried limits the VMs that are queried at once. If two of four fail, two remain.
	maxQueried = 4
)

var errNoLeader = errors.New("no control VM names a leader")

// findLeader queries several control VMs at once for the leader and accepts the first answer that
// names one. It reports whether the leader is known, at the latest after findTimeout. A query whose
// answer is late goes on beyond that: if each search discarded late answers, a fleet whose leader
// answers slowly would never find it, and would keep it slow with repeated queries.
func (c *Client) findLeader(ctx context.Context, group uint32) bool {
	found := c.leaderFound.Next()
	addresses := c.nextAddresses()
	ended := make(chan struct{}, len(addresses))
	for _, address := range addresses {
		go func() {
			if c.queryReplica(group, c.Replica(address)) {
				ended <- struct{}{}
			}
		}()
	}
	timer := time.NewTimer(findTimeout)
	defer timer.Stop()
	for range addresses {
		if c.KnownLeader(group) != "" {
			return true
		}
		select {
		case <-found:
			found = c.leaderFound.Next()
		case <-ended:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return c.KnownLeader(group) != ""
}

// queryReplica queries one control VM for the leader and applies its answer, unless maxQueries of them
// run already. It reports whether it ran the query.
func (c *Client) queryReplica(group uint32, r *Replica) bool {
	if r.queries.Add(1) > maxQueries {
		r.queries.Add(-1)
		return false
	}
	defer r.queries.Add(-1)
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	startedAt := time.Now()
	late := time.AfterFunc(findTimeout, func() { c.deprioritize(r, startedAt) })
	defer late.Stop()
	leader, err := c.config.FindLeader(ctx, r)
	if err != nil {
		if c.deprioritize(r, startedAt) {
			c.dropConnections(r)
		}
		return true
	}
	c.markResponsive(r)
	c.setFoundLeader(group, leader)
	return true
}

// setFoundLeader records the leader that a control VM named, if none is known.
func (c *Client) setFoundLeader(group uint32, leader string) {
	c.mu.Lock()
	accepted := leader != "" && c.leaders[group] == "" && !c.isUnresponsive(leader)
	if accepted {
		c.leaders[group] = leader
	}
	c.mu.Unlock()
	if accepted {
		c.leaderFound.Fire()
	}
}

// nextAddresses returns the next addresses to query, in round-robin order.
func (c *Client) nextAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for range min(maxQueried, len(c.config.Addresses)) {
		c.nextIndex++
		list = append(list, c.config.Addresses[c.nextIndex%len(c.config.Addresses)])
	}
	return list
}

// awaitLeader searches for the leader until it is known or the context ends.
func (c *Client) awaitLeader(ctx context.Context, group uint32) error {
	delay := initialBackoff
	for c.KnownLeader(group) == "" {
		if c.findLeader(ctx, group) {
			return nil
		}
		if err := backoff(ctx, delay); err != nil {
			return connect.NewError(connect.CodeUnavailable, errNoLeader)
		}
		delay = min(2*delay, maxFindBackoff)
	}
	return nil
}

// QueryLeader queries a VM of the core for the address of the leader.
func QueryLeader(ctx context.Context, r *Replica) (string, error) {
	answer, err := r.Core.NameLeader(ctx, connect.NewRequest(&toucanhingev1.NameLeaderRequest{}))
	if err != nil {
		return "", err
	}
	return answer.Msg.GetAddress(), nil
}
