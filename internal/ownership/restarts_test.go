package ownership

import (
	"testing"
	"time"
)

// Guards against an assigner that takes an earlier incarnation for the successor of a later one: the orders for it would be
// followed in a circle for good, or the incarnation that runs would count as terminated. Walks all sequences of three
// restarts between two incarnations at two addresses.
func TestRestartsOutOfOrder(t *testing.T) {
	var holders []Holder
	for _, startedAtMs := range []int64{10, 20} {
		for _, addr := range []string{"1", "2"} {
			holders = append(holders, Holder{ID: "a", StartedAtMs: startedAtMs, Addr: addr})
		}
	}
	const restarts = 3
	done := make(chan struct{})
	go func() {
		defer close(done)
		walkRestarts(t, holders, nil, restarts)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("planning does not end")
	}
}

// restart is a restart that an assigner is told of.
type restart struct{ from, to Holder }

// walkRestarts extends a sequence of restarts by up to more further ones in all ways, and checks each of them.
func walkRestarts(t *testing.T, holders []Holder, sequence []restart, more int) {
	checkRestarts(t, holders, sequence)
	if more == 0 {
		return
	}
	for _, from := range holders {
		for _, to := range holders {
			if !from.SameIncarnation(to) {
				walkRestarts(t, holders, append(sequence[:len(sequence):len(sequence)], restart{from, to}), more-1)
			}
		}
	}
}

func checkRestarts(t *testing.T, holders []Holder, sequence []restart) {
	for _, owner := range holders {
		a := assignerOf(t, historySettings, owner)
		for _, r := range sequence {
			a.MarkRestarted(r.from, r.to)
		}
		a.Apply([]Move{{Keys: allKeys, To: Holder{ID: "b", Addr: "3"}}}, time.Second)
		record(t, a, time.Second)
		a.DueOrders(time.Second)
		if latest := holders[len(holders)-1]; a.HasTerminated(latest) {
			t.Errorf("after %v, the latest incarnation counts as terminated", sequence)
		}
	}
}
