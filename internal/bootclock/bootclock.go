// Package bootclock reads a monotonic clock that includes the time in which the machine
// was suspended, unlike the monotonic clock of package time.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every supported kernel has CLOCK_BOOTTIME
	}
	return time.Duration(ts.Nano())
}
