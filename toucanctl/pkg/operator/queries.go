package operator

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"

	"connectrpc.com/connect"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

// queryTimeout bounds the response time of one process.
const queryTimeout = 2 * time.Second

// maxConcurrentQueries limits the processes queried in parallel; a fleet has hundreds.
const maxConcurrentQueries = 32

// Groups fetches the group status of every control VM. The error names the first VM
// that did not respond; the other responses are still returned.
func (c *Client) Groups(ctx context.Context) ([]*toucanhingev1.GroupStatusResponse, error) {
	var responses []*toucanhingev1.GroupStatusResponse
	var firstErr error
	for _, address := range c.config.Addresses {
		callCtx, cancel := context.WithTimeout(ctx, queryTimeout)
		response, err := c.config.Client.Replica(address).Operators.GroupStatus(callCtx, connect.NewRequest(&toucanhingev1.GroupStatusRequest{}))
		cancel()
		if err != nil {
			if firstErr == nil {
				firstErr = fmt.Errorf("group status at %s: %w", address, err)
			}
			continue
		}
		responses = append(responses, response.Msg)
	}
	return responses, firstErr
}

// eventAlias reports that a gateway uses its own id for a caller's id, because two teams
// may choose the same one. The gateway's id is in the event's detail.
const eventAlias = "known-as"

// Explain queries every process about an id and about the ids that gateways assigned
// to it. It returns the responses and the addresses of processes that did not respond.
func (c *Client) Explain(ctx context.Context, id string) (responses []*toucanhingev1.ExplainResponse, unreachable []string, err error) {
	addresses, err := c.processAddresses(ctx)
	if err != nil {
		return nil, nil, err
	}
	responses, unreachable = c.explainAll(ctx, addresses, id)
	for _, alias := range aliases(responses) {
		more, _ := c.explainAll(ctx, addresses, alias)
		responses = append(responses, more...)
	}
	return responses, unreachable, nil
}

func aliases(responses []*toucanhingev1.ExplainResponse) []string {
	var found []string
	for _, a := range responses {
		for _, h := range a.GetHappenings() {
			if h.GetEvent() == eventAlias && !slices.Contains(found, h.GetDetail()) {
				found = append(found, h.GetDetail())
			}
		}
	}
	return found
}

func (c *Client) explainAll(ctx context.Context, addresses []string, id string) (responses []*toucanhingev1.ExplainResponse, unreachable []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentQueries)
	for _, address := range addresses {
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			response, queryErr := c.explainAt(ctx, address, id)
			mu.Lock()
			defer mu.Unlock()
			if queryErr != nil {
				unreachable = append(unreachable, address)
				return
			}
			responses = append(responses, response)
		})
	}
	wg.Wait()
	sort.Strings(unreachable)
	sort.Slice(responses, func(i, j int) bool { return responses[i].GetProcess() < responses[j].GetProcess() })
	return responses, unreachable
}

func (c *Client) explainAt(ctx context.Context, address, id string) (*toucanhingev1.ExplainResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	client := toucanhingev1connect.NewExplainServiceClient(c.config.HTTP, "http://"+address)
	response, err := client.Explain(ctx, connect.NewRequest(&toucanhingev1.ExplainRequest{Id: id}))
	if err != nil {
		return nil, fmt.Errorf("explain at %s: %w", address, err)
	}
	return response.Msg, nil
}

// processAddresses returns the admin addresses of the control VMs and of all members that are
// not dead.
func (c *Client) processAddresses(ctx context.Context) ([]string, error) {
	members, err := c.List(ctx, toucanhingev1.Kind_KIND_MEMBER, "")
	if err != nil {
		return nil, fmt.Errorf("list the members: %w", err)
	}
	addresses := append([]string(nil), c.config.Addresses...)
	for _, e := range members.GetEntries() {
		m := e.GetMember()
		if m.GetState() == toucanhingev1.MemberState_MEMBER_STATE_DEAD || m.GetAdmin() == "" {
			continue
		}
		addresses = append(addresses, m.GetAdmin())
	}
	return addresses, nil
}
