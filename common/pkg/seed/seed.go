// Package seed sets a fixed seed for property-based tests, so that every run of the test suite is
// reproducible. Only test files import it.
package seed

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
)

// Flags of pgregory.net/rapid.
const (
	flagSeed   = "rapid.seed"
	flagChecks = "rapid.checks"
	flagSteps  = "rapid.steps"
)

// Length is the default length of a run; 0 means the default of the library.
type Length struct {
	Checks int
	Steps  int
}

// Main is the body of a package's TestMain. It runs the tests with the given seed unless the command
// line sets a seed or a number of checks. Flags on the command line override the length as well.
func Main(m *testing.M, fixed uint64, lengths ...Length) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	if !given[flagSeed] && !given[flagChecks] {
		set(flagSeed, fixed)
	}
	for _, l := range lengths {
		if l.Checks > 0 && !given[flagChecks] {
			set(flagChecks, uint64(l.Checks))
		}
		if l.Steps > 0 && !given[flagSteps] {
			set(flagSteps, uint64(l.Steps))
		}
	}
	os.Exit(m.Run())
}

func set(name string, value uint64) {
	if err := flag.Set(name, strconv.FormatUint(value, 10)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
