package summary

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMediansAndWhatIsLeftOut(t *testing.T) {
	s := New()
	for _, v := range []float64{9, 1, 2} {
		s.Add("items.onegroup", v)
	}
	s.Add("own.figure", 4)
	s.Add("own.figure", 6)
	s.MarkMissing("restart.ms", "control did not come back")
	file := filepath.Join(t.TempDir(), "summary.json")
	require.NoError(t, s.WriteFile(file))
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	require.JSONEq(t, `{"items.onegroup":2,"own.figure":5}`, string(text))
	var table strings.Builder
	require.NoError(t, s.Print(&table))
	require.Contains(t, table.String(), "left out: control did not come back")
	require.Regexp(t, `items.onegroup +2 +1 +9 +3`, table.String())
}
