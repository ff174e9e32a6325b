package bench

import (
	"fmt"

	"github.com/pkg/errors"

	"toucanhinge.example/lab/pkg/load"
)

// errCallsFailed is returned for a run with too many failed calls, since its figures
// would be misleading.
var errCallsFailed = errors.New("calls failed")

// minSuccessShare is the share of calls that must be complete for an arm to be valid.
const minSuccessShare = 0.99

// arm merges the load reports of one arm of an experiment.
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

func (a *arm) checkSuccessShare() error {
	if float64(a.report.Complete) < minSuccessShare*float64(a.report.Calls) {
		return fmt.Errorf("%s: %w", a.report, errCallsFailed)
	}
	return nil
}
