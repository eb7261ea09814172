package outcome

import "testing"

// Guards against a status that promises that a request was not executed, although it may have been, and against other statuses that
// are held back.
func TestMayReturn(t *testing.T) {
	promises := map[int]bool{408: true, 421: true, 429: true, 503: true}
	for status := 100; status < 600; status++ {
		if !MayReturn(status, false) {
			t.Errorf("status %d is held back from the client of a request that was not executed", status)
		}
		if MayReturn(status, true) == promises[status] {
			t.Errorf("status %d may be returned if the request may have been executed: %v", status, !promises[status])
		}
	}
}
