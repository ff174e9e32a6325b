// Package apikey hashes the API keys of callers. Only the gateway that receives a request sees its key.
// All other processes compare hashes, so that no log, datagram or call between daemons can leak a key.
package apikey

import "crypto/sha256"

// HashBytes is the length of a hash. It is long enough that neither the key nor another key with the
// same hash can be found.
const HashBytes = 16

// Hash identifies a key without revealing it.
type Hash [HashBytes]byte

// Of returns the hash of a key.
func Of(key string) Hash {
	sum := sha256.Sum256([]byte(key))
	return Hash(sum[:HashBytes])
}

// Bytes returns the encoded hash of a key. It is nil for an empty key, which belongs to no team.
func Bytes(key string) []byte {
	if key == "" {
		return nil
	}
	hash := Of(key)
	return hash[:]
}

// Parse decodes a hash; ok is false if the data isn't a hash.
func Parse(data []byte) (hash Hash, ok bool) {
	if len(data) != HashBytes {
		return hash, false
	}
	return Hash(data), true
}
