// Package clock is the only source of time of every process. Times are whole milliseconds, so that
// state machines can be stepped in tests and times compared without rounding.
package clock

import "time"

// Millis is a time in milliseconds since the Unix epoch, or a duration in milliseconds where the
// name of a value implies one.
type Millis int64

// Duration converts a duration to the standard library's type.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Time converts a time to the standard library's type.
func (m Millis) Time() time.Time {
	return time.UnixMilli(int64(m))
}

// FromDuration converts the standard library's duration to whole milliseconds.
func FromDuration(d time.Duration) Millis {
	return Millis(d.Milliseconds())
}

// Clock provides the current time. The zero value is not usable; use System, Boot or FromFunc.
type Clock struct {
	now func() Millis
}

// Now returns the current time.
func (c Clock) Now() Millis {
	return c.now()
}

// System returns the clock of this machine. It never goes back within one process, because it adds
// the monotonic time since its creation to the wall clock at its creation. Otherwise leases would
// last longer than granted if an operator or NTP set the wall clock back.
func System() Clock {
	start := time.Now()
	base := Millis(start.UnixMilli())
	return Clock{now: func() Millis { return base + FromDuration(time.Since(start)) }}
}

// FromFunc returns a clock that calls the given function, for tests.
func FromFunc(now func() Millis) Clock {
	return Clock{now: now}
}
