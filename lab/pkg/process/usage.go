package process

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ticksPerSecond is the unit of the times in /proc/PID/stat. Linux fixes it to 100 for user space.
const ticksPerSecond = 100

var errUnexpectedFormat = errors.New("unexpected format")

// Usage holds the resource counters of a process since its start.
type Usage struct {
	// CPUTime is the sum of user and system time.
	CPUTime time.Duration
	// ResidentBytes is the current resident memory.
	ResidentBytes int64
	// PeakBytes is the most resident memory so far.
	PeakBytes int64
	// WrittenBytes is the number of bytes written to storage.
	WrittenBytes int64
}

// Usage reads the resource counters of the process.
func (p *Process) Usage() (Usage, error) {
	return ReadUsage(p.ID())
}

// ReadUsage reads the resource counters of the process with the given id.
func ReadUsage(id int) (Usage, error) {
	folder := "/proc/" + strconv.Itoa(id)
	cpuTime, err := readCPUTime(folder)
	if err != nil {
		return Usage{}, err
	}
	resident, err := readField(folder+"/status", "VmRSS:")
	if err != nil {
		return Usage{}, err
	}
	peak, err := readField(folder+"/status", "VmHWM:")
	if err != nil {
		return Usage{}, err
	}
	written, err := readField(folder+"/io", "write_bytes:")
	if err != nil {
		return Usage{}, err
	}
	return Usage{CPUTime: cpuTime, ResidentBytes: resident * 1024, PeakBytes: peak * 1024, WrittenBytes: written}, nil
}

// readCPUTime reads the sum of user and system time. Its resolution is one tick of 10 ms, so
// a measured run should last several seconds.
func readCPUTime(folder string) (time.Duration, error) {
	text, err := os.ReadFile(folder + "/stat")
	if err != nil {
		return 0, fmt.Errorf("read counters: %w", err)
	}
	_, rest, ok := strings.Cut(string(text), ") ")
	parts := strings.Fields(rest)
	if !ok || len(parts) < 13 {
		return 0, fmt.Errorf("parse %s/stat: %w", folder, errUnexpectedFormat)
	}
	user, err := strconv.ParseInt(parts[11], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("parse user time: %w", err)
	}
	system, err := strconv.ParseInt(parts[12], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("parse system time: %w", err)
	}
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}

// readField reads an integer field of a file with one "name: value" line per field.
func readField(file, name string) (int64, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0, fmt.Errorf("read counters: %w", err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, name); ok {
			n, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			if err != nil {
				return 0, fmt.Errorf("parse field %s of %s: %w", name, file, err)
			}
			return n, nil
		}
	}
	return 0, fmt.Errorf("field %s of %s: %w", name, file, errUnexpectedFormat)
}
