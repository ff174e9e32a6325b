package contention

// Update is a report as it arrives from another process.
type Update struct {
	// Source is the name of the sender. Epoch and Sequence order its updates.
	Source          string
	Epoch, Sequence uint64
	// DataCentre is set if the sender is the relay of a data centre and sums up its gateways.
	DataCentre string
	// Report replaces the previous report of the source or of the data centre. Its times are by the
	// clock of this process.
	Report Report
	// WaitingOnly is set if only the waiting requests are replaced.
	WaitingOnly bool
}

func (u Update) origin() origin {
	if u.DataCentre != "" {
		return origin{u.DataCentre, true}
	}
	return origin{u.Source, false}
}

func (u Update) sender() sender { return sender{u.Source, u.DataCentre} }
