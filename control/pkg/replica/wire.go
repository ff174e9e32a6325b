package replica

import (
	"toucanhinge.example/control/pkg/consensus"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

func toWire(group uint32, m consensus.Message) *toucanhingev1.ReplicaMessage {
	w := &toucanhingev1.ReplicaMessage{
		Group: group, Kind: uint32(m.Kind), To: m.To, ToIdentity: m.ToIdentity,
		Term: m.Term, Index: m.Index, LogTerm: m.LogTerm, Commit: m.Commit,
		Read: m.Read, Reject: m.Reject, Hint: m.Hint,
	}
	for _, e := range m.Entries {
		w.Entries = append(w.Entries, &toucanhingev1.LogEntry{
			Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data,
		})
	}
	return w
}

func fromWire(r *toucanhingev1.StepRequest, w *toucanhingev1.ReplicaMessage) consensus.Message {
	m := consensus.Message{
		Kind: consensus.Kind(w.GetKind()), From: r.GetFrom(), FromIdentity: r.GetIdentity(),
		To: w.GetTo(), ToIdentity: w.GetToIdentity(),
		Term: w.GetTerm(), Index: w.GetIndex(), LogTerm: w.GetLogTerm(), Commit: w.GetCommit(),
		Read: w.GetRead(), Reject: w.GetReject(), Hint: w.GetHint(),
	}
	for _, e := range w.GetEntries() {
		m.Entries = append(m.Entries, consensus.Entry{
			Index: e.GetIndex(), Term: e.GetTerm(), Kind: consensus.EntryKind(e.GetKind()), Data: e.GetData(),
		})
	}
	return m
}
