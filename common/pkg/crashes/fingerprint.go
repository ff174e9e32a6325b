// Package crashes identifies requests that crash the runners that run them. Each attempt of a
// caller has its own id and may reach any gateway, so only the content of a request connects its
// attempts.
package crashes

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies equal requests: attempts with the same fingerprint are the same request.
// It is 128 bits of SHA-256, so that a caller can't forge a request with the fingerprint of
// another caller's request and get that one quarantined.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. The caller's address isn't part of it, since
// a caller may retry from another address. Header fields aren't either, since they differ between
// attempts: the id, the timeout and the event to resume after.
func FingerprintOf(method, host, target string, body []byte) Fingerprint {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(host), []byte(target), body} {
		// The length makes the boundaries between parts unambiguous.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(part)
	}
	var fingerprint Fingerprint
	copy(fingerprint[:], hash.Sum(nil))
	return fingerprint
}

// String returns the fingerprint in hexadecimal, as in logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
