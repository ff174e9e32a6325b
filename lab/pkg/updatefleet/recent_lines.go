package updatefleet

import (
	"strings"
	"sync"
	"time"
)

// maxRecentLines is the number of log lines kept for each gateway.
const maxRecentLines = 40

// recentLines keeps the last lines written to it, each with its time. The zero value is empty.
type recentLines struct {
	mu    sync.Mutex
	lines []string
}

// Write stores one log line.
func (r *recentLines) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines[max(len(r.lines)+1-maxRecentLines, 0):], time.Now().Format("15:04:05.000 ")+string(line))
	return len(line), nil
}

// String returns the lines, oldest first.
func (r *recentLines) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.lines, "")
}
