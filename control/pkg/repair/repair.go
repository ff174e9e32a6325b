// Package repair decides which VMs hold the replicas of a group, one step at a
// time: it replaces VMs that lost their disk, fell silent or are to be emptied,
// and keeps as many voters as the losses to be borne ask for. It holds no
// goroutine, socket or clock.
package repair

import (
	"slices"
	"strings"

	"toucanhinge.example/common/pkg/clock"
)

// Config sets up the decisions.
type Config struct {
	// Self is the name of the leader's own member.
	Self string
	// ToleratedLosses is how many VMs may be lost at the same time.
	ToleratedLosses int
	// UnresponsiveAfter is the silence after which a voter is replaced, if another VM
	// can take its place. A shorter one would replace VMs that only restart.
	UnresponsiveAfter clock.Millis
}

// Member is a replica of the group as the leader knows it.
type Member struct {
	Name     string
	Address  string
	Identity string
	Voter    bool
	// Lag is how many committed entries it lacks.
	Lag uint64
}

// VM is a VM that has announced itself.
type VM struct {
	// Name of the member that it would be: its address.
	Name     string
	Address  string
	Identity string
	LastSeen    clock.Millis
	// Retiring VMs are to be emptied.
	Retiring bool
}

// Kind is the kind of a step.
type Kind int

const (
	// NoStep is to be done.
	NoStep Kind = iota
	// AddLearner adds a member that gets the log and doesn't vote.
	AddLearner
	// Promote makes a learner a voter.
	Promote
	// Remove takes a member out.
	Remove
	// TransferLeadership gives the leadership away, so that the leader can be removed.
	TransferLeadership
)

// String names the kind in logs.
func (k Kind) String() string {
	return [...]string{"nothing", "add-learner", "promote", "remove", "hand-over"}[k]
}

// Step is the next change of the membership.
type Step struct {
	Kind   Kind
	Member Member
	Reason string
}

// Voters is how many voters bear the losses: a majority must be left.
func (c Config) Voters() int { return 2*c.ToleratedLosses + 1 }

// members that are kept beside the voters, so that a lost voter is replaced
// without copying first.
const standbys = 1

// Next decides the next step.
func (c Config) Next(now clock.Millis, members []Member, vms []VM) Step {
	byName := map[string]VM{}
	for _, v := range vms {
		byName[v.Name] = v
	}
	for _, decide := range []func(clock.Millis, []Member, map[string]VM) Step{
		c.dropLostDisk, c.promote, c.dropSilent, c.dropRetiring, c.add,
	} {
		if step := decide(now, members, byName); step.Kind != NoStep {
			return step
		}
	}
	return Step{}
}

// dropLostDisk removes a member whose VM came back with another data folder. It
// acknowledged what it no longer holds, so it must not vote as who it was.
func (c Config) dropLostDisk(_ clock.Millis, members []Member, vms map[string]VM) Step {
	for _, m := range members {
		v, known := vms[m.Name]
		if known && v.Identity != m.Identity && m.Name != c.Self {
			return Step{Kind: Remove, Member: m, Reason: "disk-lost"}
		}
	}
	return Step{}
}

// promote makes a learner a voter while there are too few of them.
func (c Config) promote(now clock.Millis, members []Member, vms map[string]VM) Step {
	if c.lasting(members, vms) >= c.Voters() {
		return Step{}
	}
	for _, m := range members {
		v, known := vms[m.Name]
		if !m.Voter && m.Lag == 0 && known && !v.Retiring && c.alive(now, v) {
			return Step{Kind: Promote, Member: m, Reason: "too-few-voters"}
		}
	}
	return Step{}
}

// lasting counts the voters that aren't to be emptied.
func (c Config) lasting(members []Member, vms map[string]VM) int {
	count := 0
	for _, m := range members {
		if m.Voter && !vms[m.Name].Retiring {
			count++
		}
	}
	return count
}

// dropSilent removes a silent voter when a learner stands ready for its place,
// and a silent learner when another VM is there.
func (c Config) dropSilent(now clock.Millis, members []Member, vms map[string]VM) Step {
	ready := slices.ContainsFunc(members, func(m Member) bool {
		v, known := vms[m.Name]
		return !m.Voter && m.Lag == 0 && known && !v.Retiring && c.alive(now, v)
	})
	spare := false
	for name, v := range vms {
		spare = spare || !slices.ContainsFunc(members, func(m Member) bool { return m.Name == name }) && c.usable(now, v)
	}
	for _, m := range members {
		v, known := vms[m.Name]
		if m.Name == c.Self || known && c.alive(now, v) {
			continue
		}
		if m.Voter && ready || !m.Voter && spare {
			return Step{Kind: Remove, Member: m, Reason: "silent"}
		}
	}
	return Step{}
}

// dropRetiring removes a VM that is to be emptied, once enough voters are left
// without it.
func (c Config) dropRetiring(_ clock.Millis, members []Member, vms map[string]VM) Step {
	for _, m := range members {
		if !vms[m.Name].Retiring {
			continue
		}
		switch {
		case m.Voter && c.lasting(members, vms) < c.Voters():
		case m.Name == c.Self:
			return Step{Kind: TransferLeadership, Member: m, Reason: "retiring"}
		default:
			return Step{Kind: Remove, Member: m, Reason: "retiring"}
		}
	}
	return Step{}
}

// add takes in a VM that isn't a member while there are too few of them.
func (c Config) add(now clock.Millis, members []Member, vms map[string]VM) Step {
	lasting := 0
	for _, m := range members {
		if !vms[m.Name].Retiring {
			lasting++
		}
	}
	if lasting >= c.Voters()+standbys {
		return Step{}
	}
	names := make([]string, 0, len(vms))
	for name := range vms {
		names = append(names, name)
	}
	slices.SortFunc(names, strings.Compare)
	for _, name := range names {
		v := vms[name]
		member := slices.ContainsFunc(members, func(m Member) bool { return m.Name == name })
		if !member && c.usable(now, v) {
			return Step{Kind: AddLearner, Member: Member{Name: name, Address: v.Address, Identity: v.Identity}, Reason: "too-few-members"}
		}
	}
	return Step{}
}

func (c Config) usable(now clock.Millis, v VM) bool { return !v.Retiring && c.alive(now, v) }

func (c Config) alive(now clock.Millis, v VM) bool { return now-v.LastSeen < c.UnresponsiveAfter }

// MayRetire says whether enough VMs would be left without one of them.
func (c Config) MayRetire(now clock.Millis, name string, vms []VM) bool {
	left := 0
	for _, v := range vms {
		if v.Name != name && c.usable(now, v) {
			left++
		}
	}
	return left >= c.Voters()
}
