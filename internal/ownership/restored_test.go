package ownership

import (
	"testing"
	"time"
)

// Guards against a grant of keys that another server may hold by a move that a restored store lacks, against tokens that
// were assigned in the lost history, and against a wait that is longer than the last grants of the known predecessors.
func TestRestoredTable(t *testing.T) {
	owner := Holder{ID: "a", Addr: "1"}
	table := record(t, assignerOf(t, historySettings, owner), 0)
	settings := historySettings
	settings.Host = "new"
	lastGrant := settings.OrderTimeout + settings.maxHold()
	firstGrant := func(a *Assigner) time.Duration {
		table := record(t, a, 0)
		if token := table.Rows[0].Token; token < firstToken(1) {
			t.Errorf("token %d, want %d or more", token, firstToken(1))
		}
		for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
			if grantsTo(a, owner, now) {
				return now
			}
		}
		return time.Minute
	}
	cases := []struct {
		name     string
		assigner func() *Assigner
		earliest time.Duration
	}{
		{"unknown predecessor", func() *Assigner {
			return NewAssignerFromRestoredTable(settings, table, 1, nil, 0)
		}, settings.PredecessorGrace + lastGrant},
		{"predecessor on the same host", func() *Assigner {
			return NewAssignerFromRestoredTable(settings, table, 1, []string{"new"}, 0)
		}, lastGrant},
		{"predecessor that has stopped", func() *Assigner {
			a := NewAssignerFromRestoredTable(settings, table, 1, []string{"old"}, 0)
			a.HostStopped("old", 0)
			return a
		}, lastGrant},
		{"predecessor that is told later and has stopped", func() *Assigner {
			a := NewAssignerFromRestoredTable(settings, table, 1, nil, 0)
			a.PredecessorsKnown([]string{"old"}, 0)
			a.HostStopped("old", 0)
			return a
		}, lastGrant},
		{"predecessor that is told later and may act", func() *Assigner {
			a := NewAssignerFromRestoredTable(settings, table, 1, nil, 0)
			a.PredecessorsKnown([]string{"old"}, 0)
			return a
		}, settings.PredecessorGrace + lastGrant},
		{"last table", func() *Assigner {
			a := NewAssignerFromRestoredTable(settings, table, 1, nil, 0)
			a.ConfirmTable()
			return a
		}, 0},
	}
	table.Hosts, table.Writer = nil, ""
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			const step = 10 * time.Millisecond
			if got := firstGrant(c.assigner()); got < c.earliest || got > c.earliest+step {
				t.Fatalf("first grant after %v, want %v", got, c.earliest)
			}
		})
	}
}
