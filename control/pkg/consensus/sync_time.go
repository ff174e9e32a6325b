package consensus

import "toucanhinge.example/common/pkg/clock"

// electionSyncs is the number of syncs that an election may take: the candidate's own one, and that of
// a vote, which may have to wait for a running one. Syncs differ by about as much as one more.
const electionSyncs = 4

// electionSyncTime returns the time that the syncs of an election take, if the other replicas have similar disks. A
// candidate needs the syncs of its own term and of the others' votes: if it waited for an election timeout only, no
// candidate would ever win while a sync takes longer than that.
func (m *Machine) electionSyncTime() clock.Millis { return electionSyncs * m.syncTime }

// electionDue reports whether this replica should start an election. If a sync is pending during an election, another
// one would wait for the same disk, and the sync would come too late for this one.
func (m *Machine) electionDue() bool {
	if m.leader == "" && len(m.pending) > 0 {
		return false
	}
	due := m.electionDeadline
	if m.electionInProgress {
		due += m.electionSyncTime()
	}
	return m.now >= due
}

// awaitElection postpones this replica's next election until the present one has probably ended.
func (m *Machine) awaitElection() {
	m.resetElection()
	m.electionInProgress = true
}

// recordSyncs records the duration of a sync. If it was part of an election, the election goes on with the syncs of the
// other replicas.
func (m *Machine) recordSyncs(done []pendingPersist) {
	if len(done) == 0 {
		return
	}
	m.syncTime = m.now - done[0].since
	onlyMeasured := len(done) == 1 && done[0].sequence == m.measurement
	if m.leader == "" && !onlyMeasured {
		m.awaitElection()
	}
}

// measureDisk syncs the hard state once more while this replica waits for an election longer than an election timeout
// because of a slow sync. A disk that was slow for a moment would otherwise delay the next leader.
func (m *Machine) measureDisk() {
	if m.leader != "" || !m.electionInProgress || len(m.pending) > 0 || m.electionSyncTime() <= m.config.ElectionTimeout {
		return
	}
	if self, ok := m.self(); !ok || !self.Voter {
		return
	}
	m.measurement = m.persist().Sequence
}
