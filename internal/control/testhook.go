package control

import "time"

// PauseForTest is a test hook: it blocks the loop's goroutine for d, as if the process did not run. Experiments use it;
// a running system must not call it.
func (l *Loop) PauseForTest(d time.Duration) {
	l.call(func() { time.Sleep(d) })
}
