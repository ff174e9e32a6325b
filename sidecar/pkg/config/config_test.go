package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/settings"
)

const validSettings = `
name = "e1"
vm = "vm1"
data_centre = "agdal"
service = "s"
control = ["127.0.0.1:1"]
[engine]
url = "http://127.0.0.1:2"
`

// Each invalid setting is reported under its key.
func TestInvalidSettingsNameKey(t *testing.T) {
	scenarios := []struct {
		name string
		old  string
		text string
		key  string
	}{
		{"valid", "", "", ""},
		{"no name", `name = "e1"`, ``, "name"},
		{"no control", `control = ["127.0.0.1:1"]`, ``, "control"},
		{"control by host name", "127.0.0.1:1", "control:1", "control"},
		{"engine with a path", "127.0.0.1:2", "127.0.0.1:2/v1", "engine.url"},
		{"engine over TLS", "http:", "https:", "engine.url"},
		{"engine by host name", "127.0.0.1:2", "engine:2", "engine.url"},
		{"kind", `service = "s"`, "service = 's'\nkind = 'other'", "kind"},
		{"no slots", "[engine]", "[engine]\nslots = 0\nfloor = 0", "engine.slots"},
		{"floor above slots", "[engine]", "[engine]\nfloor = 99", "engine.floor"},
		{"policy", "[engine]", "[batch]\npolicy = 'greedy'\n[engine]", "batch.policy"},
		{"fixed policy with all slots", "[engine]", "[batch]\npolicy = 'fixed'\n[engine]", "batch.slots"},
		{"weight", "[engine]", "[batch]\nweight = 101\n[engine]", "batch.weight"},
		{"unknown key", "[engine]", "[engine]\nslot = 1", "engine.slot"},
		{"wrong type", `name = "e1"`, "name = 1", "name"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "s.toml")
			require.NoError(t, os.WriteFile(file, []byte(strings.Replace(validSettings, s.old, s.text, 1)), 0o600))
			_, err := Load(file)
			if s.key == "" {
				require.NoError(t, err)
				return
			}
			var invalid *settings.Error
			require.True(t, errors.As(err, &invalid), "%v", err)
			require.Len(t, invalid.Faults, 1, "%v", err)
			require.Equal(t, s.key, invalid.Faults[0].Key)
		})
	}
}
