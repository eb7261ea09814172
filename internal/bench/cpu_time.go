package bench

import (
	"syscall"
	"time"
)

// minTimingDuration is the minimum CPU time of one timing. The kernel accounts for CPU time in steps of a few
// microseconds.
const minTimingDuration = 20 * time.Millisecond

// cpuTime returns the CPU time that this process has used, including garbage collection.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// minCPUMillis returns the minimum over several timings of the mean CPU time of one run, in milliseconds. Unlike
// elapsed time, CPU time excludes the time in which other processes have the core.
func minCPUMillis(run func()) float64 {
	minimum := time.Duration(1<<63 - 1)
	for range timingRepetitions {
		minimum = min(minimum, meanCPUTime(run))
	}
	return float64(minimum.Nanoseconds()) / 1e6
}

// meanCPUTime repeats run for at least minTimingDuration of CPU time, or until a minute has elapsed, and returns the
// mean CPU time of one run.
func meanCPUTime(run func()) time.Duration {
	started, deadline := cpuTime(), time.Now().Add(time.Minute)
	for runs := time.Duration(1); ; runs++ {
		run()
		if used := cpuTime() - started; used >= minTimingDuration || time.Now().After(deadline) {
			return used / runs
		}
	}
}
