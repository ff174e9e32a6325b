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

// A generation is a folder of segments. A state that is received from a peer is stored in
// a new generation. The old one stays until the next checkpoint, because a restart after
// a crash loads it again if the new manifest was not recorded yet.
const (
	generationPrefix = "generation-"
	// FirstGeneration is the folder of a state that was not received from a peer.
	FirstGeneration  = generationPrefix + "1"
	maxManifestBytes = 1 << 30
)

// DeleteOtherGenerations deletes all generations except the current one: those of
// unfinished imports, and superseded ones.
func DeleteOtherGenerations(root, current string) error {
	entries, err := os.ReadDir(root)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("list group folder: %w", err)
	}
	for _, e := range entries {
		if !strings.HasPrefix(e.Name(), generationPrefix) || e.Name() == current {
			continue
		}
		if err := os.RemoveAll(filepath.Join(root, e.Name())); err != nil {
			return fmt.Errorf("delete old generation: %w", err)
		}
	}
	return nil
}

// UnusedGeneration returns the name of a generation that doesn't exist yet.
func UnusedGeneration(root, current string) string {
	for n := 1; ; n++ {
		name := fmt.Sprintf("%s%d", generationPrefix, n)
		if _, err := os.Stat(filepath.Join(root, name)); errors.Is(err, os.ErrNotExist) && name != current {
			return name
		}
	}
}

// SendManifest writes a manifest, preceded by its length.
func SendManifest(w io.Writer, manifest []byte) error {
	header := binary.LittleEndian.AppendUint64(nil, uint64(len(manifest)))
	if _, err := w.Write(append(header, manifest...)); err != nil {
		return fmt.Errorf("send checkpoint: %w", err)
	}
	return nil
}

// ReceiveManifest reads a manifest that SendManifest wrote.
func ReceiveManifest(r io.Reader) ([]byte, error) {
	var length [8]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, fmt.Errorf("receive the checkpoint's length: %w", err)
	}
	if binary.LittleEndian.Uint64(length[:]) > maxManifestBytes {
		return nil, fmt.Errorf("receive the checkpoint: %w", ErrDamaged)
	}
	manifest := make([]byte, binary.LittleEndian.Uint64(length[:]))
	if _, err := io.ReadFull(r, manifest); err != nil {
		return nil, fmt.Errorf("receive the checkpoint: %w", err)
	}
	return manifest, nil
}
