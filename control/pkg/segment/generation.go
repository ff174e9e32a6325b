package segment

import (
	"encoding/binary"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// A generation is a folder of segments. A state that is received from a peer goes
// into a new one; the old one stays until the next checkpoint, since a crash before
// the caller has noted the new manifest loads the old one again.
const (
	generationPrefix = "generation-"
	// FirstGeneration is the folder of a state that was never received.
	FirstGeneration = generationPrefix + "1"
	largestManifest = 1 << 30
)

// DeleteOtherGenerations removes what an unfinished or a superseded import left.
func DeleteOtherGenerations(root, present string) error {
	entries, err := os.ReadDir(root)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("list the group's folder: %w", err)
	}
	for _, e := range entries {
		if !strings.HasPrefix(e.Name(), generationPrefix) || e.Name() == present {
			continue
		}
		if err := os.RemoveAll(filepath.Join(root, e.Name())); err != nil {
			return fmt.Errorf("delete an old generation: %w", err)
		}
	}
	return nil
}

// UnusedGeneration names a folder that isn't there yet.
func UnusedGeneration(root, present string) string {
	for n := 1; ; n++ {
		name := fmt.Sprintf("%s%d", generationPrefix, n)
		if _, err := os.Stat(filepath.Join(root, name)); errors.Is(err, os.ErrNotExist) && name != present {
			return name
		}
	}
}

// SendManifest ships a manifest, with its length in front.
func SendManifest(w io.Writer, manifest []byte) error {
	header := binary.LittleEndian.AppendUint64(nil, uint64(len(manifest)))
	if _, err := w.Write(append(header, manifest...)); err != nil {
		return fmt.Errorf("ship the checkpoint: %w", err)
	}
	return nil
}

// ReceiveManifest reads what SendManifest shipped.
func ReceiveManifest(r io.Reader) ([]byte, error) {
	var length [8]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, fmt.Errorf("receive the checkpoint's length: %w", err)
	}
	if binary.LittleEndian.Uint64(length[:]) > largestManifest {
		return nil, fmt.Errorf("receive the checkpoint: %w", ErrDamaged)
	}
	manifest := make([]byte, binary.LittleEndian.Uint64(length[:]))
	if _, err := io.ReadFull(r, manifest); err != nil {
		return nil, fmt.Errorf("receive the checkpoint: %w", err)
	}
	return manifest, nil
}
