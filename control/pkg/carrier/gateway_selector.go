package carrier

import (
	"cmp"

	"toucanhinge.example/common/pkg/clock"
)

// suspectTime is how long a gateway that didn't take a call is passed over. A killed
// process is back within two seconds.
const suspectTime clock.Millis = 2_000

// Gateway is one that may carry calls.
type Gateway struct {
	// Address is where it takes calls of own daemons, IP:port.
	Address    string
	DataCentre string
}

// chooser decides which gateway carries a call: one near the runner, so that the way
// is no longer than a call of our own, and of those the one that carries least, so
// that the loss of a gateway costs little. It holds no goroutine, socket or clock.
type chooser struct {
	calls    map[string]int
	suspects map[string]clock.Millis
}

func newChooser() *chooser {
	return &chooser{calls: map[string]int{}, suspects: map[string]clock.Millis{}}
}

// choose takes a place at one of the gateways; leave gives it back. Of equal ones the
// first from an offset on is taken.
func (c *chooser) choose(now clock.Millis, gateways []Gateway, dataCentre string, offset int) (address string, found bool) {
	best := -1
	for n := range gateways {
		i := (n + offset) % len(gateways)
		g := gateways[i]
		if c.suspects[g.Address] > now {
			continue
		}
		if best < 0 || c.compare(dataCentre, g, gateways[best]) < 0 {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	c.calls[gateways[best].Address]++
	return gateways[best].Address, true
}

func (c *chooser) compare(dataCentre string, a, b Gateway) int {
	return cmp.Or(
		cmp.Compare(distance(dataCentre, a), distance(dataCentre, b)),
		cmp.Compare(c.calls[a.Address], c.calls[b.Address]),
	)
}

func distance(dataCentre string, g Gateway) int {
	if g.DataCentre == dataCentre {
		return 0
	}
	return 1
}

func (c *chooser) leave(address string) {
	c.calls[address]--
	if c.calls[address] == 0 {
		delete(c.calls, address)
	}
}

// accuse passes a gateway over for a while.
func (c *chooser) accuse(now clock.Millis, address string) {
	for other, until := range c.suspects {
		if until <= now {
			delete(c.suspects, other)
		}
	}
	c.suspects[address] = now + suspectTime
}
