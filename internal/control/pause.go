package control

import "time"

// PauseForTest blocks the loop's goroutine for d, which simulates a process that is not scheduled. It is for tests and
// experiments only.
func (l *Loop) PauseForTest(d time.Duration) {
	l.post(func() { time.Sleep(d) })
}
