package systemstate

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/routing"
	"toucanhinge.example/control/pkg/segment"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// encode marshals a message, which can't fail for messages of this program.
func encode(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("encode a message: %v", err))
	}
	return data
}

// Save returns a snapshot of the state without the segments, which the caller adds.
func (s *State) Save() *toucanhingev1.SystemSnapshot {
	snapshot := &toucanhingev1.SystemSnapshot{NowMs: int64(s.now)}
	if s.table != nil {
		snapshot.Table = s.table.Wire()
	}
	ids := make([]string, 0, len(s.jobs))
	for id := range s.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		snapshot.Jobs = append(snapshot.Jobs, s.jobs[id].save())
	}
	for _, v := range s.VMs() {
		snapshot.Vms = append(snapshot.Vms, &toucanhingev1.SavedVM{
			Name: v.Name, Address: v.Address, Identity: v.Identity, Retiring: v.Retiring,
		})
	}
	snapshot.Quarantines = EncodeQuarantines(s.quarantines)
	return snapshot
}

func (j *Job) save() *toucanhingev1.SavedBatchJob {
	saved := &toucanhingev1.SavedBatchJob{
		Id: j.ID, Team: j.Team, Host: j.Host, Target: j.Target, AcceptedMs: int64(j.Accepted), Ended: j.Ended, Listed: j.Listed,
	}
	for i := range j.Items {
		item := &j.Items[i]
		out := &toucanhingev1.SavedBatchItem{
			Id: item.ID, Tokens: item.Tokens, Failures: item.Failures, Completed: item.Completed,
			Request: uint64(item.Request), Last: item.LastEvent, Version: item.Version,
		}
		for _, ref := range item.Parts {
			out.Parts = append(out.Parts, uint64(ref))
		}
		saved.Items = append(saved.Items, out)
	}
	return saved
}

// Restore returns the state of a snapshot by Save.
func Restore(config Config, snapshot *toucanhingev1.SystemSnapshot) (*State, error) {
	s := New(config)
	s.now = clock.Millis(snapshot.GetNowMs())
	if snapshot.GetTable() != nil {
		table, err := routing.New(snapshot.GetTable())
		if err != nil {
			return nil, fmt.Errorf("restore the routing table: %w", err)
		}
		s.table = table
	}
	for _, saved := range snapshot.GetJobs() {
		s.add(restoreJob(saved))
	}
	for _, v := range snapshot.GetVms() {
		s.vms[v.GetName()] = &VM{Name: v.GetName(), Address: v.GetAddress(), Identity: v.GetIdentity(), Retiring: v.GetRetiring()}
	}
	s.quarantines = decodeQuarantines(snapshot.GetQuarantines())
	return s, nil
}

func restoreJob(saved *toucanhingev1.SavedBatchJob) *Job {
	j := &Job{
		Name: JobName(saved.GetTeam(), saved.GetId()), ID: saved.GetId(), Team: saved.GetTeam(), Host: saved.GetHost(), Target: saved.GetTarget(),
		Accepted: clock.Millis(saved.GetAcceptedMs()), Ended: saved.GetEnded(), Listed: saved.GetListed(),
	}
	for _, item := range saved.GetItems() {
		in := Item{
			ID: item.GetId(), Tokens: item.GetTokens(), Failures: item.GetFailures(), Completed: item.GetCompleted(),
			Request: segment.Ref(item.GetRequest()), LastEvent: item.GetLast(), Version: item.GetVersion(),
		}
		for _, ref := range item.GetParts() {
			in.Parts = append(in.Parts, segment.Ref(ref))
		}
		j.Items = append(j.Items, in)
	}
	for _, index := range j.Listed {
		j.Items[index].Done = true
	}
	return j
}
