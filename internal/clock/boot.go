package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTimeNow returns a time that advances while the machine is suspended, unlike the
// monotonic reading of time.Now. Only differences between its results are meaningful.
func BootTimeNow() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now()
	}
	return time.Unix(t.Sec, t.Nsec)
}
