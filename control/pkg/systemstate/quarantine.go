package systemstate

import (
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/crashes"
	"toucanhinge.example/common/pkg/lateruns"
	"toucanhinge.example/common/pkg/prompt"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Quarantines returns the logged quarantines. Some may have expired.
func (s *State) Quarantines() []crashes.Quarantine { return slices.Clone(s.quarantines) }

// EncodeQuarantines converts quarantines to the format of the log and of checkpoints.
func EncodeQuarantines(list []crashes.Quarantine) []*toucanhingev1.SavedQuarantine {
	var saved []*toucanhingev1.SavedQuarantine
	for _, q := range list {
		m := &toucanhingev1.SavedQuarantine{
			Part: string(q.Part), SinceMs: int64(q.Since), UntilMs: int64(q.Until), Terms: uint32(q.Count),
			Trial: q.Trial, Alone: q.Alone, KnownMs: int64(q.History.KnownAt),
		}
		for _, r := range q.History.Runs {
			m.Runs = append(m.Runs, &toucanhingev1.SavedRun{
				Id: r.ID, AtMs: int64(r.At), CrashedMs: int64(r.CrashedAt), Returned: r.Returned, Excused: r.Excused,
			})
		}
		if q.Part == "" {
			m.Content = q.Fingerprint[:]
		}
		saved = append(saved, m)
	}
	return saved
}

// decodeQuarantines is the inverse of EncodeQuarantines. It skips entries without a part whose fingerprint has another
// length, which are from a newer program version.
func decodeQuarantines(saved []*toucanhingev1.SavedQuarantine) []crashes.Quarantine {
	var list []crashes.Quarantine
	for _, m := range saved {
		q := crashes.Quarantine{
			Part: prompt.PartID(m.GetPart()), Since: clock.Millis(m.GetSinceMs()), Until: clock.Millis(m.GetUntilMs()), Count: int(m.GetTerms()),
			Trial: m.GetTrial(), Alone: m.GetAlone(), History: lateruns.History{KnownAt: clock.Millis(m.GetKnownMs())},
		}
		for _, r := range m.GetRuns() {
			q.History.Runs = append(q.History.Runs, lateruns.Run{
				ID: r.GetId(), At: clock.Millis(r.GetAtMs()), CrashedAt: clock.Millis(r.GetCrashedMs()), Returned: r.GetReturned(), Excused: r.GetExcused(),
			})
		}
		if q.Part == "" && len(m.GetContent()) != len(q.Fingerprint) {
			continue
		}
		copy(q.Fingerprint[:], m.GetContent())
		list = append(list, q)
	}
	return list
}
