// Package apikey turns callers' keys into hashes. Only the gateway that a caller speaks to
// sees the key; everybody else compares hashes, so that no log, datagram or call between
// daemons can give a key away.
package apikey

import "crypto/sha256"

// HashBytes is the length of a hash. It can't be turned back into the key, nor can another
// key with the same one be found.
const HashBytes = 16

// Hash names a key without telling it.
type Hash [HashBytes]byte

// Of hashes a key.
func Of(key string) Hash {
	sum := sha256.Sum256([]byte(key))
	return Hash(sum[:HashBytes])
}

// Bytes is the hash as it travels; nil for an empty key, which is nobody's.
func Bytes(key string) []byte {
	if key == "" {
		return nil
	}
	hash := Of(key)
	return hash[:]
}

// Parse takes a hash as it travelled; ok is false if it is none.
func Parse(data []byte) (hash Hash, ok bool) {
	if len(data) != HashBytes {
		return hash, false
	}
	return Hash(data), true
}
