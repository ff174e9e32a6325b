package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

type sample struct {
	Listen string `toml:"listen" doc:"address to serve on"`
	Limits struct {
		Body int `toml:"body" doc:"bytes"`
	} `toml:"limits"`
}

func validate(c *Check, s *sample) {
	c.Address("listen", s.Listen)
	c.Require(s.Limits.Body > 0, "limits.body", "must be above 0, got %d", s.Limits.Body)
}

func TestLoadNamesEveryFault(t *testing.T) {
	scenarios := []struct {
		name  string
		text  string
		wants []Fault
	}{
		{"good", "listen = '127.0.0.1:80'\n[limits]\nbody = 3", nil},
		{"unknown key", "listen = '127.0.0.1:80'\nlisen = 1\n[limits]\nbody = 3", []Fault{{Key: "lisen", Reason: "unknown key"}}},
		{"wrong type", "listen = 5", []Fault{{Key: "listen", Reason: `line 1: incompatible types: TOML value has type int64; destination has type string`}}},
		{"two faults at once", "listen = 'localhost:80'\n[limits]\nbody = -1", []Fault{
			{Key: "limits.body", Reason: "must be above 0, got -1"},
			{Key: "listen", Reason: `want a literal IP, got host "localhost"`},
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "s.toml")
			require.NoError(t, os.WriteFile(file, []byte(s.text), 0o600))
			err := Load(file, &sample{}, validate)
			if s.wants == nil {
				require.NoError(t, err)
				return
			}
			var faults *Error
			require.True(t, errors.As(err, &faults))
			for i := range s.wants {
				s.wants[i].File = file
			}
			require.Equal(t, s.wants, faults.Faults)
		})
	}
}

func TestLoadNamesAMissingFile(t *testing.T) {
	err := Load("none.toml", &sample{}, validate)
	require.ErrorContains(t, err, "none.toml: can't be read")
}

func TestReferenceListsNestedKeys(t *testing.T) {
	text := Reference(sample{Listen: "127.0.0.1:1"})
	require.Contains(t, text, "| `listen` | string | `127.0.0.1:1` | address to serve on |")
	require.Contains(t, text, "| `limits.body` | int | `0` | bytes |")
}
