package record

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

func TestBookForgetsTheOldestFirst(t *testing.T) {
	now := clock.Millis(0)
	b := New(Config{Clock: clock.FromFunc(func() clock.Millis { now++; return now }), Process: "p", Size: 3})
	for i := range 5 {
		b.Add("job/"+strconv.Itoa(i), "leased", "")
	}
	found := b.Find("job")
	require.Len(t, found, 3)
	require.Equal(t, "job/2", found[0].GetId())
	require.Equal(t, "job/4", found[2].GetId())
	require.Empty(t, b.Find("jo"))
}
