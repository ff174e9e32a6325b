// Package job computes the ids of batch jobs and the consensus groups that store them. All processes
// compute the same result without communication.
package job

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// FirstGroup is the first consensus group that stores jobs. Group 0 stores the configuration, the
// members and the claims.
const FirstGroup = 1

// ReasonEngineLost is the reason of a RETRY completion whose engine crashed during the call. Control
// treats it like an expired lease: an item that was running alongside others doesn't lose an attempt.
const ReasonEngineLost = "engine-lost"

// idBytes is the length of the hash in an id: 96 bits, enough that the ids of 30,000 jobs a day don't
// collide.
const idBytes = 12

// errInvalidID means that a string isn't a job id made by ID.
var errInvalidID = errors.New("not a job id")

// ID returns the id of a job. It depends only on the team, the team's key for the job, and the number
// of consensus groups (FloorResponse.groups, including the group for the configuration). A retry
// through another gateway therefore reaches the same group and job. The number of groups must not
// change while jobs exist.
func ID(team, key string, groups uint32) string {
	digest := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(team)))
	digest.Write(length[:])
	digest.Write([]byte(team))
	digest.Write([]byte(key))
	sum := digest.Sum(nil)
	group := uint64(FirstGroup)
	if groups > FirstGroup+1 {
		group += binary.BigEndian.Uint64(sum[idBytes:]) % uint64(groups-FirstGroup)
	}
	return fmt.Sprintf("j%d-%s", group, hex.EncodeToString(sum[:idBytes]))
}

// GroupOf returns the consensus group in a job id.
func GroupOf(id string) (uint32, error) {
	group, rest, found := strings.Cut(strings.TrimPrefix(id, "j"), "-")
	if !found || !strings.HasPrefix(id, "j") || len(rest) != 2*idBytes {
		return 0, fmt.Errorf("%q: %w", id, errInvalidID)
	}
	number, err := strconv.ParseUint(group, 10, 32)
	if err != nil || number < FirstGroup {
		return 0, fmt.Errorf("%q: %w", id, errInvalidID)
	}
	return uint32(number), nil
}
