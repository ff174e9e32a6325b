package program

import (
	"bytes"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

// Operators and service managers decide by the exit code whether a restart can help.
func TestExitCodes(t *testing.T) {
	errSettings, errRun := errors.New("settings.toml: listen: not an address"), errors.New("address in use")
	for _, c := range []struct {
		name         string
		check        bool
		load, run    error
		code         int
		out, failure string
		runs         bool
	}{
		{"run succeeds", false, nil, nil, 0, "", "", true},
		{"invalid settings", false, errSettings, nil, 2, "", "settings.toml: listen: not an address\n", false},
		{"run fails", false, nil, errRun, 1, "", "address in use\n", true},
		{"check of valid settings", true, nil, errRun, 0, "settings are valid\n", "", false},
		{"check of invalid settings", true, errSettings, nil, 2, "", "settings.toml: listen: not an address\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			ran := false
			p := Program[string]{
				Load: func(path string) (string, error) { return "read " + path, c.load },
				Run: func(settings string) error {
					ran = true
					require.Equal(t, "read file", settings)
					return c.run
				},
			}
			var out, failures bytes.Buffer
			require.Equal(t, c.code, p.run(arguments{Settings: "file", Check: c.check}, &out, &failures))
			require.Equal(t, []string{c.out, c.failure}, []string{out.String(), failures.String()})
			require.Equal(t, c.runs, ran)
		})
	}
}
