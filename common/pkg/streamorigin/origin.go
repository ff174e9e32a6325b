// Package streamorigin holds at which service and software version streams began.
//
// A stream may continue only at the software version that began it, also when its caller resumes it at another
// gateway. What begins a stream is known to one gateway only, which may be gone by then. It therefore sends a
// record to a few other gateways, selected by hashing, and a gateway at which a stream is resumed asks those.
// A record never changes, so that it can be missing but never outdated: a gateway without a record refuses.
//
// The package holds no goroutine, socket or clock.
package streamorigin

import (
	"encoding/hex"

	"toucanhinge.example/common/pkg/hash128"
)

// Key identifies the attempt of a caller that received the first event of a stream.
type Key hash128.Sum

// KeyOf returns the key of an attempt. Team and route are part of it, so that nobody can resume, or learn of, a
// stream of another team or route.
func KeyOf(team, route, attempt string) Key {
	return Key(hash128.Of([]byte(team), []byte(route), []byte(attempt)))
}

// ParseKey returns the key that was encoded as bytes.
func ParseKey(data []byte) (key Key, ok bool) {
	sum, ok := hash128.Parse(data)
	return Key(sum), ok
}

// String returns the key in hexadecimal, as in logs.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the software version of the runner that sent the first event.
	Version string
}
