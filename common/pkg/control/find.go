package control

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// findTime is how long a control VM may take to name the leader. It does so in
	// a millisecond, and one that has no power never does: asked one after the other
	// with a call's own time limit, two of those kept gateways from their routing
	// table for a second after the leader was there.
	findTime = 200 * time.Millisecond
	// findPause is the longest pause between two searches.
	findPause = 100 * time.Millisecond
	// mostAsked bounds the VMs that are asked at once. Two losses leave two of four.
	mostAsked = 4
)

var errNoLeader = errors.New("no control VM names a leader")

// find asks several control VMs at once which one leads, and believes the first
// answer that names one. It says whether there was any.
func (c *Client) find(ctx context.Context, group uint32) bool {
	ctx, cancel := context.WithTimeout(ctx, findTime)
	defer cancel()
	asked := c.some()
	named := make(chan string, len(asked))
	for _, address := range asked {
		go func() { named <- c.ask(ctx, address) }()
	}
	for range asked {
		select {
		case <-ctx.Done():
			return false
		case leader := <-named:
			c.learn(group, leader)
			if c.KnownLeader(group) != "" {
				return true
			}
		}
	}
	return false
}

// ask lets one control VM name the leader; empty if it knows none, or is silent.
func (c *Client) ask(ctx context.Context, address string) string {
	r := c.Replica(address)
	leader, err := c.config.FindLeader(ctx, r)
	switch {
	case err == nil:
		c.acquit(r)
		return leader
	case errors.Is(ctx.Err(), context.Canceled):
		// Another one was faster.
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		c.doubt(r)
	default:
		c.accuse(r)
	}
	return ""
}

// some lists addresses to ask, other ones each time if there are many.
func (c *Client) some() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for range min(mostAsked, len(c.config.Addresses)) {
		c.turn++
		list = append(list, c.config.Addresses[c.turn%len(c.config.Addresses)])
	}
	return list
}

// search looks for the leader until one is named or the context ends.
func (c *Client) search(ctx context.Context, group uint32) error {
	pause := firstPause
	for c.KnownLeader(group) == "" {
		if c.find(ctx, group) {
			return nil
		}
		if err := wait(ctx, pause); err != nil {
			return connect.NewError(connect.CodeUnavailable, errNoLeader)
		}
		pause = min(2*pause, findPause)
	}
	return nil
}

// QueryLeader asks a VM of the core which one leads.
func QueryLeader(ctx context.Context, r *Replica) (string, error) {
	answer, err := r.Core.NameLeader(ctx, connect.NewRequest(&toucanhingev1.NameLeaderRequest{}))
	if err != nil {
		return "", err
	}
	return answer.Msg.GetAddress(), nil
}
