package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const validSettings = `
name = "c1"
listen = "127.0.0.1:7001"
data_folder = "/var/lib/toucanhinge"
[[peers]]
name = "c1"
address = "127.0.0.1:7001"
`

func loadText(t *testing.T, text string) (Config, error) {
	file := filepath.Join(t.TempDir(), "control.toml")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return Load(file)
}

// TestLoadValidatesSettings checks that the error for an invalid setting names its key and
// the reason.
func TestLoadValidatesSettings(t *testing.T) {
	scenarios := []struct{ name, old, text, wantError string }{
		{"valid", "", "", ""},
		{"missing name", `name = "c1"`, ``, "name: missing"},
		{"unknown key", `name = "c1"`, "name = \"c1\"\ncolour = 1", "colour: unknown key"},
		{"wrong type", `name = "c1"`, `name = 1`, "name"},
		{"host name instead of IP", "127.0.0.1:7001\"\ndata", "localhost:7001\"\ndata", "listen: want a literal IP"},
		{"missing folder", `data_folder = "/var/lib/toucanhinge"`, ``, "data_folder: missing"},
		{"one group", `name = "c1"`, "name = \"c1\"\ngroups = 1", "groups: want 2 to 64"},
		{"unknown log level", `name = "c1"`, "name = \"c1\"\nlog_level = \"loud\"", "log_level: want"},
		{"not among the peers", "[[peers]]\nname = \"c1\"", "[[peers]]\nname = \"c2\"", `peers: this VM, "c1", is not listed`},
		{"peer listed twice", "[[peers]]", "[[peers]]\nname = \"c1\"\naddress = \"127.0.0.1:7002\"\n[[peers]]", `"c1" is listed twice`},
		{"election timeout too short", "[[peers]]", "[consensus]\nheartbeat_ms = 100\nelection_ms = 200\n[[peers]]", "consensus.election_ms"},
		{"member lease too short", "[[peers]]", "[members]\nlease_ms = 5000\n[[peers]]", "members.lease_ms"},
		{"claim retention too short", "[[peers]]", "[claims]\nkeep_ms = 1000\n[[peers]]", "claims.keep_ms: want at least a day"},
		{"zero items per job", "[[peers]]", "[jobs]\nmost_items = 0\n[[peers]]", "jobs.most_items"},
		{"result limit too large", "[[peers]]", "[jobs]\nresult_bytes = 9000000\n[[peers]]", "jobs.result_bytes"},
		{"VM list without http URL", "[[peers]]", "[platform]\nvm_list_url = \"vms\"\n[[peers]]", "platform.vm_list_url"},
	}
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			if c.old != "" {
				require.Contains(t, validSettings, c.old)
			}
			config, err := loadText(t, strings.Replace(validSettings, c.old, c.text, 1))
			if c.wantError == "" {
				require.NoError(t, err)
				require.Equal(t, "c1", config.VM)
				return
			}
			require.ErrorContains(t, err, c.wantError)
		})
	}
}
