package crashreplay

import (
	"fmt"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/prompt"
)

const (
	// callerPart is the first part of every prompt.
	callerPart prompt.PartID = "caller"
	// sessionLength is the number of requests of a session, sessionPause the mean time between two of them.
	sessionLength              = 3
	sessionPause  clock.Millis = 1_500
)

// CrashingPart returns the nth part that crashes runners.
func CrashingPart(n int) prompt.PartID { return prompt.PartID(fmt.Sprint("crashing ", n)) }

func (f *Fleet) topic() prompt.PartID {
	return prompt.PartID(fmt.Sprint("topic ", f.random.IntN(f.config.Parts.Topics)))
}

// prompt returns the shared parts of the nth harmless request and the time of its arrival.
func (f *Fleet) prompt(n int, at clock.Millis) ([]prompt.PartID, clock.Millis) {
	if f.random.Float64() >= f.config.Parts.Sessions {
		return []prompt.PartID{callerPart, f.topic()}, at
	}
	// The requests of a session follow one another from a time that depends on the session alone.
	session := n / sessionLength
	from := clock.Millis(uint64(session)*2_654_435_761%uint64(f.config.Duration)) + clock.Millis(n%sessionLength)*sessionPause
	return []prompt.PartID{callerPart, prompt.PartID(fmt.Sprint("session ", session))}, from
}

// schedulePartCrashes draws the arrivals of the requests with crashing parts.
func (f *Fleet) schedulePartCrashes() {
	p := f.config.Parts
	for k := range p.Crashing {
		part := CrashingPart(k)
		for n := range int(p.CrashingPerSecond * float64(p.CrashingSpan) / 1_000) {
			q := &request{
				fingerprint: fingerprint(1<<40 + k<<20 + n), crashing: true, crashingPart: part,
				parts: []prompt.PartID{callerPart, part},
			}
			if n%2 == 0 {
				q.parts = append(q.parts, f.topic())
			}
			if p.Paired {
				q.parts = append(q.parts, part+" companion")
			}
			f.after(p.CrashingFrom+f.draw(p.CrashingSpan), func() { f.arrive(q) })
		}
		for n := range p.Items {
			q := &request{
				fingerprint: fingerprint(1<<50 + k<<20 + n), crashing: true, crashingPart: part, parts: []prompt.PartID{callerPart, part}, item: true,
			}
			f.after(p.CrashingFrom, func() { f.arrive(q) })
		}
	}
}
