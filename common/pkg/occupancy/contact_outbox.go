package occupancy

import (
	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// maxDigestContacts is the maximum number of findings in a digest. The others follow in the next ones.
	maxDigestContacts = 32
	// contactRepeats is the number of digests that contain a finding, in case a datagram is lost.
	contactRepeats = 3
)

// outgoingContact is a finding that is still to be published in a number of digests.
type outgoingContact struct {
	contact
	left int
}

// contactOutbox holds the newest unpublished finding on each runner.
type contactOutbox map[string]*outgoingContact

func (o contactOutbox) add(runner string, c contact) {
	o[runner] = &outgoingContact{contact: c, left: contactRepeats}
}

// addTo adds findings to the entries of a digest.
func (o contactOutbox) addTo(now clock.Millis, entry func(runner string) *toucanhingev1.RunnerLoad) {
	added := 0
	for runner, c := range o {
		if added == maxDigestContacts {
			return
		}
		added++
		age, l := uint32(max(now-c.at, 0)), entry(runner)
		l.ContactAgeMs, l.AvoidMs = &age, uint32(c.avoid)
		if c.left--; c.left <= 0 {
			delete(o, runner)
		}
	}
}
