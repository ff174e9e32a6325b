package disk

import (
	"fmt"
	"os"
	"path/filepath"

	"toucanhinge.example/control/pkg/consensus"
)

// Open reads a log, or begins one in an empty folder. A torn tail, which no
// Append had returned for, is cut off. Other damage is a *DamageError.
func Open(config Config) (*Log, Content, error) {
	l := &Log{config: config.withDefaults()}
	if err := os.MkdirAll(config.Folder, 0o750); err != nil {
		return nil, Content{}, fmt.Errorf("make log folder: %w", err)
	}
	if err := l.list(); err != nil {
		return nil, Content{}, err
	}
	var content Content
	if len(l.files) == 0 {
		if err := l.begin(fileStart{}); err != nil {
			return nil, Content{}, err
		}
		return l, content, nil
	}
	for i := range l.files {
		if err := l.read(i, &content); err != nil {
			return nil, Content{}, err
		}
	}
	l.state = content.State
	l.last = consensus.Base{Index: content.LastIndex(), Term: content.lastTerm()}
	return l, content, nil
}

// list finds the files by name, in order.
func (l *Log) list() error {
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
			return &DamageError{File: f.path(l.config.Folder), Reason: "the log file before this one is missing"}
		}
		l.files = append(l.files, f)
	}
	return nil
}

// read takes up one file. Only the last file can have a torn tail: a file is
// begun after the one before it was synced.
func (l *Log) read(i int, content *Content) error {
	path := l.files[i].path(l.config.Folder)
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read log file: %w", err)
	}
	payload, _, offset, reason := readFrame(data)
	if offset == 0 {
		return &DamageError{File: path, Reason: reason}
	}
	if err := l.readStart(i, payload, content); err != nil {
		return &DamageError{File: path, Reason: err.Error()}
	}
	for offset < int64(len(data)) {
		payload, _, size, reason := readFrame(data[offset:])
		if size == 0 {
			if i < len(l.files)-1 || laterBatch(data, offset) {
				return &DamageError{File: path, Offset: offset, Reason: reason}
			}
			break
		}
		if err := content.add(payload); err != nil {
			return &DamageError{File: path, Offset: offset, Reason: err.Error()}
		}
		offset += size
	}
	if i == len(l.files)-1 {
		return l.reopen(path, offset)
	}
	return nil
}

func (l *Log) readStart(i int, payload []byte, content *Content) error {
	start, err := decodeFileStart(payload)
	if err != nil {
		return err
	}
	l.files[i].base = start.base
	if i == 0 || start.reset {
		*content = Content{Base: start.base}
	}
	content.State = start.state
	return nil
}

// reopen cuts the tail off and syncs: what a crashed process wrote may have been
// read from the page cache only.
func (l *Log) reopen(path string, length int64) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return fmt.Errorf("open log file: %w", err)
	}
	if err := file.Truncate(length); err != nil {
		return fmt.Errorf("cut torn tail: %w", err)
	}
	if err := l.config.Sync(file); err != nil {
		return fmt.Errorf("sync log file: %w", err)
	}
	l.file = file
	l.synced = length
	return nil
}
