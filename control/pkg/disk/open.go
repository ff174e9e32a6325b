package disk

import (
	"fmt"
	"os"
	"path/filepath"

	"toucanhinge.example/control/pkg/consensus"
)

// Open reads a log, or creates one in an empty folder. It truncates a torn tail, which no
// Append had acknowledged. It returns a *DamageError for other damage.
func Open(config Config) (*Log, Content, error) {
	l := &Log{config: config.withDefaults()}
	if err := os.MkdirAll(config.Folder, 0o750); err != nil {
		return nil, Content{}, fmt.Errorf("create log folder: %w", err)
	}
	if err := l.listFiles(); err != nil {
		return nil, Content{}, err
	}
	var content Content
	if len(l.files) == 0 {
		if err := l.startFile(fileHeader{}); err != nil {
			return nil, Content{}, err
		}
		return l, content, nil
	}
	for i := range l.files {
		if err := l.readFile(i, &content); err != nil {
			return nil, Content{}, err
		}
	}
	l.state = content.State
	l.last = consensus.Base{Index: content.LastIndex(), Term: content.lastTerm()}
	return l, content, nil
}

// listFiles finds the log files by name, in order of their sequence numbers.
func (l *Log) listFiles() error {
	entries, err := os.ReadDir(l.config.Folder)
	if err != nil {
		return fmt.Errorf("list log folder: %w", err)
	}
	for _, e := range entries {
		var f logFile
		if _, err := fmt.Sscanf(e.Name(), "log-%020d", &f.sequence); err != nil || filepath.Base(f.path("")) != e.Name() {
			continue
		}
		if n := len(l.files); n > 0 && l.files[n-1].sequence+1 != f.sequence {
			return &DamageError{File: f.path(l.config.Folder), Reason: "the preceding log file is missing"}
		}
		l.files = append(l.files, f)
	}
	return nil
}

// readFile reads one file. Only the last file can have a torn tail, because a file is
// started only after the one before it was synced.
func (l *Log) readFile(i int, content *Content) error {
	path := l.files[i].path(l.config.Folder)
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read log file: %w", err)
	}
	payload, _, offset, reason := readFrame(data)
	if offset == 0 {
		return &DamageError{File: path, Reason: reason}
	}
	if err := l.readHeader(i, payload, content); err != nil {
		return &DamageError{File: path, Reason: err.Error()}
	}
	for offset < int64(len(data)) {
		payload, _, size, reason := readFrame(data[offset:])
		if size == 0 {
			if i < len(l.files)-1 || hasLaterBatch(data, offset) {
				return &DamageError{File: path, Offset: offset, Reason: reason}
			}
			break
		}
		if err := content.applyRecord(payload); err != nil {
			return &DamageError{File: path, Offset: offset, Reason: err.Error()}
		}
		offset += size
	}
	if i == len(l.files)-1 {
		return l.reopen(path, offset)
	}
	return nil
}

func (l *Log) readHeader(i int, payload []byte, content *Content) error {
	header, err := decodeFileHeader(payload)
	if err != nil {
		return err
	}
	l.files[i].base = header.base
	if i == 0 || header.reset {
		*content = Content{Base: header.base}
	}
	content.State = header.state
	return nil
}

// reopen opens the last file for appending, truncates its tail and syncs it, because data
// that a crashed process wrote may have been read from the page cache only.
func (l *Log) reopen(path string, length int64) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return fmt.Errorf("open log file: %w", err)
	}
	if err := file.Truncate(length); err != nil {
		return fmt.Errorf("truncate torn tail: %w", err)
	}
	if err := l.config.Sync(file); err != nil {
		return fmt.Errorf("sync log file: %w", err)
	}
	l.file = file
	l.synced = length
	return nil
}
