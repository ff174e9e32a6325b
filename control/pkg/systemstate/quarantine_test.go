package systemstate

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/crashes"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// What crashes runners is remembered by the log and by its checkpoints; each step replaces
// what was there, and an entry that a newer program wrote otherwise is passed over.
func TestQuarantinesAreKept(t *testing.T) {
	s := New(Config{})
	list := []crashes.Quarantine{{Fingerprint: crashes.Fingerprint{1}, Since: 5, Until: 500, Count: 1}, {Fingerprint: crashes.Fingerprint{2}, Since: 7, Until: 900, Count: 3}}
	keep := func(saved []*toucanhingev1.SavedQuarantine) {
		s.Step(10, &toucanhingev1.SystemStep{Step: &toucanhingev1.SystemStep_KeepQuarantines{
			KeepQuarantines: &toucanhingev1.KeepQuarantinesStep{Quarantines: saved},
		}})
	}
	keep(EncodeQuarantines(list))
	require.Equal(t, list, s.Quarantines())
	restored, err := Restore(Config{}, s.Save())
	require.NoError(t, err)
	require.Equal(t, list, restored.Quarantines())
	keep(append(EncodeQuarantines(list[:1]), &toucanhingev1.SavedQuarantine{Content: []byte("short")}))
	require.Equal(t, list[:1], s.Quarantines())
	keep(nil)
	require.Empty(t, s.Quarantines())
}
