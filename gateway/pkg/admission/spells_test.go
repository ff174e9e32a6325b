package admission

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

// spellsOf has seen one spell of a length end, and another one begin at 0.
func spellsOf(length clock.Millis) *OverloadTracker {
	s := &OverloadTracker{}
	if length > 0 {
		s.RecordRefusal(-20_000)
		s.last = -20_000 + length
	}
	s.RecordRefusal(0)
	return s
}

func TestSpells(t *testing.T) {
	s := &OverloadTracker{}
	burst := func(from clock.Millis) {
		for at := from; at <= from+2_000; at += 200 {
			s.RecordRefusal(at)
		}
	}
	_, known := s.Remaining(0)
	require.False(t, known, "none was seen")
	burst(1_000)
	_, known = s.Remaining(2_000)
	require.False(t, known, "none was seen to its end")
	burst(7_000)
	s.RecordRefusal(13_000)
	left, known := s.Remaining(13_500)
	require.True(t, known)
	require.Equal(t, clock.Millis(1_500), left)
	left, known = s.Remaining(15_200)
	require.True(t, known)
	require.Zero(t, left)
	_, known = s.Remaining(16_000)
	require.False(t, known, "longer than usual")
}

// Callers are turned away in a burst and told when to come back. Coming back while it goes
// on they would meet it again, and be turned away for good.
func TestCallersComeBackAfterTheBurst(t *testing.T) {
	for _, c := range []struct {
		name        string
		spells      *OverloadTracker
		now         clock.Millis
		first, last clock.Millis
	}{
		{"nothing is known: late", spellsOf(0), 100, 1_166, 1_666},
		{"the burst will go on for longer than they wait", spellsOf(4_000), 100, 1_166, 1_666},
		{"it will be over soon", spellsOf(1_000), 400, 600, 1_666},
		{"it should be over", spellsOf(1_000), 1_100, 200, 1_666},
		{"it goes on for longer than usual", spellsOf(1_000), 1_300, 1_166, 1_666},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := Request{Arrived: c.now, Deadline: c.now + 5_000}
			require.Equal(t, c.first, RetryAfter(c.now, a, c.spells, 0))
			require.InDelta(t, float64(c.last), float64(RetryAfter(c.now, a, c.spells, 0.999)), 2)
		})
	}
}
