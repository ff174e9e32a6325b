package systemstate

import (
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/crashes"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Quarantines lists the requests that are kept from all runners; some may have ended.
func (s *State) Quarantines() []crashes.Quarantine { return slices.Clone(s.quarantines) }

// EncodeQuarantines writes quarantines as the log and checkpoints hold them.
func EncodeQuarantines(list []crashes.Quarantine) []*toucanhingev1.SavedQuarantine {
	var saved []*toucanhingev1.SavedQuarantine
	for _, q := range list {
		saved = append(saved, &toucanhingev1.SavedQuarantine{
			Content: q.Fingerprint[:], SinceMs: int64(q.Since), UntilMs: int64(q.Until), Terms: uint32(q.Count),
		})
	}
	return saved
}

// quarantinesOf reads them back. What isn't of the right length comes from a newer program.
func quarantinesOf(saved []*toucanhingev1.SavedQuarantine) []crashes.Quarantine {
	var list []crashes.Quarantine
	for _, m := range saved {
		q := crashes.Quarantine{Since: clock.Millis(m.GetSinceMs()), Until: clock.Millis(m.GetUntilMs()), Count: int(m.GetTerms())}
		if len(m.GetContent()) != len(q.Fingerprint) {
			continue
		}
		copy(q.Fingerprint[:], m.GetContent())
		list = append(list, q)
	}
	return list
}
