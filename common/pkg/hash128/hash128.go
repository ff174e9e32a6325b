// Package hash128 hashes sequences of texts to 128 bits of SHA-256, so that a caller can't forge a sequence with the hash of
// another caller's.
package hash128

import (
	"crypto/sha256"
	"encoding/binary"
)

// Sum is a hash.
type Sum [16]byte

// Of returns the hash of a sequence. The boundaries between its parts are part of the hash.
func Of(parts ...[]byte) Sum {
	hash := sha256.New()
	for _, part := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(part)
	}
	var sum Sum
	copy(sum[:], hash.Sum(nil))
	return sum
}

// Parse returns a hash that was encoded as bytes.
func Parse(data []byte) (sum Sum, ok bool) {
	if len(data) != len(sum) {
		return Sum{}, false
	}
	copy(sum[:], data)
	return sum, true
}
