package contention

import "toucanhinge.example/common/pkg/clock"

// part lists the services in the last report of an origin, and when it was received.
type part struct {
	gateways             int
	madeAt               clock.Millis
	demands, waiting     []string
	demandsAt, waitingAt clock.Millis
}

func (p *part) demandsUntil(delayFactor clock.Millis) clock.Millis {
	return p.demandsAt + demandExpiry*delayFactor
}

func (p *part) waitingUntil(delayFactor clock.Millis) clock.Millis {
	return p.waitingAt + waitingExpiry*delayFactor
}
