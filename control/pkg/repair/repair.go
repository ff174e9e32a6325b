// Package repair decides which VMs hold the replicas of a group, one step at a time.
// It replaces VMs that lost their disk, are unresponsive or retire, and maintains
// enough voters to tolerate the configured number of lost VMs. It has no goroutine,
// socket or clock.
package repair

import (
	"slices"
	"strings"

	"toucanhinge.example/common/pkg/clock"
)

// Config configures the decisions.
type Config struct {
	// Self is the name of the leader's own member.
	Self string
	// ToleratedLosses is the number of VMs that may be lost at the same time.
	ToleratedLosses int
	// UnresponsiveAfter is the time without an announcement after which a member is
	// replaced, if its replica isn't in contact either and another VM can replace it. It must exceed the time of a VM's
	// restart, so that a restarting VM is not replaced.
	UnresponsiveAfter clock.Millis
}

// Member is a member of the group as known to the leader.
type Member struct {
	Name     string
	Address  string
	Identity string
	Voter    bool
	// Lag is the number of committed entries that the member lacks.
	Lag uint64
	// InContact reports whether the member's replica responds to the leader. The vote of such a member counts, whether or not
	// the announcements of its VM arrive.
	InContact bool
}

// VM is a VM that has announced itself.
type VM struct {
	// Name is the member name of the VM, which is its address.
	Name     string
	Address  string
	Identity string
	LastSeen clock.Millis
	// Retiring is set if the VM is to be removed from the group.
	Retiring bool
}

// Kind is the kind of a step.
type Kind int

const (
	// NoStep means that the membership needs no change.
	NoStep Kind = iota
	// AddLearner adds a member that receives the log and doesn't vote.
	AddLearner
	// Promote makes a learner a voter.
	Promote
	// Remove removes a member.
	Remove
	// TransferLeadership transfers the leadership, so that the old leader can be removed.
	TransferLeadership
)

// String returns the name of the kind in logs.
func (k Kind) String() string {
	return [...]string{"nothing", "add-learner", "promote", "remove", "hand-over"}[k]
}

// Step is the next change of the membership.
type Step struct {
	Kind   Kind
	Member Member
	Reason string
}

// Voters returns the number of voters of which a majority remains after the
// tolerated losses.
func (c Config) Voters() int { return 2*c.ToleratedLosses + 1 }

// standbyLearners is the number of learners beside the voters. A lost voter is replaced by a
// learner that has the log already, without copying the log first.
const standbyLearners = 1

// minRedundantVoters is the smallest number of voters that hold every acknowledged entry twice.
const minRedundantVoters = 2

// Next returns the next step.
func (c Config) Next(now clock.Millis, members []Member, vms []VM) Step {
	byName := map[string]VM{}
	for _, v := range vms {
		byName[v.Name] = v
	}
	for _, decide := range []func(clock.Millis, []Member, map[string]VM) Step{
		c.removeLostDisk, c.removeUnresponsive, c.promote, c.removeRetiring, c.addLearner,
	} {
		if step := decide(now, members, byName); step.Kind != NoStep {
			return step
		}
	}
	return Step{}
}

// removeLostDisk removes a member whose VM restarted with another data folder. The
// member has lost entries that it acknowledged, so it must not vote any more.
func (c Config) removeLostDisk(_ clock.Millis, members []Member, vms map[string]VM) Step {
	for _, m := range members {
		v, known := vms[m.Name]
		if known && v.Identity != m.Identity && m.Name != c.Self {
			return Step{Kind: Remove, Member: m, Reason: "disk-lost"}
		}
	}
	return Step{}
}

// removeUnresponsive removes an unresponsive voter while the number of voters is even, and an unresponsive learner if another
// VM can replace it. Of an even number, one voter less tolerates as many losses, even if that voter was only slow; of an odd
// number, a replacement is promoted first.
func (c Config) removeUnresponsive(now clock.Millis, members []Member, vms map[string]VM) Step {
	spareVM := false
	for name, v := range vms {
		spareVM = spareVM || !slices.ContainsFunc(members, func(m Member) bool { return m.Name == name }) && c.usable(now, v)
	}
	voters := 0
	for _, m := range members {
		if m.Voter {
			voters++
		}
	}
	mayLoseVoter := voters%2 == 0 && voters > minRedundantVoters
	for _, m := range members {
		if !c.silent(now, m, vms) {
			continue
		}
		if m.Voter && mayLoseVoter || !m.Voter && spareVM {
			return Step{Kind: Remove, Member: m, Reason: "silent"}
		}
	}
	return Step{}
}

// promote makes a learner a voter while too few voters are usable.
func (c Config) promote(now clock.Millis, members []Member, vms map[string]VM) Step {
	if c.usableVoters(now, members, vms) >= c.Voters() {
		return Step{}
	}
	for _, m := range members {
		v, known := vms[m.Name]
		if !m.Voter && m.Lag == 0 && known && c.usable(now, v) {
			return Step{Kind: Promote, Member: m, Reason: "too-few-voters"}
		}
	}
	return Step{}
}

// usableVoters returns the number of voters that neither are silent nor retire.
func (c Config) usableVoters(now clock.Millis, members []Member, vms map[string]VM) int {
	count := 0
	for _, m := range members {
		if m.Voter && !vms[m.Name].Retiring && !c.silent(now, m, vms) {
			count++
		}
	}
	return count
}

// silent reports whether neither the member's replica nor its VM has been heard of lately.
func (c Config) silent(now clock.Millis, m Member, vms map[string]VM) bool {
	if m.Name == c.Self || m.InContact {
		return false
	}
	v, known := vms[m.Name]
	return !known || !c.responsive(now, v)
}

// removeRetiring removes a retiring member once enough voters remain without it. A
// retiring leader transfers its leadership first.
func (c Config) removeRetiring(now clock.Millis, members []Member, vms map[string]VM) Step {
	for _, m := range members {
		if !vms[m.Name].Retiring {
			continue
		}
		switch {
		case m.Voter && c.usableVoters(now, members, vms) < c.Voters():
		case m.Name == c.Self:
			return Step{Kind: TransferLeadership, Member: m, Reason: "retiring"}
		default:
			return Step{Kind: Remove, Member: m, Reason: "retiring"}
		}
	}
	return Step{}
}

// addLearner adds a VM as a learner while there are too few members.
func (c Config) addLearner(now clock.Millis, members []Member, vms map[string]VM) Step {
	remaining := 0
	for _, m := range members {
		if !vms[m.Name].Retiring {
			remaining++
		}
	}
	if remaining >= c.Voters()+standbyLearners {
		return Step{}
	}
	names := make([]string, 0, len(vms))
	for name := range vms {
		names = append(names, name)
	}
	slices.SortFunc(names, strings.Compare)
	for _, name := range names {
		v := vms[name]
		isMember := slices.ContainsFunc(members, func(m Member) bool { return m.Name == name })
		if !isMember && c.usable(now, v) {
			return Step{Kind: AddLearner, Member: Member{Name: name, Address: v.Address, Identity: v.Identity}, Reason: "too-few-members"}
		}
	}
	return Step{}
}

func (c Config) usable(now clock.Millis, v VM) bool { return !v.Retiring && c.responsive(now, v) }

func (c Config) responsive(now clock.Millis, v VM) bool { return now-v.LastSeen < c.UnresponsiveAfter }

// MayRetire reports whether enough usable VMs remain without the named VM.
func (c Config) MayRetire(now clock.Millis, name string, vms []VM) bool {
	remaining := 0
	for _, v := range vms {
		if v.Name != name && c.usable(now, v) {
			remaining++
		}
	}
	return remaining >= c.Voters()
}
