package disk

import (
	"testing"

	"toucanhinge.example/common/pkg/seed"
)

// TestMain sets the default seed of the fuzz tests; a flag overrides it.
func TestMain(m *testing.M) {
	seed.Main(m, 7)
}
