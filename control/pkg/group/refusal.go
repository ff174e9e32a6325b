package group

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/control/pkg/replica"
)

// Reasons under which refusals are counted.
const (
	reasonNotLeader  = "not-leader"
	reasonOverloaded = "overloaded"
	reasonUnknown    = "outcome-unknown"
	reasonStopped    = "stopping"
	reasonCaller     = "caller-gone"
	reasonInternal   = "internal"
)

// Refuser turns a group's errors into those of the calls, and counts them.
type Refuser struct {
	// Refused counts by place and reason; may be nil.
	Refused *prometheus.CounterVec
}

// Refuse turns an error of a group into that of a call. The callers repeat what
// is unavailable; all calls are idempotent, so also after an unknown outcome.
func (r Refuser) Refuse(place string, err error) *connect.Error {
	reason, refusal := translate(err)
	return r.count(place, reason, refusal)
}

// RefuseWith refuses a call for a reason of the handler's own.
func (r Refuser) RefuseWith(place, reason string, code connect.Code, format string, args ...any) *connect.Error {
	return r.count(place, reason, connect.NewError(code, fmt.Errorf(format, args...)))
}

func (r Refuser) count(place, reason string, refusal *connect.Error) *connect.Error {
	if r.Refused != nil {
		r.Refused.WithLabelValues(place, reason).Inc()
	}
	return refusal
}

func translate(err error) (reason string, refusal *connect.Error) {
	var notLeader *replica.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		return reasonNotLeader, control.NotLeader(notLeader.Address)
	case errors.Is(err, replica.ErrOverloaded):
		return reasonOverloaded, connect.NewError(connect.CodeUnavailable, err)
	case errors.Is(err, replica.ErrStopped):
		return reasonStopped, connect.NewError(connect.CodeUnavailable, err)
	case errors.Is(err, replica.ErrUnknown):
		return reasonUnknown, connect.NewError(connect.CodeUnavailable, err)
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return reasonCaller, connect.NewError(connect.CodeDeadlineExceeded, err)
	default:
		return reasonInternal, connect.NewError(connect.CodeInternal, err)
	}
}
