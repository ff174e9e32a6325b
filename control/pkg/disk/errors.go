package disk

import "fmt"

// DamageError reports that synced content is unreadable. The replica must not continue,
// because it would miss entries that it has acknowledged.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

func (e *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// FailedError reports that a write or sync failed. The log stays failed until it is
// reopened.
type FailedError struct {
	File string
	Err  error
}

func (e *FailedError) Error() string {
	return fmt.Sprintf("log file %s failed and accepts no more writes: %v", e.File, e.Err)
}

// Unwrap returns the operating system's error.
func (e *FailedError) Unwrap() error { return e.Err }
