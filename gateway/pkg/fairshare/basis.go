package fairshare

// Basis is what a gateway's decisions on shares are based on.
type Basis int

const (
	// EqualPart compares the gateway's own demands with an equal part of the capacity, since it has no usable report
	// of another gateway.
	EqualPart Basis = iota
	// LastReports is the last known sum of the reports of other gateways, which have expired.
	LastReports
	// Reports is the sum of the present reports of other gateways.
	Reports
)

// String returns the name of the basis in log lines.
func (b Basis) String() string {
	switch b {
	case Reports:
		return "reports"
	case LastReports:
		return "last-reports"
	default:
		return "equal-part"
	}
}
