package bench

import (
	"fmt"

	"github.com/pkg/errors"

	"toucanhinge.example/lab/pkg/load"
)

// errUnsound marks a run whose calls failed, so that its figures would lie.
var errUnsound = errors.New("calls failed")

// soundShare is the share of calls that must be whole for an arm to count.
const soundShare = 0.99

// arm collects the reports of one arm.
type arm struct {
	report *load.Report
}

func (a *arm) add(r *load.Report) {
	if a.report == nil {
		a.report = r
		return
	}
	a.report.Merge(r)
}

func (a *arm) sound() error {
	if float64(a.report.Complete) < soundShare*float64(a.report.Calls) {
		return fmt.Errorf("%s: %w", a.report, errUnsound)
	}
	return nil
}
