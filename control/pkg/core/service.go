package core

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/digest"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/control/pkg/replica"
	"toucanhinge.example/control/pkg/segment"
	"toucanhinge.example/control/pkg/systemstate"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

var _ toucanhingev1connect.CoreServiceHandler = (*Core)(nil)

// self is this VM as a daemon that takes load digests.
func (c *Core) self() digest.Peer {
	return digest.Peer{Address: c.config.Address, DataCentre: c.config.DataCentre, Core: true}
}

// Announce notes a VM of the core.
func (c *Core) Announce(_ context.Context, r *connect.Request[toucanhingev1.AnnounceRequest]) (*connect.Response[toucanhingev1.AnnounceResponse], error) {
	if err := c.leads(); err != nil {
		return nil, err
	}
	answer := &toucanhingev1.AnnounceResponse{CoreAddresses: c.Addresses()}
	if c.fleet.announce(c.config.Clock.Now(), r.Msg.GetName(), r.Msg.GetAddress(), r.Msg.GetIdentity()) {
		answer.AgainMs = uint32(restTime)
	}
	return connect.NewResponse(answer), nil
}

// Addresses of the group's members.
func (c *Core) Addresses() []string {
	var addresses []string
	for _, r := range c.group.Status().GetReplicas() {
		addresses = append(addresses, r.GetAddress())
	}
	return addresses
}

// SubmitJob accepts a job once it is synced on a majority.
func (c *Core) SubmitJob(ctx context.Context, r *connect.Request[toucanhingev1.SubmitJobRequest]) (*connect.Response[toucanhingev1.SubmitJobResponse], error) {
	if err := c.leads(); err != nil {
		return nil, err
	}
	outcome, err := proposeOne[toucanhingev1.SubmitOutcome](ctx, c, &toucanhingev1.SystemStep{
		Step: &toucanhingev1.SystemStep_AcceptJob{AcceptJob: &toucanhingev1.AcceptJobStep{Job: r.Msg}},
	})
	if err != nil {
		return nil, c.refusal(err)
	}
	c.metrics.jobs.WithLabelValues(outcome.String()).Inc()
	level.Info(c.config.Logger).Log(logs.KeyEvent, "job-submitted", logs.KeyJob, r.Msg.GetJob(), "team", c.teamName(r.Msg.GetKey()),
		"items", len(r.Msg.GetItems()), "outcome", outcome)
	return connect.NewResponse(&toucanhingev1.SubmitJobResponse{Outcome: outcome}), nil
}

// ReadListed returns results in the order in which they were listed.
func (c *Core) ReadListed(ctx context.Context, r *connect.Request[toucanhingev1.ReadListedRequest]) (*connect.Response[toucanhingev1.ReadListedResponse], error) {
	if err := c.confirm(ctx); err != nil {
		return nil, c.refusal(err)
	}
	timer := time.NewTimer(wait(r.Msg.GetWaitMs()))
	defer timer.Stop()
	for {
		changed := c.results.next(c.jobName(r.Msg.GetKey(), r.Msg.GetJob()))
		answer, err := c.listed(r.Msg)
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		if !answer.GetFound() || len(answer.GetResults()) > 0 || r.Msg.GetAfter() >= answer.GetTotal() {
			return connect.NewResponse(answer), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return connect.NewResponse(answer), nil
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
}

// record is a listed result without its text.
type record struct {
	result *toucanhingev1.ItemResult
	parts  []segment.Ref
}

func (c *Core) listed(r *toucanhingev1.ReadListedRequest) (*toucanhingev1.ReadListedResponse, error) {
	answer := &toucanhingev1.ReadListedResponse{}
	var records []record
	c.machine.View(func(s *systemstate.State) {
		j, admitted := s.Find(r.GetKey(), r.GetJob())
		if j == nil {
			answer.Denied = !admitted
			return
		}
		answer.Found, answer.Total = true, uint32(len(j.Items))
		for _, index := range j.Listed[min(int(r.GetAfter()), len(j.Listed)):] {
			item := j.Items[index]
			records = append(records, record{
				result: &toucanhingev1.ItemResult{Item: item.ID, Completed: item.Completed}, parts: item.Parts,
			})
		}
	})
	bytes := 0
	for _, rec := range records {
		text, err := c.machine.Text(rec.parts)
		if err != nil {
			return nil, err
		}
		rec.result.Text = text
		bytes += len(rec.result.GetText())
		if bytes > int(r.GetMostBytes()) && len(answer.GetResults()) > 0 {
			break
		}
		answer.Results = append(answer.Results, rec.result)
	}
	return answer, nil
}

// ReadBody returns the body of an item that isn't listed yet.
func (c *Core) ReadBody(ctx context.Context, r *connect.Request[toucanhingev1.ReadBodyRequest]) (*connect.Response[toucanhingev1.ReadBodyResponse], error) {
	if err := c.confirm(ctx); err != nil {
		return nil, c.refusal(err)
	}
	ref, denied := segment.Ref(0), false
	c.machine.View(func(s *systemstate.State) {
		j, admitted := s.Find(r.Msg.GetKey(), r.Msg.GetJob())
		if j == nil {
			denied = !admitted
			return
		}
		for _, item := range j.Items {
			if item.ID == r.Msg.GetItem() {
				ref = item.Request
			}
		}
	})
	if ref == 0 {
		return connect.NewResponse(&toucanhingev1.ReadBodyResponse{Denied: denied}), nil
	}
	item, err := c.machine.Item(ref)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&toucanhingev1.ReadBodyResponse{Found: true, Body: item.GetBody()}), nil
}

// EndJob ends a job for good.
func (c *Core) EndJob(ctx context.Context, r *connect.Request[toucanhingev1.EndJobRequest]) (*connect.Response[toucanhingev1.EndJobResponse], error) {
	if err := c.leads(); err != nil {
		return nil, err
	}
	outcome, err := proposeOne[systemstate.EndOutcome](ctx, c, &toucanhingev1.SystemStep{
		Step: &toucanhingev1.SystemStep_EndJob{EndJob: &toucanhingev1.EndJobStep{Job: r.Msg.GetJob(), Key: r.Msg.GetKey()}},
	})
	if err != nil {
		return nil, c.refusal(err)
	}
	level.Info(c.config.Logger).Log(logs.KeyEvent, "job-ended", logs.KeyJob, r.Msg.GetJob(), "team", c.teamName(r.Msg.GetKey()),
		"found", outcome.Found, "denied", outcome.Denied)
	return connect.NewResponse(&toucanhingev1.EndJobResponse{Found: outcome.Found, Denied: outcome.Denied}), nil
}

// leads refuses on a VM that doesn't lead, and names the one that does.
func (c *Core) leads() error {
	if _, _, self := c.group.Leader(); self {
		return nil
	}
	return control.NotLeader(c.Leader())
}

// Leader is the address of the leader as far as known here, empty otherwise. A VM
// that isn't a member, on a site with more of them than the group needs, knows it
// only from its announcements; callers that were told nothing there tried VM
// after VM, for seconds on a site with 100 of them.
func (c *Core) Leader() string {
	if _, address, _ := c.group.Leader(); address != "" {
		return address
	}
	if known := c.config.Core.KnownLeader(Group); known != "" && known != c.config.Address {
		return known
	}
	return c.group.OldIdentityLeader()
}

// NameLeader tells at once which VM leads, as far as this one knows.
func (c *Core) NameLeader(
	context.Context, *connect.Request[toucanhingev1.NameLeaderRequest],
) (*connect.Response[toucanhingev1.NameLeaderResponse], error) {
	c.look()
	return connect.NewResponse(&toucanhingev1.NameLeaderResponse{Address: c.Leader()}), nil
}

// refusal tells a caller why its call had no effect, or that this isn't known.
func (c *Core) refusal(err error) error {
	var notLeader *replica.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		return control.NotLeader(c.Leader())
	case errors.Is(err, replica.ErrOverloaded):
		return connect.NewError(connect.CodeResourceExhausted, err)
	default:
		return connect.NewError(connect.CodeUnavailable, err)
	}
}
