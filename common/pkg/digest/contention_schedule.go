package digest

import (
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/contention"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// emptyContentionRepeats is the number of times that an empty report is sent after a non-empty
	// one, so that a lost datagram leaves no demand that has ended.
	emptyContentionRepeats = 3
	// startTolerance is the change of a waiting request's start time that isn't sent at once. Start
	// times are received as durations and vary by the delay of datagrams.
	startTolerance clock.Millis = 20
)

// contentionSchedule decides which part of a sender's reports is sent when.
type contentionSchedule struct {
	// sentAt is when any message was sent, wholeAt when a whole report was.
	sentAt, wholeAt clock.Millis
	// sent holds the services of the last report, whose waiting requests were sent.
	sent []contention.Service
	// empties is the number of empty reports that are still to be sent.
	empties int
}

// unfinished reports whether empty reports are still to be sent.
func (s *contentionSchedule) unfinished() bool { return s.empties > 0 }

// due reports whether the interval between two messages is over.
func (s *contentionSchedule) due(now, delayFactor clock.Millis) bool {
	return now-s.sentAt >= contention.WaitingInterval*delayFactor
}

// wholeDue reports whether the interval between two whole reports is over.
func (s *contentionSchedule) wholeDue(now, delayFactor clock.Millis) bool {
	return now-s.wholeAt >= contention.ReportInterval*delayFactor
}

// next returns the message to send now for the sender's present report, nil for none.
func (s *contentionSchedule) next(now clock.Millis, r *contention.Report, delayFactor clock.Millis) *toucanhingev1.Contention {
	if !s.due(now, delayFactor) {
		return nil
	}
	if r == nil {
		return s.nextEmpty(now)
	}
	waitingOnly := !s.wholeDue(now, delayFactor)
	if waitingOnly && sameWaiting(s.sent, r.Services) {
		return nil
	}
	s.sentAt, s.sent, s.empties = now, r.Services, emptyContentionRepeats
	if waitingOnly {
		return waitingToProto(now, r)
	}
	s.wholeAt = now
	return contentionToProto(now, r)
}

func (s *contentionSchedule) nextEmpty(now clock.Millis) *toucanhingev1.Contention {
	if s.empties == 0 {
		return nil
	}
	s.empties--
	s.sentAt, s.sent = now, nil
	return &toucanhingev1.Contention{}
}

// sameWaiting reports whether the waiting requests of two reports are the same.
func sameWaiting(a, b []contention.Service) bool { return coversWaiting(a, b) && coversWaiting(b, a) }

// coversWaiting reports whether each service with waiting requests has the same ones in the other
// report.
func coversWaiting(services, other []contention.Service) bool {
	for _, s := range services {
		i := slices.IndexFunc(other, func(o contention.Service) bool { return o.Name == s.Name })
		if i < 0 && s.WaitingCount == 0 && len(s.Waiting) == 0 {
			continue
		}
		if i < 0 || s.WaitingCount != other[i].WaitingCount || !slices.EqualFunc(s.Waiting, other[i].Waiting, sameWaiter) {
			return false
		}
	}
	return true
}

func sameWaiter(a, b contention.Waiter) bool {
	difference := max(a.StartBy-b.StartBy, b.StartBy-a.StartBy)
	return a.Tie == b.Tie && a.OverShare == b.OverShare && difference <= startTolerance
}
