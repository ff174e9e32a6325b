// Package systemstate is what the core agrees on: the routing table, the batch
// jobs with their results in the order in which they were finished, and the VMs
// of the core. It is driven by the log of one consensus group.
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

// keepClosed is how long a job stays readable after all its items are listed or
// it was ended. Callers that lost an answer ask again for minutes at most.
const keepClosed clock.Millis = 15 * 60 * 1000

// Config gives the state its files.
type Config struct {
	// Append keeps a record in a segment.
	Append func(payload []byte) segment.Ref
	// Release says that some records of a file are no longer needed.
	Release func(file uint32, count uint64)
	// Notify is told what changed, may be nil.
	Notify func(Change)
}

// Change tells the surroundings what a step changed.
type Change struct {
	Kind ChangeKind
	Job  string
	Item uint32
}

// ChangeKind is the kind of a change.
type ChangeKind int

const (
	// TableReplaced tells that a newer routing table is in force.
	TableReplaced ChangeKind = iota + 1
	// JobAccepted tells that a new job is there.
	JobAccepted
	// ItemListed tells that an item got its result.
	ItemListed
	// JobEnded tells that the caller ended a job.
	JobEnded
	// VMsChanged tells that the list of the core's VMs changed.
	VMsChanged
	// Reloaded tells that all of it was replaced by a snapshot.
	Reloaded
)

// Job is an accepted batch job.
type Job struct {
	// Name is the job's in the core, ID the caller's name of it.
	Name string
	ID   string
	// Team handed it in; empty if none did.
	Team     string
	Host     string
	Target   string
	Accepted clock.Millis
	Ended    bool
	Items    []Item
	// Listed are the finished items in the order of their results.
	Listed []uint32
}

// Item is one request of a job.
type Item struct {
	ID     string
	Tokens int64
	// Failures counts the attempts that its runners failed.
	Failures  uint32
	Done      bool
	Completed bool
	// Request is the record of the JobItem.
	Request segment.Ref
	// Parts are the records that make up the text so far, in order, and Last is
	// the last event in them.
	Parts []segment.Ref
	LastEvent  uint64
}

// Open says whether items may still be run.
func (j *Job) Open() bool { return !j.Ended && len(j.Listed) < len(j.Items) }

// VM is a VM of the core.
type VM struct {
	Name     string
	Address  string
	Identity string
	Retiring bool
}

// State is the whole state.
type State struct {
	config Config
	now    clock.Millis
	table  *routing.Table
	jobs   map[string]*Job
	vms    map[string]*VM
	// quarantines are the requests that are kept from all runners, newest last.
	quarantines []crashes.Quarantine
}

// New makes an empty state.
func New(config Config) *State {
	return &State{config: config, jobs: map[string]*Job{}, vms: map[string]*VM{}}
}

// Table is the routing table in force, nil if there is none yet.
func (s *State) Table() *routing.Table { return s.table }

// Job returns a job by its name in the core, nil if there is none.
func (s *State) Job(name string) *Job { return s.jobs[name] }

// OpenJobs lists the jobs with items to run, oldest first.
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

// VM returns a VM of the core by its name.
func (s *State) VM(name string) (VM, bool) {
	v := s.vms[name]
	if v == nil {
		return VM{}, false
	}
	return *v, true
}

// VMs lists the VMs of the core.
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

// WaitingTokens sums up the tokens of a team's items on a route that aren't finished.
func (s *State) WaitingTokens(route routing.Route, team string) int64 {
	sum := int64(0)
	for _, j := range s.jobs {
		if !j.Open() || j.Team != team || !s.on(j, route) {
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

func (s *State) on(j *Job, route routing.Route) bool {
	r, found := s.Route(j)
	return found && r.Host == route.Host && r.Prefix == route.Prefix
}

// Route is the route of a job in the table in force.
func (s *State) Route(j *Job) (routing.Route, bool) {
	return s.routeOf(j.Host, j.Target)
}

func (s *State) routeOf(host, target string) (routing.Route, bool) {
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
		s.keepProgress(x.KeepProgress)
	case *toucanhingev1.SystemStep_KeepQuarantines:
		s.quarantines = quarantinesOf(x.KeepQuarantines.GetQuarantines())
	case *toucanhingev1.SystemStep_RetireVm:
		return s.retireVM(x.RetireVm.GetName())
	}
	return nil
}

// replaceTable takes a table with a higher version. Operators race and resend:
// an equal or lower version has no effect, whatever it holds, and still counts
// as acknowledged. The outcome is the version in force.
func (s *State) replaceTable(wire *toucanhingev1.RoutingTable) uint64 {
	if s.table != nil && wire.GetVersion() <= s.table.Version {
		return s.table.Version
	}
	table, err := routing.New(wire)
	if err != nil {
		// Checked before it was proposed, so this is an entry of a newer program.
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

// acceptJob takes a job whole, or not at all. A resend of an accepted job gets
// the same answer and changes nothing. The key is judged here, in the order of the
// log: checked by a gateway only, a job could be accepted after the acknowledgement
// of the table that took its key away.
func (s *State) acceptJob(at clock.Millis, request *toucanhingev1.SubmitJobRequest) toucanhingev1.SubmitOutcome {
	route, found := s.routeOf(request.GetHost(), request.GetTarget())
	team, allowed := s.teamOn(route, found, request.GetKey())
	if !allowed {
		return toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_UNKNOWN_KEY
	}
	name := JobName(team, request.GetJob())
	if s.jobs[name] != nil {
		return toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED
	}
	s.dropClosed()
	if !found {
		return toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_NO_ROUTE
	}
	if route.QuotaTokens > 0 && s.WaitingTokens(route, team)+tokens(request) > route.QuotaTokens {
		return toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_OVER_QUOTA
	}
	j := &Job{Name: name, ID: request.GetJob(), Team: team, Host: request.GetHost(), Target: request.GetTarget(), Accepted: at}
	for _, item := range request.GetItems() {
		j.Items = append(j.Items, Item{ID: item.GetId(), Tokens: item.GetTokens(), Request: s.config.Append(encode(item))})
	}
	s.jobs[name] = j
	s.notify(Change{Kind: JobAccepted, Job: name})
	return toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED
}

func tokens(request *toucanhingev1.SubmitJobRequest) int64 {
	sum := int64(0)
	for _, item := range request.GetItems() {
		sum += item.GetTokens()
	}
	return sum
}

// item returns an item that has no result yet.
func (s *State) openItem(job string, index uint32) (*Job, *Item) {
	j := s.jobs[job]
	if j == nil || int(index) >= len(j.Items) || j.Items[index].Done {
		return nil, nil
	}
	return j, &j.Items[index]
}

// finishItem lists an item's result. The first one stands: a run that was
// repeated after a change of leader may finish twice. The outcome is false if the
// text goes on from a progress that isn't the one kept here: joined, the two
// would be a text that no runner made.
func (s *State) finishItem(step *toucanhingev1.FinishItemStep) bool {
	j, item := s.openItem(step.GetJob(), step.GetItem())
	if item == nil {
		return true
	}
	switch {
	case !step.GetCompleted() || step.GetAfter() == 0:
		s.dropParts(item)
	case step.GetAfter() != item.LastEvent:
		return false
	}
	item.Done, item.Completed = true, step.GetCompleted()
	if len(step.GetText()) > 0 {
		item.Parts = append(item.Parts, s.config.Append(step.GetText()))
	}
	j.Listed = append(j.Listed, step.GetItem())
	s.notify(Change{Kind: ItemListed, Job: j.Name, Item: step.GetItem()})
	return true
}

// keepProgress keeps what an item's run has made so far, if it follows what is
// kept already.
func (s *State) keepProgress(step *toucanhingev1.KeepProgressStep) {
	_, item := s.openItem(step.GetJob(), step.GetItem())
	if item == nil || item.LastEvent != step.GetAfter() || step.GetLast() <= step.GetAfter() {
		return
	}
	item.Parts = append(item.Parts, s.config.Append(step.GetText()))
	item.LastEvent = step.GetLast()
}

func (s *State) dropParts(item *Item) {
	for _, ref := range item.Parts {
		s.release(ref)
	}
	item.Parts, item.LastEvent = nil, 0
}

func (s *State) countFailure(step *toucanhingev1.CountFailureStep) {
	j := s.jobs[step.GetJob()]
	if j != nil && int(step.GetItem()) < len(j.Items) {
		j.Items[step.GetItem()].Failures++
	}
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
	// Another folder under the name is another start of the machine's life: what
	// was asked of the old one is done with.
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

// dropClosed forgets jobs that were closed long ago.
func (s *State) dropClosed() {
	for id, j := range s.jobs {
		if j.Open() || s.now-j.Accepted < keepClosed {
			continue
		}
		for i := range j.Items {
			s.release(j.Items[i].Request)
			s.dropParts(&j.Items[i])
		}
		delete(s.jobs, id)
	}
}

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
