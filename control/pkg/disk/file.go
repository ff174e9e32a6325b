package disk

import (
	"fmt"
	"os"
	"path/filepath"
)

// WriteFile replaces a file atomically: after a crash, it has either the old or the new
// content. The new content is durable when WriteFile returns.
func WriteFile(path string, data []byte) error {
	return Config{}.withDefaults().replaceFile(path, appendFrame(nil, 0, data))
}

// ReadFile reads a file that WriteFile wrote. It returns os.ErrNotExist if the file
// doesn't exist, and a *DamageError if it is damaged.
func ReadFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read file: %w", err)
	}
	payload, _, size, reason := readFrame(data)
	if size != int64(len(data)) {
		return nil, &DamageError{File: path, Reason: reason}
	}
	return payload, nil
}

func (c Config) replaceFile(path string, data []byte) error {
	temporary := path + ".new"
	if err := c.writeAndSync(temporary, data); err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		return fmt.Errorf("rename: %w", err)
	}
	return c.syncFolder(filepath.Dir(path))
}

func (c Config) writeAndSync(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o640)
	if err != nil {
		return fmt.Errorf("create: %w", err)
	}
	defer func() { _ = file.Close() }()
	if _, err := c.Write(file, data); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if err := c.Sync(file); err != nil {
		return fmt.Errorf("sync: %w", err)
	}
	return nil
}

// syncFolder makes a new file name durable; without it, a crash may lose the file.
func (c Config) syncFolder(folder string) error {
	file, err := os.Open(folder)
	if err != nil {
		return fmt.Errorf("open folder: %w", err)
	}
	defer func() { _ = file.Close() }()
	if err := c.Sync(file); err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	return nil
}
