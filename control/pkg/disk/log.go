package disk

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"toucanhinge.example/control/pkg/consensus"
)

// Config describes a log. Tests replace Write and Sync; nil means the operating system's
// calls.
type Config struct {
	Folder string
	// FileBytes is the size at which a file is full and a new one is started.
	FileBytes int64
	Write     func(file *os.File, data []byte) (int, error)
	Sync      func(file *os.File) error
}

const defaultFileBytes = 32 << 20

func (c Config) withDefaults() Config {
	if c.FileBytes == 0 {
		c.FileBytes = defaultFileBytes
	}
	if c.Write == nil {
		c.Write = (*os.File).Write
	}
	if c.Sync == nil {
		c.Sync = (*os.File).Sync
	}
	return c
}

// logFile is one file of the log. base is the position of the last entry before it.
type logFile struct {
	sequence uint64
	base     consensus.Base
}

func (f logFile) path(folder string) string {
	return filepath.Join(folder, fmt.Sprintf("log-%020d", f.sequence))
}

// Log is the append-only log of one replica. It isn't safe for concurrent use.
type Log struct {
	config Config
	files  []logFile
	file   *os.File
	// synced is the length of the file's durable part.
	synced int64
	state  consensus.HardState
	last   consensus.Base
	failed error
}

// Append makes the persists durable in their order, with one write and one sync for all
// of them. A persist with a reset is an exception: it is written to a new file. After an
// error, the log accepts no more writes.
//
// After a failed sync, the kernel may drop the data and report success for the next sync,
// so acknowledging after a retry would lose entries silently. A failure is therefore
// permanent, and the file is truncated to its synced length, so that a restart doesn't
// read data from the page cache that never reached the disk.
func (l *Log) Append(persists ...consensus.Persist) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.append(persists); err != nil {
		l.failed = &FailedError{File: l.file.Name(), Err: err}
		_ = l.file.Truncate(l.synced)
		return l.failed
	}
	return nil
}

func (l *Log) append(persists []consensus.Persist) error {
	var buffer []byte
	for _, p := range persists {
		if p.Reset != nil {
			if err := l.flush(buffer); err != nil {
				return err
			}
			buffer = nil
			if err := l.reset(*p.Reset, p.State); err != nil {
				return err
			}
		}
		buffer = l.appendFrames(buffer, p)
	}
	if err := l.flush(buffer); err != nil {
		return err
	}
	if l.synced >= l.config.FileBytes {
		return l.startFile(fileHeader{base: l.last, state: l.state})
	}
	return nil
}

func (l *Log) appendFrames(buffer []byte, p consensus.Persist) []byte {
	if p.State != l.state {
		buffer = appendFrame(buffer, l.synced, encodeState(p.State))
		l.state = p.State
	}
	for _, e := range p.Entries {
		buffer = appendFrame(buffer, l.synced, encodeEntry(e))
		l.last = consensus.Base{Index: e.Index, Term: e.Term}
	}
	return buffer
}

func (l *Log) flush(buffer []byte) error {
	if len(buffer) == 0 {
		return nil
	}
	n, err := l.config.Write(l.file, buffer)
	if err == nil && n < len(buffer) {
		err = io.ErrShortWrite
	}
	if err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if err := l.config.Sync(l.file); err != nil {
		return fmt.Errorf("sync: %w", err)
	}
	l.synced += int64(len(buffer))
	return nil
}

// reset restarts the log after a snapshot. The header of the new file marks the reset, so
// a crash before the old files are removed does no harm.
func (l *Log) reset(base consensus.Base, state consensus.HardState) error {
	old := l.files
	l.state = state
	l.last = base
	if err := l.startFile(fileHeader{base: base, reset: true, state: state}); err != nil {
		return err
	}
	return l.removeFiles(len(old))
}

// startFile starts a new file. The file appears under its name only after its header is
// synced.
func (l *Log) startFile(header fileHeader) error {
	next := logFile{sequence: 1, base: header.base}
	if len(l.files) > 0 {
		next.sequence = l.files[len(l.files)-1].sequence + 1
	}
	frame := appendFrame(nil, 0, header.encode())
	path := next.path(l.config.Folder)
	if err := l.config.replaceFile(path, frame); err != nil {
		return fmt.Errorf("start log file: %w", err)
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return fmt.Errorf("open log file: %w", err)
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.file = file
	l.files = append(l.files, next)
	l.synced = int64(len(frame))
	return nil
}

// DropBefore removes the files whose entries are all at or below the index. A durable
// checkpoint must cover these entries.
func (l *Log) DropBefore(index uint64) error {
	drop := 0
	for drop+1 < len(l.files) && l.files[drop+1].base.Index <= index {
		drop++
	}
	return l.removeFiles(drop)
}

// removeFiles removes the oldest files. Each removal is synced before the next: a power loss that undid one, and kept the
// removal of a newer file, would leave a gap in the log.
func (l *Log) removeFiles(count int) error {
	for ; count > 0; count-- {
		err := os.Remove(l.files[0].path(l.config.Folder))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("remove old log file: %w", err)
		}
		if err := l.config.syncFolder(l.config.Folder); err != nil {
			return fmt.Errorf("remove old log file: %w", err)
		}
		l.files = l.files[1:]
	}
	return nil
}

// Close closes the current file, which has no unsynced data.
func (l *Log) Close() error {
	if err := l.file.Close(); err != nil {
		return fmt.Errorf("close log file: %w", err)
	}
	return nil
}
