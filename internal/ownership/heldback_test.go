package ownership

import (
	"testing"
	"time"
)

// Guards against keys that are granted to the next owner while a grant to a silent one may still arrive, because the network holds it
// back and its sender was killed; and against a longer wait than that.
func TestKeysAwaitGrantHeldBack(t *testing.T) {
	silent, next := Holder{ID: "silent", Addr: "1"}, Holder{ID: "next", Addr: "2"}
	settings := historySettings
	settings.Host = "a"
	const electedAt, stoppedAt = time.Second, 3 * time.Second
	table := record(t, assignerOf(t, settings, silent), electedAt)
	settings.Host = "b"
	a := NewAssignerFromTable(settings, table, electedAt)
	a.Apply([]Move{{Keys: allKeys, To: next}}, electedAt)
	record(t, a, electedAt)
	a.HostStopped("a", stoppedAt)
	end := stoppedAt + settings.OrderLifetime + settings.maxHold()
	if grantsTo(a, next, end-time.Millisecond) {
		t.Error("keys are granted while the grant held back may be in force")
	}
	if !grantsTo(a, next, end+time.Millisecond) {
		t.Error("keys are not granted after it has expired")
	}
}
