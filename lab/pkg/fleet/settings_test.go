package fleet

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/require"
)

func TestWriteSettingsEncodesTOMLAndLaterKeysWin(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.toml")
	require.NoError(t, writeSettings(file,
		Set("name", "first"), Set("drain.linger_ms", 5), Set("control", []string{"127.0.0.1:1", "127.0.0.1:2"}),
		Set("peers", []Table{{Set("name", "a"), Set("address", "127.0.0.1:1")}}), Set("name", "second"),
	))
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	var decoded struct {
		Name    string
		Control []string
		Drain   struct {
			Linger int `toml:"linger_ms"`
		}
		Peers []struct{ Name, Address string }
	}
	_, err = toml.Decode(string(text), &decoded)
	require.NoError(t, err)
	require.Equal(t, "second", decoded.Name)
	require.Equal(t, 5, decoded.Drain.Linger)
	require.Equal(t, []string{"127.0.0.1:1", "127.0.0.1:2"}, decoded.Control)
	require.Equal(t, "127.0.0.1:1", decoded.Peers[0].Address)
}
