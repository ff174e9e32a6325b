package sse

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/seed"
)

func TestMain(m *testing.M) { seed.Main(m, 11) }

func TestEvents(t *testing.T) {
	for _, c := range []struct {
		name, stream string
		ids          []uint64
		data         []string
		end          error
	}{
		{"none", "", nil, nil, io.EOF},
		{"two", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []uint64{1, 2}, []string{"a", "b"}, io.EOF},
		{"no space", "id:7\ndata:a\n\n", []uint64{7}, []string{"a"}, io.EOF},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\n", []uint64{1}, []string{"a"}, io.EOF},
		{"several data lines", "id: 1\ndata: a\ndata:  b\ndata:\n\n", []uint64{1}, []string{"a\n b\n"}, io.EOF},
		{"other fields", "x-weight: 3\nid: 1\n: remark\ndata: a\n\n", []uint64{1}, []string{"a"}, io.EOF},
		{"number unreadable", "id: x\ndata: a\n\n", []uint64{0}, []string{"a"}, io.EOF},
		{"cut between lines", "id: 1\ndata: a\n", nil, nil, ErrTruncated},
		{"cut in a line", "id: 1\ndata: a\n\nid: 2\nda", []uint64{1}, []string{"a"}, ErrTruncated},
	} {
		t.Run(c.name, func(t *testing.T) {
			reader := NewReader(strings.NewReader(c.stream), 16)
			raw := ""
			for i, id := range c.ids {
				e, err := reader.Next()
				require.NoError(t, err)
				require.Equal(t, id, e.ID)
				require.Equal(t, c.data[i], string(e.Data))
				raw += string(e.Raw)
			}
			_, err := reader.Next()
			require.ErrorIs(t, err, c.end)
			require.True(t, strings.HasPrefix(c.stream, raw), "every byte is passed on")
		})
	}
}

func TestAnEndlessEventIsRefused(t *testing.T) {
	reader := NewReader(io.MultiReader(strings.NewReader("data: "), zeros{}), 1<<10)
	_, err := reader.Next()
	require.ErrorIs(t, err, ErrTooLong)
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// TestRapidAnyCutGivesWholeEvents cuts a stream anywhere and reads it in pieces of
// any size: only whole events come out, unchanged, and the cut is told.
func TestRapidAnyCutGivesWholeEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		texts := rapid.SliceOf(rapid.StringMatching(`[ -~]{0,40}`)).Draw(t, "texts")
		var events []string
		for i, text := range texts {
			events = append(events, fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, text))
		}
		whole := strings.Join(events, "")
		cut := rapid.IntRange(0, len(whole)).Draw(t, "cut")
		source := io.Reader(strings.NewReader(whole[:cut]))
		if rapid.Bool().Draw(t, "byte by byte") {
			source = iotest.OneByteReader(source)
		}
		reader := NewReader(source, rapid.IntRange(16, 64).Draw(t, "buffer"))
		raw, count := "", 0
		for {
			e, err := reader.Next()
			if err != nil {
				require.Equal(t, len(raw) == cut, err != nil && !strings.Contains(err.Error(), ErrTruncated.Error()))
				break
			}
			count++
			require.Equal(t, uint64(count), e.ID)
			raw += string(e.Raw)
		}
		require.Equal(t, strings.Join(events[:count], ""), raw)
		require.Less(t, cut-len(raw), len(strings.Join(append(events, "x")[count:count+1], ""))+1)
	})
}
