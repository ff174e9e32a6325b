// Package crashes identifies requests that crash the runners that run them. Each attempt of a
// caller has its own id and may reach any gateway, so only the content of a request connects its
// attempts.
package crashes

import (
	"encoding/hex"

	"toucanhinge.example/common/pkg/hash128"
)

// Fingerprint identifies equal requests: attempts with the same fingerprint are the same request.
// It is 128 bits of SHA-256, so that a caller can't forge a request with the fingerprint of
// another caller's request and get that one quarantined.
type Fingerprint hash128.Sum

// FingerprintOf returns the fingerprint of a request. The caller's address isn't part of it, since
// a caller may retry from another address. Header fields aren't either, since they differ between
// attempts: the id, the timeout and the event to resume after.
func FingerprintOf(method, host, target string, body []byte) Fingerprint {
	return Fingerprint(hash128.Of([]byte(method), []byte(host), []byte(target), body))
}

// String returns the fingerprint in hexadecimal, as in logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
