// Package contention knows which online requests compete for the slots of a service that has too
// few, over all gateways. Each gateway reports its own part, and the parts of all are merged.
//
// The expected load is a fleet of hundreds of gateways and thousands of teams in which all slots are
// taken, for the length of a burst or for as long as runners are lost. Each gateway then reports
// its demand some times a second and its waiting requests several times as often, and looks up the
// sum for each request. While there are free slots, there are no reports.
//
// The package uses no goroutine, socket or clock.
package contention

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/quota"
)

// ReturnInterval is the length of the intervals by which returning callers are counted.
const ReturnInterval clock.Millis = 250

// Report is the part of one gateway, or the sum of several.
type Report struct {
	Services []Service
	// Gateways is the number of gateways that the report sums up.
	Gateways int
	// At is when the oldest part of the report was made, by the clock of this process.
	At clock.Millis
}

// Service is the part of a report that concerns one service.
type Service struct {
	Name string
	// Teams holds the teams with the most demand relative to their weight; Rest sums up the others.
	Teams []TeamDemand
	Rest  TeamDemand
	// Waiting holds the most urgent waiting requests in order, WaitingCount the number of all.
	Waiting      []Waiter
	WaitingCount int
	// Returning counts the refused callers by the ReturnInterval in which they retry. The first
	// interval starts when the report is provided, also if it sums up older ones, or when Table.View
	// is called.
	Returning []int
	// Refused counts the requests refused for lack of a slot within the last second.
	Refused int
	// Contended is set if a request at one of the reporting gateways found no free slot recently.
	Contended bool
}

// TeamDemand is the demand of one team, or of several teams together.
type TeamDemand struct {
	// Team is 0 for several teams.
	Team quota.ID
	// Running is the number of online requests in progress. Demand adds the waiting ones and those
	// that were refused for lack of a slot within the mean time that a request holds one.
	Running, Demand int
	// Teams and Weight are set only for several teams.
	Teams  int
	Weight float64
}

// Waiter is a request that waits at a gateway for a free slot.
type Waiter struct {
	// StartBy is when the request has to start, including the penalty of its priority.
	StartBy clock.Millis
	// Tie orders waiters with the same StartBy equally at all gateways.
	Tie uint32
	// OverShare is set if the team uses more than its share: all requests of teams below their share
	// go first.
	OverShare bool
}

// Before reports whether a waiter gets a free slot before another one.
func (w Waiter) Before(other Waiter) bool {
	switch {
	case w.OverShare != other.OverShare:
		return !w.OverShare
	case w.StartBy != other.StartBy:
		return w.StartBy < other.StartBy
	default:
		return w.Tie < other.Tie
	}
}

// View is what a gateway knows of the other gateways' part in the contention for one service.
type View struct {
	// Service is the sum of the other gateways' reports.
	Service
	// Gateways is the number of other gateways whose reports are known and not too old.
	Gateways int
	// Age is the age of the oldest of these reports.
	Age clock.Millis
}

// TeamID returns the ID of a team in reports. Callers without a team, whose team name is empty, count as one team.
func TeamID(name string) quota.ID {
	// 0 stands for several teams.
	return max(quota.IDOf(name), 1)
}
