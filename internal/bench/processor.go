package bench

import (
	"syscall"
	"time"
)

// timingLength is the least processor time of one timing. The kernel accounts for it in steps of a few microseconds.
const timingLength = 20 * time.Millisecond

// processorTime returns the processor time that this process has used, including garbage collection.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// processorMillis returns the least processor time of one run over several timings, in milliseconds. Unlike elapsed
// time, it leaves out the time in which other processes have the core.
func processorMillis(run func()) float64 {
	least := time.Duration(1<<63 - 1)
	for range costRepeats {
		least = min(least, timeOnce(run))
	}
	return float64(least.Nanoseconds()) / 1e6
}

// timeOnce returns the mean processor time of the runs of one timing.
func timeOnce(run func()) time.Duration {
	started, deadline := processorTime(), time.Now().Add(time.Minute)
	for runs := time.Duration(1); ; runs++ {
		run()
		if used := processorTime() - started; used >= timingLength || time.Now().After(deadline) {
			return used / runs
		}
	}
}
