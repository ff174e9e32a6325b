package fleetstate

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"toucanhinge.example/common/pkg/fleetconfig"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// PlatformAuthor is the author of the drain of a VM that the platform's list reports as
// leaving.
const PlatformAuthor = "platform"

// MemberResult reports whether a process is the newest one of its name.
type MemberResult struct {
	Current bool
	Version uint64
}

// MemberEndResult reports whether the step changed the configuration.
type MemberEndResult struct {
	Changed bool
}

// CheckHeartbeat compares a heartbeat with the member's entry. current reports that no
// newer process of the name is known, changed that the heartbeat has to be logged.
func (s *State) CheckHeartbeat(name string, m *toucanhingev1.Member) (current, changed bool) {
	e, found := s.Entry(toucanhingev1.Kind_KIND_MEMBER, name)
	if !found {
		return true, true
	}
	if e.GetMember().GetIncarnation() > m.GetIncarnation() {
		return false, false
	}
	return true, !proto.Equal(e.GetMember(), m)
}

// member registers a process with the state that it reports. An older process of the
// same name, which may resume after a long freeze, changes nothing.
func (s *State) member(step *toucanhingev1.MemberStep) any {
	current, changed := s.CheckHeartbeat(step.GetName(), step.GetMember())
	if changed {
		s.put(&toucanhingev1.Entry{
			Kind: toucanhingev1.Kind_KIND_MEMBER, Name: step.GetName(), Author: step.GetName(),
			Body: &toucanhingev1.Entry_Member{Member: step.GetMember()},
		})
	}
	return MemberResult{Current: current, Version: s.version}
}

// memberEnd marks a member whose lease expired as dead, or removes a dead member. The
// step names the incarnation that the leader checked, so that it doesn't apply to a
// process that has registered since.
func (s *State) memberEnd(step *toucanhingev1.MemberEndStep) any {
	e, found := s.Entry(toucanhingev1.Kind_KIND_MEMBER, step.GetName())
	if !found || e.GetMember().GetIncarnation() != step.GetIncarnation() {
		return MemberEndResult{}
	}
	dead := e.GetMember().GetState() == toucanhingev1.MemberState_MEMBER_STATE_DEAD
	switch {
	case step.GetForget() && dead:
		// The order to the endpoint stays: an accepted change is never reverted, and the
		// endpoint may return under its name after a long repair.
		s.remove(e)
		return MemberEndResult{Changed: true}
	case !step.GetForget() && !dead:
		member := proto.CloneOf(e.GetMember())
		member.State = toucanhingev1.MemberState_MEMBER_STATE_DEAD
		s.put(&toucanhingev1.Entry{
			Kind: e.GetKind(), Name: e.GetName(), Author: e.GetAuthor(),
			Body: &toucanhingev1.Entry_Member{Member: member},
		})
		s.counts.MembersDead++
		return MemberEndResult{Changed: true}
	default:
		return MemberEndResult{}
	}
}

func (s *State) remove(e *toucanhingev1.Entry) {
	s.put(&toucanhingev1.Entry{Kind: e.GetKind(), Name: e.GetName(), Author: e.GetAuthor(), Removed: true})
}

// platformDrain drains a VM that the platform's list reports as leaving, or ends the
// drain. Drains that operators created are not changed.
func (s *State) platformDrain(step *toucanhingev1.PlatformDrainStep) any {
	key := fleetconfig.Key{Kind: toucanhingev1.Kind_KIND_DRAIN, Name: step.GetVm()}
	e := s.entries[key]
	present := e != nil && !e.GetRemoved()
	switch {
	case step.GetGone() && present && e.GetAuthor() == PlatformAuthor:
		s.remove(e)
		return MemberEndResult{Changed: true}
	case !step.GetGone() && !present:
		s.put(&toucanhingev1.Entry{
			Kind: key.Kind, Name: key.Name, Author: PlatformAuthor,
			Body: &toucanhingev1.Entry_Drain{Drain: &toucanhingev1.Drain{Reason: "the platform's list calls this VM leaving"}},
		})
		return MemberEndResult{Changed: true}
	default:
		return MemberEndResult{}
	}
}

// RestrictedContracts returns the contracts for a service that are limited to some data
// centres, sorted by team.
func (s *State) RestrictedContracts(service string) []*toucanhingev1.Contract {
	var list []*toucanhingev1.Contract
	for key, e := range s.entries {
		c := e.GetContract()
		if key.Kind == toucanhingev1.Kind_KIND_CONTRACT && c.GetService() == service && len(c.GetDataCentres()) > 0 {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *toucanhingev1.Contract) int { return cmp.Compare(a.GetTeam(), b.GetTeam()) })
	return list
}

// AllowsBatch reports whether a contract lets a team's batch jobs use a service.
func (s *State) AllowsBatch(team, service string) bool {
	for key, e := range s.entries {
		c := e.GetContract()
		if key.Kind == toucanhingev1.Kind_KIND_CONTRACT && c.GetTeam() == team && c.GetService() == service && c.GetBatch() {
			return true
		}
	}
	return false
}
