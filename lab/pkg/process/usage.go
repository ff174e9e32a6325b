package process

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ticksPerSecond is the unit of /proc/PID/stat times; Linux fixes it for user space.
const ticksPerSecond = 100

var errFormat = errors.New("unexpected format")

// Usage is what the kernel counted of one process since its start.
type Usage struct {
	// CPUTime is user and system time together.
	CPUTime time.Duration
	// ResidentBytes is the resident memory in bytes.
	ResidentBytes int64
	// WrittenBytes is the bytes handed to the disk.
	WrittenBytes int64
}

// Usage reads the process's counters.
func (p *Process) Usage() (Usage, error) {
	return ReadUsage(p.ID())
}

// ReadUsage reads the counters of a process by its id.
func ReadUsage(id int) (Usage, error) {
	folder := "/proc/" + strconv.Itoa(id)
	processor, err := processorTime(folder)
	if err != nil {
		return Usage{}, err
	}
	resident, err := field(folder+"/status", "VmRSS:")
	if err != nil {
		return Usage{}, err
	}
	written, err := field(folder+"/io", "write_bytes:")
	if err != nil {
		return Usage{}, err
	}
	return Usage{CPUTime: processor, ResidentBytes: resident * 1024, WrittenBytes: written}, nil
}

// processorTime reads user and system time in ticks of 10 ms, so a run to be
// measured must last some seconds.
func processorTime(folder string) (time.Duration, error) {
	text, err := os.ReadFile(folder + "/stat")
	if err != nil {
		return 0, fmt.Errorf("read counters: %w", err)
	}
	_, rest, ok := strings.Cut(string(text), ") ")
	parts := strings.Fields(rest)
	if !ok || len(parts) < 13 {
		return 0, fmt.Errorf("%s/stat: %w", folder, errFormat)
	}
	user, err := strconv.ParseInt(parts[11], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("user time: %w", err)
	}
	system, err := strconv.ParseInt(parts[12], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("system time: %w", err)
	}
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}

func field(file, name string) (int64, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0, fmt.Errorf("read counters: %w", err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, name); ok {
			n, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			if err != nil {
				return 0, fmt.Errorf("%s of %s: %w", name, file, err)
			}
			return n, nil
		}
	}
	return 0, fmt.Errorf("%s of %s: %w", name, file, errFormat)
}
