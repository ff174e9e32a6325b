package job

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestIDContainsGroup(t *testing.T) {
	counts := map[uint32]int{}
	for i := range 1_000 {
		id := ID("agence", fmt.Sprintf("lot-%d", i), 5)
		require.Equal(t, id, ID("agence", fmt.Sprintf("lot-%d", i), 5))
		group, err := GroupOf(id)
		require.NoError(t, err)
		counts[group]++
	}
	require.Len(t, counts, 4)
	for group, count := range counts {
		require.NotZero(t, group)
		require.Greater(t, count, 150)
	}
	require.NotEqual(t, ID("ab", "c", 2), ID("a", "bc", 2))
}

func TestGroupOfRefusesInvalidIDs(t *testing.T) {
	scenarios := []string{"", "j", "j1", "1-00", "j0-000000000000000000000000", "jx-000000000000000000000000", "j1-00"}
	for _, s := range scenarios {
		_, err := GroupOf(s)
		require.Error(t, err, s)
	}
}
