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

// Guards against a fencing grant that does not fence: with the token of a fencing grant of the earlier assigner, its holder would
// accept that one too if the network has held it back.
func TestNextAssignerFencesWithHigherToken(t *testing.T) {
	former, next := Holder{ID: "former", Addr: "1"}, Holder{ID: "next", Addr: "2"}
	settings := historySettings
	settings.Host = "a"
	table := record(t, assignerOf(t, settings, former), 0)
	settings.Host = "b"
	second := NewAssignerFromTable(settings, table, 0)
	second.Apply([]Move{{Keys: allKeys, To: next}}, 0)
	table = record(t, second, 0)
	settings.Host = "c"
	third := NewAssignerFromTable(settings, table, 0)
	before, after := second.rows[0].formerGrants[0], third.rows[0].formerGrants[0]
	if !after.unfenced || after.token <= before.token {
		t.Errorf("former grant %+v, want it to be fenced with a token above %d", after, before.token)
	}
	if owner := third.rows[0].token; owner <= after.token {
		t.Errorf("the next owner gets token %d after a fencing grant with %d", owner, after.token)
	}
}
