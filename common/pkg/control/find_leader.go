package control

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// findTimeout is the time limit of the query for the leader. A control VM usually answers
	// within a millisecond, and a VM without power never does. When the VMs were queried one after
	// the other with the time limit of a call, two VMs without power kept gateways from their
	// routing table for a second after the leader was elected.
	findTimeout = 200 * time.Millisecond
	// maxFindBackoff is the longest delay between two searches.
	maxFindBackoff = 100 * time.Millisecond
	// maxQueried limits the VMs that are queried at once. If two of four fail, two remain.
	maxQueried = 4
)

var errNoLeader = errors.New("no control VM names a leader")

// findLeader queries several control VMs at once for the leader and accepts the first answer that
// names one. It reports whether there was such an answer.
func (c *Client) findLeader(ctx context.Context, group uint32) bool {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	addresses := c.nextAddresses()
	leaders := make(chan string, len(addresses))
	for _, address := range addresses {
		go func() { leaders <- c.queryAddress(ctx, address) }()
	}
	for range addresses {
		select {
		case <-ctx.Done():
			return false
		case leader := <-leaders:
			c.setLeader(group, leader)
			if c.KnownLeader(group) != "" {
				return true
			}
		}
	}
	return false
}

// queryAddress queries one control VM for the leader. The result is empty if the VM doesn't know
// the leader or doesn't answer.
func (c *Client) queryAddress(ctx context.Context, address string) string {
	r := c.Replica(address)
	leader, err := c.config.FindLeader(ctx, r)
	switch {
	case err == nil:
		c.markResponsive(r)
		return leader
	case errors.Is(ctx.Err(), context.Canceled):
		// Another VM has already answered.
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		c.deprioritize(r)
	default:
		c.markUnresponsive(r)
	}
	return ""
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
