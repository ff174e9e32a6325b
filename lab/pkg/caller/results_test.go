package caller

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A connection that breaks between two lines looks like the end of a shorter
// file. Only the closing line, with the right count, makes results whole.
func TestResultsWithoutTheirEndAreCut(t *testing.T) {
	const first = `{"index":0,"custom_id":"a","outcome":"done","body":{"choices":[{"message":{"content":" x"}}]}}` + "\n"
	scenarios := []struct {
		name string
		text string
		read int
		err  error
	}{
		{"whole", first + `{"end":true,"count":1}` + "\n", 1, nil},
		{"no end", first, 1, ErrTruncated},
		{"fewer than counted", first + `{"end":true,"count":2}` + "\n", 1, ErrTruncated},
		{"error in the middle", first + `{"error":{"reason":"control-unavailable"}}` + "\n", 1, ErrTruncated},
		{"empty", "", 0, ErrTruncated},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			read := 0
			err := readResults(strings.NewReader(s.text), func(r Result) error {
				require.Equal(t, " x", r.Text())
				read++
				return nil
			})
			require.Equal(t, s.read, read)
			require.ErrorIs(t, err, s.err)
		})
	}
}
