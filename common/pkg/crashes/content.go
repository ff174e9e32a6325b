// Package crashes finds out which request crashes the runners that run it. Each attempt
// of a caller has an id of its own and may reach any gateway, so nothing but what the
// request says ties its attempts together.
package crashes

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies what a request asks for: attempts with the same content are the
// same request. 128 bits of SHA-256, so that no caller can make another one's request
// look like one that crashes runners.
type Fingerprint [16]byte

// FingerprintOf is the content of a request. The caller's address isn't part of it, since a
// caller may come back from another one; neither are header fields, which tell of the
// attempt: its id, its patience, the event after which it goes on.
func FingerprintOf(method, host, target string, body []byte) Fingerprint {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(host), []byte(target), body} {
		// The length keeps two parts from running into one another.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(part)
	}
	var content Fingerprint
	copy(content[:], hash.Sum(nil))
	return content
}

// String is the content as logs show it.
func (c Fingerprint) String() string { return hex.EncodeToString(c[:]) }
