// Package boottime provides a clock that also advances while the machine is suspended. The monotonic clock of the
// standard library does not, so that after a suspension an expired lease would still appear valid.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted. If the kernel does not provide CLOCK_BOOTTIME, it returns the
// monotonic time since the start of the process.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()
