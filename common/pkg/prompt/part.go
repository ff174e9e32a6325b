// Package prompt names the parts of prompts. A prompt is a list of parts, and requests whose prompts hold the same
// text share the part that holds it.
package prompt

// maxShared limits the shared parts of one request that are considered, which bounds the memory and the messages that
// one request costs. Prompts have fewer than ten.
const maxShared = 32

// PartID identifies a part. Parts with the same ID are the same text, wherever they stand in a prompt.
type PartID string

// Shared returns the distinct parts of a prompt that other requests may share: all but the last one, which belongs to
// the request itself or to its session. Parts beyond the first maxShared are left out.
func Shared(parts []PartID) []PartID {
	if len(parts) == 0 {
		return nil
	}
	var shared []PartID
	seen := map[PartID]bool{}
	for _, id := range parts[:len(parts)-1] {
		if seen[id] {
			continue
		}
		if len(shared) == maxShared {
			break
		}
		seen[id] = true
		shared = append(shared, id)
	}
	return shared
}
