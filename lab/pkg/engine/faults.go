package engine

// Faults selects the injected faults. It is set by flags or by POST /faults, which
// replaces all fields. The zero value injects no fault.
type Faults struct {
	// Crash exits the process immediately. CrashAfter exits after that many more tokens.
	Crash      bool `json:"crash"`
	CrashAfter int  `json:"crash_after"`
	// FreezeMs pauses the loop and all responses for that time.
	FreezeMs int64 `json:"freeze_ms"`
	// SlowFactor multiplies the step time.
	SlowFactor float64 `json:"slow_factor"`
	// LateMs delays each event of a response.
	LateMs int64 `json:"late_ms"`
	// Reorder swaps neighbouring events of a stream. Each event keeps its own id.
	Reorder bool `json:"reorder"`
	// Short ends a response after half its tokens, without finish reason and end marker.
	Short bool `json:"short"`
	// Garbage puts invalid JSON into a response.
	Garbage bool `json:"garbage"`
	// Cut breaks the connection after half the tokens.
	Cut bool `json:"cut"`
	// Status, if set, is returned instead of running the request, for example 500, 429 or 503.
	Status int `json:"status"`
	// LieLoad reports an idle engine regardless of the actual load.
	LieLoad bool `json:"lie_load"`
	// Count limits the number of requests affected by response faults; 0 means all.
	Count int `json:"count"`
}

// affectsResponses reports whether a fault is set that changes single responses.
func (f *Faults) affectsResponses() bool {
	return f.LateMs > 0 || f.Reorder || f.Short || f.Garbage || f.Cut || f.Status != 0
}
