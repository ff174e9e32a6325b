package http1

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCheckHead(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		header http.Header
		want   error
	}{
		{"zero", 0, nil, errStatus},
		{"one", 1, nil, errStatus},
		{"below the interim statuses", 99, nil, errStatus},
		{"interim", 100, nil, nil},
		{"another protocol", 101, nil, errStatus},
		{"interim, no body", 103, http.Header{"Content-Length": {"0"}}, nil},
		{"interim, a body", 103, http.Header{"Content-Length": {"5"}}, errInterimBody},
		{"the last interim status", 199, nil, nil},
		{"sound", 200, http.Header{"Content-Length": {"5"}}, nil},
		{"the last valid status", 599, nil, nil},
		{"a blank in a name", 200, http.Header{"X B": {"1"}}, errFieldName},
		{"a blank behind a name", 200, http.Header{"Transfer-Encoding ": {"chunked"}}, errFieldName},
		{"a bell in a name", 200, http.Header{"X\aB": {"1"}}, errFieldName},
		{"a zero byte in a name", 200, http.Header{"X\x00B": {"1"}}, errFieldName},
		{"no name", 200, http.Header{"": {"1"}}, errFieldName},
		{"interim, a blank in a name", 103, http.Header{"X B": {"1"}}, errFieldName},
		{"above the valid statuses", 600, nil, nil},
		{"the last that fits", 999, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.ErrorIs(t, CheckHead(c.status, c.header), c.want)
		})
	}
}
