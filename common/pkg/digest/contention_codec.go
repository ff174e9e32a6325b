package digest

import (
	"math"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/contention"
	"toucanhinge.example/common/pkg/quota"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// maxCount limits the counts of a received report, so that sums don't overflow.
const maxCount = 1 << 24

// contentionToProto encodes a report that is sent now.
func contentionToProto(now clock.Millis, r *contention.Report) *toucanhingev1.Contention {
	m := &toucanhingev1.Contention{Gateways: countToProto(r.Gateways), AgeMs: ageOf(now, r.At)}
	for _, s := range r.Services {
		service := waitingServiceToProto(now, s)
		for _, d := range s.Teams {
			service.Teams = append(service.Teams, demandToProto(d))
		}
		if s.Rest != (contention.TeamDemand{}) {
			service.Rest = demandToProto(s.Rest)
		}
		for _, count := range s.Returning {
			service.Returning = append(service.Returning, countToProto(count))
		}
		service.Refused, service.Contended = countToProto(s.Refused), s.Contended
		m.Services = append(m.Services, service)
	}
	return m
}

// waitingToProto encodes only the waiting requests of a report.
func waitingToProto(now clock.Millis, r *contention.Report) *toucanhingev1.Contention {
	m := &toucanhingev1.Contention{WaitingOnly: true}
	for _, s := range r.Services {
		if s.WaitingCount > 0 || len(s.Waiting) > 0 {
			m.Services = append(m.Services, waitingServiceToProto(now, s))
		}
	}
	return m
}

func waitingServiceToProto(now clock.Millis, s contention.Service) *toucanhingev1.ServiceContention {
	m := &toucanhingev1.ServiceContention{Service: s.Name, WaitingCount: countToProto(s.WaitingCount)}
	for _, w := range s.Waiting {
		within := min(max(w.StartBy-now, math.MinInt32), math.MaxInt32)
		m.Waiting = append(m.Waiting, &toucanhingev1.WaitingRequest{StartWithinMs: int32(within), Tie: w.Tie, OverShare: w.OverShare})
	}
	return m
}

func demandToProto(d contention.TeamDemand) *toucanhingev1.TeamDemand {
	return &toucanhingev1.TeamDemand{
		Team: uint32(d.Team), Running: countToProto(d.Running), Demand: countToProto(d.Demand), Teams: countToProto(d.Teams),
		Weight: d.Weight,
	}
}

func countToProto(count int) uint32 { return uint32(min(max(count, 0), maxCount)) }

func countFromProto(count uint32) int { return int(min(count, maxCount)) }

// contentionFromProto decodes a report that was received now.
func contentionFromProto(now clock.Millis, m *toucanhingev1.Contention) contention.Report {
	r := contention.Report{Gateways: countFromProto(m.GetGateways()), At: now - clock.Millis(m.GetAgeMs())}
	for _, s := range m.GetServices() {
		service := contention.Service{
			Name: s.GetService(), Rest: demandFromProto(s.GetRest()), WaitingCount: countFromProto(s.GetWaitingCount()),
			Refused: countFromProto(s.GetRefused()), Contended: s.GetContended(),
		}
		for _, d := range s.GetTeams() {
			service.Teams = append(service.Teams, demandFromProto(d))
		}
		for _, w := range s.GetWaiting() {
			service.Waiting = append(service.Waiting, contention.Waiter{
				StartBy: now + clock.Millis(w.GetStartWithinMs()), Tie: w.GetTie(), OverShare: w.GetOverShare(),
			})
		}
		for _, count := range s.GetReturning() {
			service.Returning = append(service.Returning, countFromProto(count))
		}
		r.Services = append(r.Services, service)
	}
	return r
}

func demandFromProto(m *toucanhingev1.TeamDemand) contention.TeamDemand {
	d := contention.TeamDemand{
		Team: quota.ID(m.GetTeam()), Running: countFromProto(m.GetRunning()), Demand: countFromProto(m.GetDemand()),
		Teams: countFromProto(m.GetTeams()), Weight: m.GetWeight(),
	}
	if !(d.Weight >= 0 && d.Weight <= math.MaxFloat32) {
		d.Weight = 0
	}
	return d
}
