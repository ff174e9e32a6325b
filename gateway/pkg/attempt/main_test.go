package attempt

import (
	"testing"

	"toucanhinge.example/common/pkg/seed"
)

// rapidChecks is the number of histories in each run of the suite. With 3000, disabling any one
// safeguard made the suite fail.
const rapidChecks = 3000

func TestMain(m *testing.M) {
	seed.Main(m, 1, seed.Length{Checks: rapidChecks})
}
