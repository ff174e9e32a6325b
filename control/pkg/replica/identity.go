package replica

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"toucanhinge.example/control/pkg/disk"
)

const identityBytes = 16

// FoundingIdentity returns the identity of the data folder with which a replica takes part in the first
// start of a group. All members know it in advance, so that a majority can form the group.
func FoundingIdentity(name string) string {
	sum := sha256.Sum256([]byte("founding " + name))
	return hex.EncodeToString(sum[:identityBytes])
}

// Identity returns the identity of the data folder. If there is none, it stores the given one, or a random
// one if that is empty. A folder that replaces a lost one must get another identity, so that the
// replica never votes under the identity of the lost folder.
func Identity(folder, initial string) (string, error) {
	path := filepath.Join(folder, "identity")
	data, err := disk.ReadFile(path)
	if err == nil {
		return string(data), nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return "", fmt.Errorf("read identity of the data folder: %w", err)
	}
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return "", fmt.Errorf("create data folder: %w", err)
	}
	identity := initial
	if identity == "" {
		random := make([]byte, identityBytes)
		if _, err := rand.Read(random); err != nil {
			return "", fmt.Errorf("generate identity: %w", err)
		}
		identity = hex.EncodeToString(random)
	}
	if err := disk.WriteFile(path, []byte(identity)); err != nil {
		return "", fmt.Errorf("store identity: %w", err)
	}
	return identity, nil
}
