package replica

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"toucanhinge.example/control/pkg/disk"
)

const identityBytes = 16

// Identity returns the identity of the data folder. If there is none, it creates a random
// one and syncs it. A folder that replaces a lost one gets another identity, so the
// replica never votes under the identity of the lost folder.
func Identity(folder string) (string, error) {
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
	random := make([]byte, identityBytes)
	if _, err := rand.Read(random); err != nil {
		return "", fmt.Errorf("generate identity: %w", err)
	}
	identity := hex.EncodeToString(random)
	if err := disk.WriteFile(path, []byte(identity)); err != nil {
		return "", fmt.Errorf("store identity: %w", err)
	}
	return identity, nil
}
