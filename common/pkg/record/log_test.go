package record

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

func TestLogOverwritesOldestFirst(t *testing.T) {
	now := clock.Millis(0)
	l := New(Config{Clock: clock.FromFunc(func() clock.Millis { now++; return now }), Process: "p", Size: 3})
	for i := range 5 {
		l.Add("job/"+strconv.Itoa(i), "leased", "")
	}
	found := l.Find("job")
	require.Len(t, found, 3)
	require.Equal(t, "job/2", found[0].GetId())
	require.Equal(t, "job/4", found[2].GetId())
	require.Empty(t, l.Find("jo"))
}
