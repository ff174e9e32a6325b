// Package systemstate implements the replicated state of the core: the routing table, the batch
// jobs with their results in the order in which they were finished, the quarantined requests, and
// the control VMs. It is driven by the log of one consensus group.
package systemstate

import (
	"slices"
	"strings"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/crashes"
	"toucanhinge.example/common/pkg/routing"
	"toucanhinge.example/control/pkg/segment"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// closedJobRetention is the minimum time, from its acceptance on, for which a closed job is retained.
// A job is closed once all its items are listed or the caller has ended it. Callers that lost a
// response retry for some minutes at most.
const closedJobRetention clock.Millis = 15 * 60 * 1000

// Config connects the state to its record store and its observer.
type Config struct {
	// Append stores a record in a segment.
	Append func(payload []byte) segment.Ref
	// Release releases a number of records of a file that are no longer needed.
	Release func(file uint32, count uint64)
	// Notify is called for each change; it may be nil.
	Notify func(Change)
}

// Change describes a change of the state by a step.
type Change struct {
	Kind ChangeKind
	Job  string
	Item uint32
}

// ChangeKind is the kind of a Change.
type ChangeKind int

const (
	// TableReplaced means that a newer routing table is active.
	TableReplaced ChangeKind = iota + 1
	// JobAccepted means that a new job was accepted.
	JobAccepted
	// ItemListed means that an item's result was listed.
	ItemListed
	// JobEnded means that the caller ended a job.
	JobEnded
	// VMsChanged means that the list of control VMs changed.
	VMsChanged
	// Reloaded means that the whole state was replaced by a snapshot.
	Reloaded
)

// VM is a registered control VM.
type VM struct {
	Name     string
	Address  string
	Identity string
	Retiring bool
}

// State is the replicated state of the core.
type State struct {
	config Config
	now    clock.Millis
	table  *routing.Table
	jobs   map[string]*Job
	// jobMemory is the sum of the jobs' memory.
	jobMemory int64
	vms       map[string]*VM
	// quarantines are the quarantines of requests, newest last.
	quarantines []crashes.Quarantine
}

// New returns an empty state.
func New(config Config) *State {
	return &State{config: config, jobs: map[string]*Job{}, vms: map[string]*VM{}}
}

// Table returns the active routing table, nil if there is none yet.
func (s *State) Table() *routing.Table { return s.table }

// Job returns a job by its name in the core, nil if it doesn't exist.
func (s *State) Job(name string) *Job { return s.jobs[name] }

// OpenJobs returns the open jobs, oldest first.
func (s *State) OpenJobs() []*Job {
	var open []*Job
	for _, j := range s.jobs {
		if j.Open() {
			open = append(open, j)
		}
	}
	slices.SortFunc(open, func(a, b *Job) int {
		if a.Accepted != b.Accepted {
			return int(a.Accepted - b.Accepted)
		}
		return strings.Compare(a.Name, b.Name)
	})
	return open
}

// VM returns a control VM by its name.
func (s *State) VM(name string) (VM, bool) {
	v := s.vms[name]
	if v == nil {
		return VM{}, false
	}
	return *v, true
}

// VMs returns the control VMs, sorted by name.
func (s *State) VMs() []VM {
	list := make([]VM, 0, len(s.vms))
	for _, v := range s.vms {
		list = append(list, *v)
	}
	slices.SortFunc(list, func(a, b VM) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}

// WaitingTokens returns the sum of the tokens of a team's unfinished items on a route.
func (s *State) WaitingTokens(route routing.Route, team string) int64 {
	sum := int64(0)
	for _, j := range s.jobs {
		if !j.Open() || j.Team != team || !s.isOnRoute(j, route) {
			continue
		}
		for i := range j.Items {
			if !j.Items[i].Done {
				sum += j.Items[i].Tokens
			}
		}
	}
	return sum
}

// isOnRoute reports whether a route applies to a job.
func (s *State) isOnRoute(j *Job, route routing.Route) bool {
	r, found := s.Route(j)
	return found && r.Host == route.Host && r.Prefix == route.Prefix
}

// Route returns the route of a job in the active table.
func (s *State) Route(j *Job) (routing.Route, bool) {
	return s.findBatchRoute(j.Host, j.Target)
}

// findBatchRoute returns the batch route for a host and a target in the active table.
func (s *State) findBatchRoute(host, target string) (routing.Route, bool) {
	if s.table == nil {
		return routing.Route{}, false
	}
	r, found := s.table.Match(host, routing.PathOf(target))
	return r, found && r.Batch()
}

// Step applies one step of a command and returns its outcome, if it has one.
func (s *State) Step(at clock.Millis, step *toucanhingev1.SystemStep) any {
	s.now = max(s.now, at)
	switch x := step.GetStep().(type) {
	case *toucanhingev1.SystemStep_ReplaceTable:
		return s.replaceTable(x.ReplaceTable)
	case *toucanhingev1.SystemStep_AcceptJob:
		return s.acceptJob(at, x.AcceptJob.GetJob())
	case *toucanhingev1.SystemStep_FinishItem:
		return s.finishItem(x.FinishItem)
	case *toucanhingev1.SystemStep_CountFailure:
		s.countFailure(x.CountFailure)
	case *toucanhingev1.SystemStep_EndJob:
		return s.endJob(x.EndJob)
	case *toucanhingev1.SystemStep_RegisterVm:
		s.registerVM(x.RegisterVm)
	case *toucanhingev1.SystemStep_KeepProgress:
		s.storeProgress(x.KeepProgress)
	case *toucanhingev1.SystemStep_KeepQuarantines:
		s.quarantines = decodeQuarantines(x.KeepQuarantines.GetQuarantines())
	case *toucanhingev1.SystemStep_RetireVm:
		return s.retireVM(x.RetireVm.GetName())
	}
	return nil
}

// replaceTable activates a table with a higher version. Because operators may race and resend, a
// table with an equal or lower version has no effect, whatever its content, and still counts as
// acknowledged. The outcome is the active version.
func (s *State) replaceTable(wire *toucanhingev1.RoutingTable) uint64 {
	if s.table != nil && wire.GetVersion() <= s.table.Version {
		return s.table.Version
	}
	table, err := routing.New(wire)
	if err != nil {
		// Tables are validated before they are proposed, so this entry is from a newer program version.
		return s.version()
	}
	s.table = table
	s.notify(Change{Kind: TableReplaced})
	return table.Version
}

func (s *State) version() uint64 {
	if s.table == nil {
		return 0
	}
	return s.table.Version
}

// acceptJob accepts a job with all its items or refuses it. A resend of an accepted job has the
// same outcome and no effect. The key is checked here, in the order of the log: if only gateways
// checked it, a job could be accepted after the acknowledgement of a table without its key.
func (s *State) acceptJob(at clock.Millis, request *toucanhingev1.SubmitJobRequest) toucanhingev1.SubmitOutcome {
	route, found := s.findBatchRoute(request.GetHost(), request.GetTarget())
	team, allowed := s.authorizeJob(route, found, request.GetKey())
	if !allowed {
		s.deleteClosedJobs()
		return toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_UNKNOWN_KEY
	}
	name := JobName(team, request.GetJob())
	if s.jobs[name] != nil {
		return toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED
	}
	s.deleteClosedJobs()
	if !found {
		return toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_NO_ROUTE
	}
	if quota, limited := s.QuotaOf(request); limited && quota.Missing > 0 {
		return toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_OVER_QUOTA
	}
	j := &Job{Name: name, ID: request.GetJob(), Team: team, Host: request.GetHost(), Target: request.GetTarget(), Accepted: at}
	for _, item := range request.GetItems() {
		j.Items = append(j.Items, Item{ID: item.GetId(), Tokens: item.GetTokens(), Request: s.config.Append(encode(item))})
	}
	s.add(j)
	s.notify(Change{Kind: JobAccepted, Job: name})
	return toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED
}

// sumTokens returns the sum of the tokens of a job's items.
func sumTokens(request *toucanhingev1.SubmitJobRequest) int64 {
	sum := int64(0)
	for _, item := range request.GetItems() {
		sum += item.GetTokens()
	}
	return sum
}

func (s *State) endJob(step *toucanhingev1.EndJobStep) EndOutcome {
	j, admitted := s.Find(step.GetKey(), step.GetJob())
	if j == nil {
		return EndOutcome{Denied: !admitted}
	}
	if !j.Ended {
		j.Ended = true
		s.notify(Change{Kind: JobEnded, Job: j.Name})
	}
	return EndOutcome{Found: true}
}

func (s *State) registerVM(step *toucanhingev1.RegisterVMStep) {
	v := s.vms[step.GetName()]
	if v != nil && v.Address == step.GetAddress() && v.Identity == step.GetIdentity() {
		return
	}
	// Another data folder under the same name is a new member, to which a request to retire the
	// old one doesn't apply.
	s.vms[step.GetName()] = &VM{Name: step.GetName(), Address: step.GetAddress(), Identity: step.GetIdentity()}
	s.notify(Change{Kind: VMsChanged})
}

func (s *State) retireVM(name string) bool {
	v := s.vms[name]
	if v == nil {
		return false
	}
	v.Retiring = true
	s.notify(Change{Kind: VMsChanged})
	return true
}

// deleteClosedJobs deletes closed jobs whose retention time is over.
func (s *State) deleteClosedJobs() {
	for name, j := range s.jobs {
		if j.Open() || s.now-j.Accepted < closedJobRetention {
			continue
		}
		for i := range j.Items {
			s.release(j.Items[i].Request)
			s.releaseParts(&j.Items[i])
		}
		delete(s.jobs, name)
		s.jobMemory -= j.memory()
	}
}

func (s *State) add(j *Job) {
	s.jobs[j.Name] = j
	s.jobMemory += j.memory()
}

// JobMemory returns about how much memory all jobs take, in bytes.
func (s *State) JobMemory() int64 { return s.jobMemory }

func (s *State) release(ref segment.Ref) {
	if ref != 0 {
		s.config.Release(ref.File(), 1)
	}
}

func (s *State) notify(change Change) {
	if s.config.Notify != nil {
		s.config.Notify(change)
	}
}
