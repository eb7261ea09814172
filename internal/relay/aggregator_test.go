package relay

import (
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// Guards against losing the report of a gateway that connects again before its former session ends, and against a
// delayed report of the former session that replaces a later one.
func TestReconnectBeforeSessionEnds(t *testing.T) {
	a := NewAggregator(func() time.Duration { return time.Second })
	report := func(session SessionID, requests int) {
		a.Report("g", session, &wire.RelayUp{HasLoad: true, Load: EncodeLoads(map[uint32]int{7: requests})})
	}
	report(1, 5)
	report(2, 3)
	report(1, 9)
	a.Remove("g", 1)
	if got := a.Loads()[7]; got != 3 {
		t.Fatalf("%d requests after the reconnect, want the 3 of the new session", got)
	}
	a.Remove("g", 2)
	if got := a.Loads()[7]; got != 0 {
		t.Fatalf("%d requests after the last session ended", got)
	}
}
