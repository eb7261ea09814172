package ownership

import (
	"testing"
	"time"
)

// Guards against forgetting, when rows are merged, that a grant of one of them may have reached another incarnation at the
// address of an owner that has ended.
func TestMergedRowsKeepGrantUnderWay(t *testing.T) {
	owner, next := Holder{ID: "a", StartedAtMs: 10, Addr: "1"}, Holder{ID: "b", Addr: "3"}
	for name, late := range map[string]int{"left": 0, "right": 1} {
		t.Run(name, func(t *testing.T) {
			a := assignerOf(t, historySettings, owner)
			a.splitRow(0, Keys{First: 0, Last: allKeys.Last / 2})
			now := historySettings.RenewInterval
			record(t, a, now)
			grants := a.DueOrders(now)
			if len(grants) != 2 {
				t.Fatalf("%d grants are due, want one a row", len(grants))
			}
			a.HandleResult(Result{Order: grants[1-late], At: now})
			a.MarkRestarted(owner, Holder{ID: "a", StartedAtMs: 20, Addr: "2"})
			a.HandleResult(Result{Order: grants[late], At: now})
			a.RefreshRows(1)
			a.Apply([]Move{{Keys: allKeys, To: next}}, now)
			record(t, a, now)
			if grantsTo(a, next, now) {
				t.Error("keys are granted while the grant under way may be in force")
			}
			if expired := now + historySettings.OrderTimeout + historySettings.maxHold(); !grantsTo(a, next, expired+time.Millisecond) {
				t.Error("keys are not granted after it has expired")
			}
		})
	}
}
