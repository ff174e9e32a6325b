// Package streamorigin holds at which service and software version streams began.
//
// A stream may go on only at the software version that began it, also when its caller takes it up at another
// gateway. What begins a stream is known to one gateway only, which may be gone by then. It therefore sends a
// record to a few other gateways, selected by hashing, and a gateway at which a stream is taken up asks those.
// A record never changes, so that it can be missing but never outdated: a gateway without a record refuses.
//
// The package holds no goroutine, socket or clock.
package streamorigin

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Key identifies the attempt of a caller that received the first event of a stream.
type Key [16]byte

// KeyOf returns the key of an attempt. Team and route are part of it, so that nobody can take up, or learn of, a
// stream of another team or route.
func KeyOf(team, route, attempt string) Key {
	hash := sha256.New()
	for _, part := range []string{team, route, attempt} {
		// The length makes the boundaries between parts unambiguous.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write([]byte(part))
	}
	var key Key
	copy(key[:], hash.Sum(nil))
	return key
}

// ParseKey returns the key that was encoded as bytes.
func ParseKey(data []byte) (key Key, ok bool) {
	if len(data) != len(key) {
		return Key{}, false
	}
	copy(key[:], data)
	return key, true
}

// String returns the key in hexadecimal, as in logs.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the software version of the runner that sent the first event.
	Version string
}
