package consensus

import (
	"encoding/json"
	"fmt"
)

// Member is one replica of the group. Identity is the random ID of its data folder: a
// replica that lost its disk returns with a new identity and is a different member, even
// under the same name.
type Member struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Identity string `json:"identity"`
	Voter    bool   `json:"voter"`
}

// Members is a complete membership, with at most one member per name.
type Members []Member

// Find returns the member with the name.
func (ms Members) Find(name string) (Member, bool) {
	for _, m := range ms {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// Has reports whether the membership contains the name with this identity.
func (ms Members) Has(name, identity string) bool {
	m, ok := ms.Find(name)
	return ok && m.Identity == identity
}

// Voters returns the number of members that vote.
func (ms Members) Voters() int {
	voters := 0
	for _, m := range ms {
		if m.Voter {
			voters++
		}
	}
	return voters
}

// Quorum returns the number of voters that form a majority.
func (ms Members) Quorum() int {
	return ms.Voters()/2 + 1
}

// Encode returns the payload of an EntryMembers entry.
func (ms Members) Encode() []byte {
	data, err := json.Marshal(ms)
	if err != nil {
		panic(fmt.Sprintf("encode members: %v", err))
	}
	return data
}

// DecodeMembers decodes the result of Encode.
func DecodeMembers(data []byte) (Members, error) {
	if len(data) == 0 {
		return nil, nil
	}
	var ms Members
	if err := json.Unmarshal(data, &ms); err != nil {
		return nil, fmt.Errorf("decode members: %w", err)
	}
	return ms, nil
}

// without returns a copy without the member of that name.
func (ms Members) without(name string) Members {
	left := make(Members, 0, len(ms))
	for _, m := range ms {
		if m.Name != name {
			left = append(left, m)
		}
	}
	return left
}
