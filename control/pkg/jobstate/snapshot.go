package jobstate

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/control/pkg/segment"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// suspectBit marks a suspect in the saved state byte of an item.
const suspectBit = 0x80

// Save returns the state without the segments, which the caller adds.
func (s *State) Save() *toucanhingev1.JobSnapshot {
	snapshot := &toucanhingev1.JobSnapshot{NowMs: int64(s.now), NextLease: s.lastLease}
	for _, id := range sortedKeys(s.jobs) {
		snapshot.Jobs = append(snapshot.Jobs, s.jobs[id].save())
	}
	for _, id := range sortedKeys(s.uploads) {
		snapshot.Uploads = append(snapshot.Uploads, s.uploads[id].save(id))
	}
	for _, number := range s.leaseNumbers() {
		l := s.leases[number]
		snapshot.Leases = append(snapshot.Leases, &toucanhingev1.SavedLease{
			Number: number, Job: l.job.id, Sidecar: l.sidecar, Incarnation: l.incarnation,
			GrantedMs: int64(l.granted), Alone: l.alone, Items: l.items,
		})
	}
	for _, name := range sortedKeys(s.services) {
		snapshot.Services = append(snapshot.Services, s.services[name].save())
	}
	return snapshot
}

func (j *job) save() *toucanhingev1.SavedJob {
	saved := &toucanhingev1.SavedJob{
		Header: j.header, Status: j.status(), Digest: j.digest, Attempts: uint32(j.maxAttempts),
		Bodies: make([]uint64, len(j.items)), Holders: make([]uint64, len(j.items)),
		States: make([]byte, len(j.items)), Spent: make([]byte, len(j.items)),
		Cursor: j.cursor, Returned: j.returned, Count: j.count,
	}
	j.sealed.save(saved)
	for n := range j.items {
		i := &j.items[n]
		saved.Bodies[n] = uint64(i.body)
		saved.Holders[n] = i.leaseOrResult
		saved.States[n] = byte(i.state)
		if i.suspect {
			saved.States[n] |= suspectBit
		}
		saved.Spent[n] = i.attempts
	}
	return saved
}

func (u *upload) save(id string) *toucanhingev1.SavedUpload {
	saved := &toucanhingev1.SavedUpload{Id: id, TouchedMs: int64(u.lastChunk)}
	for _, first := range u.chunkStarts() {
		chunk := &toucanhingev1.SavedChunk{First: first}
		for _, ref := range u.chunks[first] {
			chunk.Bodies = append(chunk.Bodies, uint64(ref))
		}
		saved.Chunks = append(saved.Chunks, chunk)
	}
	return saved
}

func (v *service) save() *toucanhingev1.SavedService {
	saved := &toucanhingev1.SavedService{
		Name: v.name, Virtual: v.globalPass, Draining: v.draining,
		WindowMs: int64(v.window), WindowDecided: v.decided, Rate: v.rate,
	}
	for _, q := range v.teams {
		saved.Teams = append(saved.Teams, &toucanhingev1.SavedTeam{Team: q.name, Weight: q.weight, Pass: q.pass})
	}
	for _, p := range v.suspects {
		saved.Suspects = append(saved.Suspects, &toucanhingev1.SavedSuspect{Job: p.job.id, Item: p.index, SinceMs: int64(p.since)})
	}
	return saved
}

// Restore returns the state that Save wrote.
func Restore(config Config, snapshot *toucanhingev1.JobSnapshot) *State {
	s := New(config)
	s.now = clock.Millis(snapshot.GetNowMs())
	s.lastLease = snapshot.GetNextLease()
	for _, saved := range snapshot.GetJobs() {
		j := restoreJob(saved)
		s.jobs[j.id] = j
	}
	for _, saved := range snapshot.GetUploads() {
		s.uploads[saved.GetId()] = restoreUpload(saved)
	}
	for _, saved := range snapshot.GetServices() {
		s.restoreService(saved)
	}
	for _, saved := range snapshot.GetLeases() {
		s.restoreLease(saved)
	}
	for _, id := range sortedKeys(s.jobs) {
		s.restoreToQueue(s.jobs[id])
	}
	return s
}

// restoreToQueue adds a job to its team's queue without the change to the team's pass
// that enqueueJob makes for a team whose queue was empty.
func (s *State) restoreToQueue(j *job) {
	q := s.service(j.header.GetService()).team(j.header.GetTeam())
	pass := q.pass
	s.enqueueJob(j)
	q.pass = pass
}

func restoreJob(saved *toucanhingev1.SavedJob) *job {
	status := saved.GetStatus()
	j := &job{
		id: status.GetId(), header: saved.GetHeader(), digest: saved.GetDigest(), state: status.GetState(),
		accepted: clock.Millis(status.GetAcceptedMs()), ended: clock.Millis(status.GetEndedMs()),
		maxAttempts: uint8(saved.GetAttempts()), items: make([]item, len(saved.GetBodies())),
		cursor: saved.GetCursor(), returned: saved.GetReturned(),
		count: saved.GetCount(), sealed: restoreSeal(saved), leased: uint32(status.GetLeased()), done: uint32(status.GetDone()), failed: uint32(status.GetFailed()),
	}
	for n := range j.items {
		j.items[n] = item{
			body: segment.Ref(saved.Bodies[n]), leaseOrResult: saved.Holders[n],
			state: itemState(saved.States[n] &^ suspectBit), suspect: saved.States[n]&suspectBit != 0, attempts: saved.Spent[n],
		}
	}
	return j
}

func restoreUpload(saved *toucanhingev1.SavedUpload) *upload {
	u := &upload{lastChunk: clock.Millis(saved.GetTouchedMs()), chunks: map[uint64][]segment.Ref{}}
	for _, chunk := range saved.GetChunks() {
		refs := make([]segment.Ref, 0, len(chunk.GetBodies()))
		for _, ref := range chunk.GetBodies() {
			refs = append(refs, segment.Ref(ref))
		}
		u.chunks[chunk.GetFirst()] = refs
	}
	return u
}

func (s *State) restoreService(saved *toucanhingev1.SavedService) {
	v := s.service(saved.GetName())
	v.globalPass, v.draining = saved.GetVirtual(), saved.GetDraining()
	v.window, v.decided, v.rate = clock.Millis(saved.GetWindowMs()), saved.GetWindowDecided(), saved.GetRate()
	for _, team := range saved.GetTeams() {
		q := v.team(team.GetTeam())
		q.weight, q.pass = team.GetWeight(), team.GetPass()
	}
	for _, p := range saved.GetSuspects() {
		v.suspects = append(v.suspects, suspect{job: s.jobs[p.GetJob()], index: p.GetItem(), since: clock.Millis(p.GetSinceMs())})
	}
}

func (s *State) restoreLease(saved *toucanhingev1.SavedLease) {
	l := &lease{
		number: saved.GetNumber(), job: s.jobs[saved.GetJob()], items: saved.GetItems(),
		sidecar: saved.GetSidecar(), incarnation: saved.GetIncarnation(),
		granted: clock.Millis(saved.GetGrantedMs()), alone: saved.GetAlone(),
	}
	for _, index := range l.items {
		if i := &l.job.items[index]; i.state == itemLeased && i.leaseOrResult == l.number {
			l.undecided++
		}
	}
	s.leases[l.number] = l
	s.trackLease(l)
}
