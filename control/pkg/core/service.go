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

// digestPeer returns this VM as a receiver of load digests.
func (c *Core) digestPeer() digest.Peer {
	return digest.Peer{Address: c.config.Address, DataCentre: c.config.DataCentre, Core: true}
}

// Announce records the announcement of a control VM.
func (c *Core) Announce(_ context.Context, r *connect.Request[toucanhingev1.AnnounceRequest]) (*connect.Response[toucanhingev1.AnnounceResponse], error) {
	if err := c.requireLeader(); err != nil {
		return nil, err
	}
	response := &toucanhingev1.AnnounceResponse{CoreAddresses: c.Addresses()}
	if c.fleet.recordAnnouncement(c.config.Clock.Now(), r.Msg.GetName(), r.Msg.GetAddress(), r.Msg.GetIdentity()) {
		response.AgainMs = uint32(idleInterval)
	}
	return connect.NewResponse(response), nil
}

// Addresses returns the addresses of the group's members.
func (c *Core) Addresses() []string {
	var addresses []string
	for _, r := range c.group.Status().GetReplicas() {
		addresses = append(addresses, r.GetAddress())
	}
	return addresses
}

// SubmitJob accepts a job. It returns after the job is synced on a majority.
func (c *Core) SubmitJob(ctx context.Context, r *connect.Request[toucanhingev1.SubmitJobRequest]) (*connect.Response[toucanhingev1.SubmitJobResponse], error) {
	if err := c.requireLeader(); err != nil {
		return nil, err
	}
	if err := c.requireRoom(ctx, r.Msg); err != nil {
		return nil, err
	}
	outcome, err := proposeOne[toucanhingev1.SubmitOutcome](ctx, c, &toucanhingev1.SystemStep{
		Step: &toucanhingev1.SystemStep_AcceptJob{AcceptJob: &toucanhingev1.AcceptJobStep{Job: r.Msg}},
	})
	if err != nil {
		return nil, c.callError(err)
	}
	response := &toucanhingev1.SubmitJobResponse{Outcome: outcome}
	if outcome == toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_OVER_QUOTA {
		response.RetryAfterMs = uint32(c.driver.QuotaRetry(c.config.Clock.Now(), r.Msg))
	}
	c.metrics.jobs.WithLabelValues(outcome.String()).Inc()
	level.Info(c.config.Logger).Log(logs.KeyEvent, "job-submitted", logs.KeyJob, r.Msg.GetJob(), "team", c.teamName(r.Msg.GetKey()),
		"items", len(r.Msg.GetItems()), "outcome", outcome, "retry-after-ms", response.GetRetryAfterMs())
	return connect.NewResponse(response), nil
}

// ReadListed returns a job's results in the order in which they were listed, and waits for the next
// result if there is none.
func (c *Core) ReadListed(ctx context.Context, r *connect.Request[toucanhingev1.ReadListedRequest]) (*connect.Response[toucanhingev1.ReadListedResponse], error) {
	if err := c.confirmRead(ctx); err != nil {
		return nil, c.callError(err)
	}
	timer := time.NewTimer(waitLimit(r.Msg.GetWaitMs()))
	defer timer.Stop()
	for {
		changed := c.results.next(c.jobName(r.Msg.GetKey(), r.Msg.GetJob()))
		response, err := c.listResults(ctx, r.Msg)
		if err != nil {
			return nil, c.callError(err)
		}
		if !response.GetFound() || len(response.GetResults()) > 0 || r.Msg.GetAfter() >= response.GetTotal() {
			return connect.NewResponse(response), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return connect.NewResponse(response), nil
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
}

// listedResult is a result whose text is not loaded yet.
type listedResult struct {
	result *toucanhingev1.ItemResult
	parts  []segment.Ref
}

// listResults returns the results after a position, up to the requested number of bytes and at
// least one.
func (c *Core) listResults(ctx context.Context, r *toucanhingev1.ReadListedRequest) (*toucanhingev1.ReadListedResponse, error) {
	response := &toucanhingev1.ReadListedResponse{}
	var records []listedResult
	c.machine.View(func(s *systemstate.State) {
		j, admitted := s.Find(r.GetKey(), r.GetJob())
		if j == nil {
			response.Denied = !admitted
			return
		}
		response.Found, response.Total = true, uint32(len(j.Items))
		for _, index := range j.Listed[min(int(r.GetAfter()), len(j.Listed)):] {
			item := j.Items[index]
			records = append(records, listedResult{
				result: &toucanhingev1.ItemResult{Item: item.ID, Completed: item.Completed}, parts: item.Parts,
			})
		}
	})
	size := 0
	for _, rec := range records {
		length, err := c.machine.Length(rec.parts...)
		if err != nil {
			return nil, err
		}
		if err := takeForAnswer(ctx, length); err != nil {
			if len(response.Results) > 0 {
				break
			}
			return nil, err
		}
		text, err := c.machine.Text(rec.parts)
		if err != nil {
			return nil, err
		}
		rec.result.Text = text
		size += len(rec.result.GetText())
		if size > int(r.GetMostBytes()) && len(response.GetResults()) > 0 {
			break
		}
		response.Results = append(response.Results, rec.result)
	}
	return response, nil
}

// ReadBody returns the request body of an item.
func (c *Core) ReadBody(ctx context.Context, r *connect.Request[toucanhingev1.ReadBodyRequest]) (*connect.Response[toucanhingev1.ReadBodyResponse], error) {
	if err := c.confirmRead(ctx); err != nil {
		return nil, c.callError(err)
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
	length, err := c.machine.Length(ref)
	if err == nil {
		err = takeForAnswer(ctx, length)
	}
	if err != nil {
		return nil, c.callError(err)
	}
	item, err := c.machine.Item(ref)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&toucanhingev1.ReadBodyResponse{Found: true, Body: item.GetBody()}), nil
}

// EndJob ends a job permanently.
func (c *Core) EndJob(ctx context.Context, r *connect.Request[toucanhingev1.EndJobRequest]) (*connect.Response[toucanhingev1.EndJobResponse], error) {
	if err := c.requireLeader(); err != nil {
		return nil, err
	}
	outcome, err := proposeOne[systemstate.EndOutcome](ctx, c, &toucanhingev1.SystemStep{
		Step: &toucanhingev1.SystemStep_EndJob{EndJob: &toucanhingev1.EndJobStep{Job: r.Msg.GetJob(), Key: r.Msg.GetKey()}},
	})
	if err != nil {
		return nil, c.callError(err)
	}
	level.Info(c.config.Logger).Log(logs.KeyEvent, "job-ended", logs.KeyJob, r.Msg.GetJob(), "team", c.teamName(r.Msg.GetKey()),
		"found", outcome.Found, "denied", outcome.Denied)
	return connect.NewResponse(&toucanhingev1.EndJobResponse{Found: outcome.Found, Denied: outcome.Denied}), nil
}

// requireLeader returns an error that names the leader if this VM doesn't lead.
func (c *Core) requireLeader() error {
	if _, _, self := c.group.Leader(); self {
		return nil
	}
	return control.NotLeader(c.Leader())
}

// Leader returns the address of the leader, empty if it isn't known here. A VM that isn't a
// member, in a deployment with more VMs than the group needs, knows the leader only from its
// own announcements. Without an address, callers try one VM after the other, which takes
// seconds in a deployment with 100 VMs.
func (c *Core) Leader() string {
	if _, address, _ := c.group.Leader(); address != "" {
		return address
	}
	if known := c.config.Core.KnownLeader(Group); known != "" && known != c.config.Address {
		return known
	}
	return c.group.OldIdentityLeader()
}

// NameLeader returns the last known leader without waiting.
func (c *Core) NameLeader(
	context.Context, *connect.Request[toucanhingev1.NameLeaderRequest],
) (*connect.Response[toucanhingev1.NameLeaderResponse], error) {
	c.triggerAnnounce()
	return connect.NewResponse(&toucanhingev1.NameLeaderResponse{Address: c.Leader()}), nil
}

// callError converts an error to a Connect error that tells the caller whether the call had no
// effect or its outcome is unknown.
func (c *Core) callError(err error) error {
	var notLeader *replica.NotLeaderError
	switch {
	case errors.Is(err, errCallMemory):
		return err
	case errors.As(err, &notLeader):
		return control.NotLeader(c.Leader())
	case errors.Is(err, replica.ErrOverloaded):
		return connect.NewError(connect.CodeResourceExhausted, err)
	default:
		return connect.NewError(connect.CodeUnavailable, err)
	}
}
