// Package streamorigin holds at which service and software version streams began.
package streamorigin

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the software version of the runner that sent the first event.
	Version string
}
