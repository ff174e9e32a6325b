package config

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/settings"
)

// TestReferencePage checks that the settings page matches the code. With
// TOUCANHINGE_UPDATE set, it writes the page instead.
func TestReferencePage(t *testing.T) {
	update := os.Getenv("TOUCANHINGE_UPDATE") != ""
	require.NoError(t, settings.CheckPage("../../../docs/CONFIG.md", "control", Default(), update))
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../../examples/*/control-*.toml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		_, err := Load(file)
		require.NoError(t, err, file)
	}
}
