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

// Reasons for refusals, as values of the metric label.
const (
	reasonNotLeader  = "not-leader"
	reasonOverloaded = "overloaded"
	reasonUnknown    = "outcome-unknown"
	reasonStopped    = "stopping"
	reasonCaller     = "caller-gone"
	reasonInternal   = "internal"
)

// Refuser creates the connect errors of refused calls and counts them.
type Refuser struct {
	// Refused counts refusals by operation and reason; may be nil.
	Refused *prometheus.CounterVec
}

// Refuse converts an error of a group to a connect error. Callers retry unavailable
// calls, also after an unknown outcome, since all calls are idempotent.
func (r Refuser) Refuse(op string, err error) *connect.Error {
	reason, refusal := toConnectError(err)
	return r.count(op, reason, refusal)
}

// RefuseWith returns a connect error for a reason that the handler gives.
func (r Refuser) RefuseWith(op, reason string, code connect.Code, format string, args ...any) *connect.Error {
	return r.count(op, reason, connect.NewError(code, fmt.Errorf(format, args...)))
}

func (r Refuser) count(op, reason string, refusal *connect.Error) *connect.Error {
	if r.Refused != nil {
		r.Refused.WithLabelValues(op, reason).Inc()
	}
	return refusal
}

func toConnectError(err error) (reason string, refusal *connect.Error) {
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
