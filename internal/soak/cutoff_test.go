package soak

import (
	"testing"
	"time"
)

// Guards against a check of planned stops that misses a request which may not be cut off, or reports one that may.
func TestCutOff(t *testing.T) {
	stoppedAt := time.Now()
	at := func(after time.Duration) time.Time { return stoppedAt.Add(after) }
	const exit = 5700 * time.Millisecond
	cases := []struct {
		name string
		cut  cutOff
		want bool
	}{
		{"waits in the gateway until the end", cutOff{sentAt: at(-time.Second), endedAt: at(exit)}, true},
		{"waits there behind another request", cutOff{sentAt: at(-time.Second), endedAt: at(exit), behind: true}, false},
		{"its server reset the connection", cutOff{sentAt: at(0), endedAt: at(time.Second), responded: true}, false},
		{"crosses the end", cutOff{sentAt: at(exit - 100*time.Millisecond), endedAt: at(exit)}, false},
		{"answered by its server long before", cutOff{sentAt: at(0), endedAt: at(exit), executed: true, executionEnd: at(time.Second), behind: true}, true},
		{"answered by its server just before", cutOff{sentAt: at(0), endedAt: at(exit), executed: true, executionEnd: at(exit - 50*time.Millisecond)}, false},
		{"executed at the end", cutOff{sentAt: at(2 * time.Second), endedAt: at(exit), executed: true}, false},
		{"executed at the end, sent late", cutOff{sentAt: at(3100 * time.Millisecond), endedAt: at(exit), executed: true}, true},
		{"executed, and cut off early", cutOff{sentAt: at(-time.Second), endedAt: at(4 * time.Second), executed: true}, true},
		{"given up before the stop", cutOff{sentAt: at(-4 * time.Second), endedAt: at(time.Second), executed: true, abandoned: at(-time.Second), responded: true}, false},
		{"given up in the stop", cutOff{sentAt: at(-4 * time.Second), endedAt: at(time.Second), executed: true, abandoned: at(time.Second), responded: true}, true},
		{"at its deadline", cutOff{sentAt: at(-6 * time.Second), endedAt: at(2 * time.Second), executed: true}, false},
		{"before the stop", cutOff{sentAt: at(-6 * time.Second), endedAt: at(-time.Second), executed: true}, false},
		{"after the time of the rule", cutOff{sentAt: at(5 * time.Second), endedAt: at(8 * time.Second), executed: true}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.cut.stoppedAt, c.cut.deadline = stoppedAt, slowTimeout
			if got := c.cut.isLost(); got != c.want {
				t.Errorf("lost: %v, want %v", got, c.want)
			}
		})
	}
}
