package http1

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// Guards against an answer that counts as complete although its request was cut, and one that is held by its request for good.
func TestUploadCheckSent(t *testing.T) {
	errReset := errors.New("reset")
	for _, c := range []struct {
		name string
		// after is when the upload ends after the answer, negative if it never does.
		after time.Duration
		err   error
		want  error
	}{
		{"sent before", 0, nil, nil},
		{"cut before", 0, errReset, errReset},
		{"sent soon after", uploadWait / 2, nil, nil},
		{"cut soon after", uploadWait / 2, errReset, errReset},
		{"sent late", 2 * uploadWait, nil, errCutUpload},
		{"never ended", -1, nil, errCutUpload},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := NewUpload(nil)
				require.False(t, u.Written())
				switch {
				case c.after == 0:
					u.End(c.err)
					require.Equal(t, c.err == nil, u.Written())
				case c.after > 0:
					time.AfterFunc(c.after, func() { u.End(c.err) })
				}
				startedAt := time.Now()
				err := u.CheckSent()
				require.ErrorIs(t, err, c.want)
				require.Equal(t, c.want == nil, err == nil)
				require.LessOrEqual(t, time.Since(startedAt), uploadWait)
				time.Sleep(2 * uploadWait)
			})
		})
	}
}
