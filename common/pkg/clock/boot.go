package clock

import "golang.org/x/sys/unix"

// Boot returns a clock that continues while the machine is suspended and that is independent of the
// wall clock. Use it for expiry: an expiry counted by System would be extended by the time that the
// machine is suspended. Its times are durations since the machine's start.
func Boot() Clock {
	fallback := System()
	return Clock{now: func() Millis {
		var at unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
			// All supported kernels have CLOCK_BOOTTIME.
			return fallback.Now()
		}
		return Millis(at.Nano() / nanosPerMilli)
	}}
}

const nanosPerMilli = 1_000_000
