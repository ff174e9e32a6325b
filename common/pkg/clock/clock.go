// Package clock is the one source of time of every process. Times are whole
// milliseconds, so that decisions can be stepped and compared without rounding.
package clock

import "time"

// Millis is a point in time in milliseconds since the Unix epoch, or a span in
// milliseconds where a name says so.
type Millis int64

// Duration turns a span into the standard library's type.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Time turns a point into the standard library's type.
func (m Millis) Time() time.Time {
	return time.UnixMilli(int64(m))
}

// FromDuration turns the standard library's duration into whole milliseconds.
func FromDuration(d time.Duration) Millis {
	return Millis(d.Milliseconds())
}

// Clock tells the time. The zero value is not usable; take System or Fixed.
type Clock struct {
	now func() Millis
}

// Now returns the present.
func (c Clock) Now() Millis {
	return c.now()
}

// System returns the clock of this machine. It never goes back within one
// process: we add the monotonic time since the start to the wall clock at the
// start. An operator or NTP that sets the wall clock back would otherwise make
// leases live longer than granted.
func System() Clock {
	start := time.Now()
	base := Millis(start.UnixMilli())
	return Clock{now: func() Millis { return base + FromDuration(time.Since(start)) }}
}

// FromFunc returns a clock that asks the given function, for tests.
func FromFunc(now func() Millis) Clock {
	return Clock{now: now}
}
