package callproxy

import (
	"cmp"

	"toucanhinge.example/common/pkg/clock"
)

// blockDuration is how long a gateway that didn't accept a call is excluded. A killed process restarts within
// two seconds.
const blockDuration clock.Millis = 2_000

// Gateway is a gateway that may proxy calls.
type Gateway struct {
	// Address is the IP:port on which the gateway accepts calls from other daemons of the system.
	Address    string
	DataCentre string
}

// gatewaySelector selects the gateway that proxies a call. It prefers a gateway in the runner's data centre, so
// that the path is no longer than that of a direct call, and among these the one with the fewest calls, so that the
// loss of a gateway costs little. It uses no goroutine, socket or clock.
type gatewaySelector struct {
	calls        map[string]int
	blockedUntil map[string]clock.Millis
}

func newGatewaySelector() *gatewaySelector {
	return &gatewaySelector{calls: map[string]int{}, blockedUntil: map[string]clock.Millis{}}
}

// acquire selects a gateway and counts a call for it, until release is called. Among equal gateways it selects the
// first one from offset on.
func (s *gatewaySelector) acquire(now clock.Millis, gateways []Gateway, dataCentre string, offset int) (address string, found bool) {
	best := -1
	for n := range gateways {
		i := (n + offset) % len(gateways)
		g := gateways[i]
		if s.blockedUntil[g.Address] > now {
			continue
		}
		if best < 0 || s.compare(dataCentre, g, gateways[best]) < 0 {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	s.calls[gateways[best].Address]++
	return gateways[best].Address, true
}

func (s *gatewaySelector) compare(dataCentre string, a, b Gateway) int {
	return cmp.Or(
		cmp.Compare(distance(dataCentre, a), distance(dataCentre, b)),
		cmp.Compare(s.calls[a.Address], s.calls[b.Address]),
	)
}

func distance(dataCentre string, g Gateway) int {
	if g.DataCentre == dataCentre {
		return 0
	}
	return 1
}

func (s *gatewaySelector) release(address string) {
	s.calls[address]--
	if s.calls[address] == 0 {
		delete(s.calls, address)
	}
}

// block excludes a gateway for blockDuration.
func (s *gatewaySelector) block(now clock.Millis, address string) {
	for other, until := range s.blockedUntil {
		if until <= now {
			delete(s.blockedUntil, other)
		}
	}
	s.blockedUntil[address] = now + blockDuration
}
