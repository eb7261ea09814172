// Package boottime is a clock that goes on while the machine is suspended. The steady clock of the standard library
// stands still then, so that a lease would seem to be valid after a suspension that outlasted it.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started. It falls back to the steady clock where the kernel has no
// such clock.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()
