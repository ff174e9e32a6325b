package config

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/settings"
)

// The settings page is generated from the code. If TOUCANHINGE_UPDATE is set, this test
// writes the page instead of comparing it.
func TestReferencePageIsCurrent(t *testing.T) {
	update := os.Getenv("TOUCANHINGE_UPDATE") != ""
	require.NoError(t, settings.CheckPage("../../../docs/CONFIG.md", "sidecar", Defaults(), update))
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../../examples/*/sidecar-*.toml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		_, err := Load(file)
		require.NoError(t, err, file)
	}
}
