package core

import (
	"context"

	"connectrpc.com/connect"

	"toucanhinge.example/control/pkg/systemstate"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// ListTeams tells operators of the teams: their limits, what they use, and what was refused.
func (c *Core) ListTeams(ctx context.Context, r *connect.Request[toucanhingev1.ListTeamsRequest]) (*connect.Response[toucanhingev1.ListTeamsResponse], error) {
	if err := c.leads(); err != nil {
		return nil, err
	}
	if err := c.confirm(ctx); err != nil {
		return nil, c.refusal(err)
	}
	answer := &toucanhingev1.ListTeamsResponse{}
	if c.config.Quota != nil {
		answer.WindowMs = uint32(c.config.Quota.Window())
	}
	c.machine.View(func(s *systemstate.State) {
		if s.Table() == nil {
			return
		}
		answer.Version = s.Table().Version
		for _, t := range s.Table().Teams() {
			if r.Msg.GetTeam() == "" || r.Msg.GetTeam() == t.GetName() {
				answer.Teams = append(answer.Teams, c.statusOf(s, t))
			}
		}
	})
	return connect.NewResponse(answer), nil
}

func (c *Core) statusOf(s *systemstate.State, t *toucanhingev1.Team) *toucanhingev1.TeamStatus {
	status := &toucanhingev1.TeamStatus{
		Name: t.GetName(), Keys: uint32(len(t.GetKeys())), Priority: t.Priority, Rate: t.GetRate(), Burst: t.GetBurst(),
	}
	if c.config.Quota != nil {
		status.Used = c.config.Quota.Used(c.config.Boot.Now(), t.GetName())
		status.Refused = c.config.Quota.Refused(t.GetName())
	}
	jobs, tokens := s.TeamBacklog(t.GetName())
	status.OpenJobs, status.WaitingTokens = uint32(jobs), tokens
	return status
}
