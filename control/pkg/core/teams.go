package core

import (
	"context"

	"connectrpc.com/connect"

	"toucanhinge.example/control/pkg/systemstate"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// ListTeams returns the teams with their limits, their usage, the number of refused requests and their
// shares of contended slots, for operators.
func (c *Core) ListTeams(ctx context.Context, r *connect.Request[toucanhingev1.ListTeamsRequest]) (*connect.Response[toucanhingev1.ListTeamsResponse], error) {
	if err := c.requireLeader(); err != nil {
		return nil, err
	}
	if err := c.confirmRead(ctx); err != nil {
		return nil, c.callError(err)
	}
	response := &toucanhingev1.ListTeamsResponse{}
	if c.config.Quota != nil {
		response.WindowMs = uint32(c.config.Quota.Window())
	}
	// Outside of View: the exchange reads the state while it holds its lock.
	services := c.contendedServices(c.activeTable())
	c.machine.View(func(s *systemstate.State) {
		if s.Table() == nil {
			return
		}
		response.Version = s.Table().Version
		for _, t := range s.Table().Teams() {
			if r.Msg.GetTeam() == "" || r.Msg.GetTeam() == t.GetName() {
				response.Teams = append(response.Teams, c.teamStatus(s, t, services))
			}
		}
	})
	return connect.NewResponse(response), nil
}

func (c *Core) teamStatus(s *systemstate.State, t *toucanhingev1.Team, services []contendedService) *toucanhingev1.TeamStatus {
	status := &toucanhingev1.TeamStatus{
		Name: t.GetName(), Keys: uint32(len(t.GetKeys())), Priority: t.Priority, Rate: t.GetRate(), Burst: t.GetBurst(),
		Weight: s.Table().Weight(t.GetName()),
	}
	for _, service := range services {
		if part := service.teamPart(t.GetName(), status.Weight); part != nil {
			status.Contention = append(status.Contention, part)
		}
	}
	if c.config.Quota != nil {
		status.Used = c.config.Quota.Used(c.config.Boot.Now(), t.GetName())
		status.Refused = c.config.Quota.Refused(t.GetName())
	}
	jobs, tokens := s.TeamBacklog(t.GetName())
	status.OpenJobs, status.WaitingTokens = uint32(jobs), tokens
	return status
}
